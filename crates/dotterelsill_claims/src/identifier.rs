//! Identifier of a request that may not be repeated.

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

/// Longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Longest time since the issue of an identifier.
const MAX_AGE: Duration = Duration::from_secs(3600);

/// Longest time by which the issue may lie in the future; clocks differ.
const MAX_AHEAD: Duration = Duration::from_secs(5 * 60);

/// Bytes kept of the digest. Another caller's identifier can be hit only by a
/// second preimage, because the team is part of the digest.
const DIGEST_BYTES: usize = 16;

/// Digest of queue, team and `Idempotency-Key`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub [u8; DIGEST_BYTES]);

impl Key {
    /// Returns the digest of a queue, a team and an `Idempotency-Key`.
    ///
    /// The team is empty on open queues. It is part of the digest so that two
    /// teams that choose the same text never get each other's answers.
    pub fn new(queue: &str, team: &str, idempotency_key: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [queue, team, idempotency_key] {
            // The length keeps ("ab", "c") apart from ("a", "bc").
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Key(digest)
    }
}

/// Reason why an identifier is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum IdentifierError {
    /// No identifier was sent.
    #[snafu(display("Idempotency-Key is empty: send 1 to {MAX_KEY_BYTES} bytes"))]
    Empty,
    /// The identifier is too long.
    #[snafu(display("Idempotency-Key has {bytes} bytes: send at most {MAX_KEY_BYTES}"))]
    TooLong {
        /// Length in bytes.
        bytes: usize,
    },
    /// The issue time cannot be expressed as a time.
    #[snafu(display("Idempotency-Issued-At is no time: send seconds since the epoch"))]
    InvalidIssueTime,
    /// The identifier was issued too long ago.
    #[snafu(display(
        "Idempotency-Issued-At is {age_s} s ago: only attempts in the last hour can be answered; \
         an earlier attempt may have run"
    ))]
    TooOld {
        /// Age in seconds.
        age_s: u64,
    },
    /// The identifier was issued in the future.
    #[snafu(display(
        "Idempotency-Issued-At is {ahead_s} s in the future: set the clock of the caller; \
         an earlier attempt may have run"
    ))]
    InFuture {
        /// Time until the issue, in seconds.
        ahead_s: u64,
    },
}

impl IdentifierError {
    /// Returns what the caller is told.
    ///
    /// An earlier attempt may have run when the issue time was within the
    /// limits then, or by another instance's clock. The outcome is therefore
    /// unknown: a caller that is told "not run" would issue a new identifier.
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

/// Checked identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identifier {
    key: Key,
    issued_at: SystemTime,
}

impl Identifier {
    /// Checks the headers of a request.
    ///
    /// `issued_at_s` counts seconds since the epoch; `wall_clock` is the time
    /// at which the request is read.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is empty or longer than 128 bytes, or when
    /// it was issued more than 1 h ago or more than 5 min in the future.
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

/// Checks that the issue time is within the limits.
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
