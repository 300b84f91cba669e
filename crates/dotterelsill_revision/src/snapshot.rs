//! Immutable snapshot that decides whether an incarnation may start work.

use std::time::Instant;

use dotterelsill_freshness::Freshness;

use crate::{
    Authority,
    RevisionTracker, //
};

/// Mode of an incarnation. If several apply, the first in this order is used.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mode {
    /// The authority has ended. No work starts, even if the proof is fresh.
    Lapsed,
    /// The proof is fresh. Work of all queues starts.
    Fresh,
    /// The proof is not fresh and the isolation limit is not 0. The
    /// [`WhenIsolated`] setting of each queue decides.
    Isolated,
    /// The proof is not fresh and the isolation limit is 0, or there is no proof
    /// later than the registration. No work starts.
    Stale,
}

/// Behaviour of a queue while the instance is isolated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WhenIsolated {
    /// Starts work under the last known revision.
    Serve,
    /// Refuses work and reports it as not run.
    Refuse,
}

/// Decision on a piece of work at its dispatch.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Decision {
    /// The work may start now under the revision in force.
    Start {
        /// Revision under which the work starts.
        revision: u64,
    },
    /// The work waits until the body of a newer revision is loaded. At its
    /// deadline it is refused as not run.
    WaitForBody,
    /// The work is refused as not run.
    Refuse {
        /// Mode that does not allow the start.
        mode: Mode,
    },
}

/// The mode at an instant and how long it is valid.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CurrentMode {
    /// Mode at the queried instant.
    pub mode: Mode,
    /// First instant at which another mode applies if no event occurs before
    /// then; `None` when only an event can change the mode.
    pub valid_until: Option<Instant>,
}

/// Immutable state for deciding about starts of work until the next event.
///
/// The driver publishes a new snapshot after each event and before it responds to
/// a peer. The request path reads the clock itself when it dispatches work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Snapshot {
    authority_ends_at: Option<Instant>,
    fresh_until: Option<Instant>,
    allows_isolation: bool,
    in_force: Option<u64>,
    newest_revision: u64,
}

impl Snapshot {
    /// Creates a snapshot.
    ///
    /// A proof from before the registration is ignored. A change that was
    /// confirmed before this incarnation was registered did not wait for it, and
    /// an older proof, kept or relayed by a peer, may not include that change. If
    /// the instants are equal, their order is unknown, so the proof is ignored as
    /// well.
    pub fn new(freshness: &Freshness, tracker: &RevisionTracker, authority: &Authority) -> Self {
        let registered_at = authority.registration().registered_at;
        let proof = freshness.proof().filter(|proof| proof.at > registered_at);
        let proven_revision = proof.map_or(0, |proof| proof.revision);
        Self {
            authority_ends_at: authority.ends_at(),
            fresh_until: proof.and_then(|_| freshness.fresh_until()),
            allows_isolation: !authority.isolation_limit().is_zero(),
            in_force: tracker.in_force().map(|head| head.revision),
            newest_revision: tracker.known_revision().max(proven_revision),
        }
    }

    /// Returns the mode at `now` and how long it is valid.
    pub fn current_mode(&self, now: Instant) -> CurrentMode {
        let Some(ends_at) = self.authority_ends_at.filter(|ends_at| now < *ends_at) else {
            return CurrentMode {
                mode: Mode::Lapsed,
                valid_until: None,
            };
        };
        match self.fresh_until {
            Some(fresh_until) if now < fresh_until => CurrentMode {
                mode: Mode::Fresh,
                valid_until: Some(fresh_until.min(ends_at)),
            },
            Some(_) if self.allows_isolation => CurrentMode {
                mode: Mode::Isolated,
                valid_until: Some(ends_at),
            },
            _ => CurrentMode {
                mode: Mode::Stale,
                valid_until: Some(ends_at),
            },
        }
    }

    /// Decides whether work of a queue may start.
    ///
    /// `now` must be read after the last operation at which the process could
    /// have been paused.
    pub fn decide(&self, when_isolated: WhenIsolated, now: Instant) -> Decision {
        let mode = self.current_mode(now).mode;
        let may_start = match mode {
            Mode::Fresh => true,
            Mode::Isolated => when_isolated == WhenIsolated::Serve,
            Mode::Lapsed | Mode::Stale => false,
        };
        if !may_start {
            return Decision::Refuse { mode };
        }
        match self.in_force {
            Some(revision) if revision >= self.newest_revision => Decision::Start { revision },
            _ => Decision::WaitForBody,
        }
    }
}
