//! Identifier of a request that must run at most once.

use std::time::{
    Duration,
    SystemTime, //
};

use sha2::{
    Digest,
    Sha256, //
};
use snafu::{
    ensure,
    OptionExt,
    Snafu, //
};

use crate::{
    Outcome,
    UnknownReason, //
};

/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 128;

/// Maximum age of an identifier, counted from its issue time.
const MAX_AGE: Duration = Duration::from_secs(3600);

/// Maximum time by which the issue time may lie in the future, since the clocks
/// of callers and instances differ.
const MAX_AHEAD: Duration = Duration::from_secs(5 * 60);

/// Length to which the SHA-256 digest is truncated. Since the team is part of
/// the digest, hitting another caller's identifier takes a second preimage.
const DIGEST_BYTES: usize = 16;

/// Digest of queue, team and `Idempotency-Key`, under which a request is
/// claimed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub [u8; DIGEST_BYTES]);

impl Key {
    /// Returns the digest of a queue, a team and an `Idempotency-Key`.
    ///
    /// The team is part of the digest so that two teams that choose the same
    /// `Idempotency-Key` never get each other's answers. All callers of an open
    /// queue, which needs no team's key, share one team.
    pub fn new(queue: &str, team: &str, idempotency_key: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [queue, team, idempotency_key] {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc").
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Key(digest)
    }
}

/// Reason why an identifier is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum IdentifierError {
    /// The `Idempotency-Key` is empty.
    #[snafu(display("Idempotency-Key is empty: send 1 to {MAX_KEY_BYTES} bytes"))]
    Empty,
    /// The `Idempotency-Key` is longer than 128 bytes.
    #[snafu(display("Idempotency-Key has {bytes} bytes: send at most {MAX_KEY_BYTES}"))]
    TooLong {
        /// Length in bytes.
        bytes: usize,
    },
    /// The issue time is out of the range of [`SystemTime`].
    #[snafu(display("Idempotency-Issued-At is out of range: send seconds since the Unix epoch"))]
    InvalidIssueTime,
    /// The identifier was issued more than 1 h ago.
    #[snafu(display(
        "Idempotency-Issued-At is {age_s} s ago: identifiers are accepted for one hour; \
         an earlier attempt may have run"
    ))]
    TooOld {
        /// Age of the identifier in seconds.
        age_s: u64,
    },
    /// The identifier was issued more than 5 min in the future.
    #[snafu(display(
        "Idempotency-Issued-At is {ahead_s} s in the future: correct the clock of the caller; \
         an earlier attempt may have run"
    ))]
    InFuture {
        /// Time until the issue, in seconds.
        ahead_s: u64,
    },
}

impl IdentifierError {
    /// Returns the outcome to report to the caller.
    ///
    /// An issue time outside the limits gives an unknown outcome: an earlier
    /// attempt may have run when the issue time was still within the limits, or
    /// on an instance whose clock differs. After "not run", the caller would
    /// issue a new identifier and the request could run twice.
    pub fn outcome<A>(self) -> Outcome<A> {
        match self {
            Self::Empty | Self::TooLong { .. } | Self::InvalidIssueTime => {
                Outcome::NotRun(crate::NotRunReason::InvalidIdentifier)
            }
            Self::TooOld { .. } | Self::InFuture { .. } => {
                Outcome::Unknown(UnknownReason::IssueTime)
            }
        }
    }
}

/// Valid identifier of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identifier {
    key: Key,
    issued_at: SystemTime,
}

impl Identifier {
    /// Validates the identifier in the headers of a request.
    ///
    /// `issued_at_s` counts seconds since the Unix epoch; `wall_clock` is the
    /// time at which the request is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty or longer than 128 bytes, or if it
    /// was issued more than 1 h ago, more than 5 min in the future or at a time
    /// that [`SystemTime`] cannot represent.
    pub fn check(
        queue: &str,
        team: &str,
        idempotency_key: &str,
        issued_at_s: u64,
        wall_clock: SystemTime,
    ) -> Result<Self, IdentifierError> {
        ensure!(!idempotency_key.is_empty(), EmptySnafu);
        let bytes = idempotency_key.len();
        ensure!(bytes <= MAX_KEY_BYTES, TooLongSnafu { bytes });
        let issued_at = SystemTime::UNIX_EPOCH
            .checked_add(Duration::from_secs(issued_at_s))
            .context(InvalidIssueTimeSnafu)?;
        check_issue_time(issued_at, wall_clock)?;
        let key = Key::new(queue, team, idempotency_key);
        Ok(Identifier { key, issued_at })
    }

    /// Returns the digest under which the identifier is claimed.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the time at which the caller issued the identifier.
    pub fn issued_at(&self) -> SystemTime {
        self.issued_at
    }
}

/// Checks that the issue time is within [`MAX_AGE`] and [`MAX_AHEAD`].
fn check_issue_time(issued_at: SystemTime, wall_clock: SystemTime) -> Result<(), IdentifierError> {
    match wall_clock.duration_since(issued_at) {
        Ok(age) => {
            let age_s = age.as_secs();
            ensure!(age <= MAX_AGE, TooOldSnafu { age_s });
        }
        Err(error) => {
            let ahead = error.duration();
            let ahead_s = ahead.as_secs();
            ensure!(ahead <= MAX_AHEAD, InFutureSnafu { ahead_s });
        }
    }
    Ok(())
}
