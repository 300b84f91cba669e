//! What an incarnation may do at an instant.

use std::time::Instant;

use dotterelsill_freshness::Freshness;

use crate::{
    Authority,
    RevisionTracker, //
};

/// Mode of an incarnation; the first that applies holds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mode {
    /// The authority has ended. Nothing starts, whatever the freshness.
    Lapsed,
    /// The proof is fresh. All work is served.
    Fresh,
    /// The proof is not fresh and the isolation limit is not 0. Queues decide.
    Isolated,
    /// The proof is not fresh and the isolation limit is 0, or no proof is later
    /// than the registration. Nothing starts.
    Stale,
}

/// What a queue does while the instance is isolated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WhenIsolated {
    /// Serves work under the last revision.
    Serve,
    /// Refuses work as not run.
    Refuse,
}

/// What may be done with a piece of work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Decision {
    /// The work may start now under the revision in force.
    Start {
        /// Revision in force.
        revision: u64,
    },
    /// The work waits for the body of a newer revision, at most until its
    /// deadline, and is then refused as not run.
    WaitForBody,
    /// The work is refused as not run.
    Refuse {
        /// Mode that forbids the start.
        mode: Mode,
    },
}

/// A mode and the time for which it holds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CurrentMode {
    /// Mode.
    pub mode: Mode,
    /// First instant at which another mode applies unless an event comes
    /// earlier; `None` when only an event can change the mode.
    pub valid_until: Option<Instant>,
}

/// Everything that decides about starts until the next event.
///
/// A driver publishes a new snapshot after each event and before it answers a
/// peer, and the request path decides with its own clock reading at dispatch.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Snapshot {
    ends_at: Option<Instant>,
    fresh_until: Option<Instant>,
    has_isolation: bool,
    in_force: Option<u64>,
    known: u64,
}

impl Snapshot {
    /// Creates a snapshot.
    ///
    /// A proof from before the registration does not count. A change that was
    /// accepted before this incarnation was registered did not wait for it, and
    /// an older proof, kept or relayed by a peer, need not include that change.
    /// At equal instants the order is not known, so that proof does not count.
    pub fn new(freshness: &Freshness, tracker: &RevisionTracker, authority: &Authority) -> Self {
        let registered_at = authority.registration().registered_at;
        let proof = freshness.proof().filter(|proof| proof.at > registered_at);
        let proven = proof.map_or(0, |proof| proof.revision);
        Self {
            ends_at: authority.ends_at(),
            fresh_until: proof.and_then(|_| freshness.fresh_until()),
            has_isolation: !authority.isolation_limit().is_zero(),
            in_force: tracker.in_force().map(|head| head.revision),
            known: tracker.known_revision().max(proven),
        }
    }

    /// Returns the mode and the time for which it holds.
    pub fn current_mode(&self, now: Instant) -> CurrentMode {
        let Some(ends_at) = self.ends_at.filter(|ends_at| now < *ends_at) else {
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
            Some(_) if self.has_isolation => CurrentMode {
                mode: Mode::Isolated,
                valid_until: Some(ends_at),
            },
            _ => CurrentMode {
                mode: Mode::Stale,
                valid_until: Some(ends_at),
            },
        }
    }

    /// Returns what may be done with work of a queue.
    ///
    /// `now` is read after the last step that could have paused.
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
            Some(revision) if revision >= self.known => Decision::Start { revision },
            _ => Decision::WaitForBody,
        }
    }
}
