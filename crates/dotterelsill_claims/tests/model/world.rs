//! State of the model: instances, one bucket in the store, and messages in
//! flight that may be late or duplicated.

mod checks;
mod driver;
mod events;
mod store;

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_claims::{
    Action,
    Attempt,
    AttemptId,
    Claim,
    ClaimLog,
    ClaimReply,
    Entry,
    Incarnation,
    Key,
    Limits,
    Outcome,
    OwnerRecord,
    Position,
    RunLimits,
    Runs,
    StoreAnswer,
    MIN_ENTRY_LIFETIME, //
};

pub(crate) use events::Label;

/// Driver of the instances: the correct one, or one with a fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Driver {
    Correct,
    /// Replies that a claim is granted before the append took effect.
    GrantsBeforeAppend,
    /// Drops the writes of all seals.
    NeverSeals,
    /// Seals the epoch before the current one only.
    SealsOnlyLastEpoch,
    /// Claims under the name of the instance, which a restart does not change.
    ClaimsByName,
    /// Reports "not run" when the answer of a dispatched request is lost.
    NotRunAfterDispatch,
    /// Gives a repeated forward a new attempt identifier.
    NewIdOnRepeat,
    /// Passes the start time to the log instead of the current time.
    StaleClock,
}

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Budget {
    /// Arrivals of attempts, by identifier.
    pub(crate) attempts: [u8; 2],
    /// Store calls that time out and may still take effect.
    pub(crate) late_store_calls: u8,
    /// Store answers that are lost after the call took effect.
    pub(crate) lost_store_answers: u8,
    /// Messages between instances that are lost or arrive after the timeout.
    pub(crate) late_messages: u8,
    /// Claims that arrive twice, possibly at two instances.
    pub(crate) duplicated_claims: u8,
    /// Other messages between instances that arrive twice.
    pub(crate) duplicated_messages: u8,
    /// Runs that end without an answer or without being sent.
    pub(crate) failed_runs: u8,
    /// Lapses of an instance's authority, which may return.
    pub(crate) authority_lapses: u8,
    /// Restarts of instances.
    pub(crate) restarts: u8,
}

/// Message, store call or run in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Message {
    Claim {
        claim: Claim,
        ticket: u64,
    },
    Reply {
        to: AttemptId,
        reply: ClaimReply,
    },
    Forward {
        key: Key,
        claimant: Incarnation,
        id: AttemptId,
    },
    Outcome {
        to: AttemptId,
        outcome: Outcome<u8>,
    },
    Run {
        on: Incarnation,
        number: u64,
    },
    Call {
        of: Incarnation,
        action: Action,
        /// Whether the log still waits for the answer.
        is_awaited: bool,
    },
    Answer {
        to: Incarnation,
        call: u64,
        answer: StoreAnswer,
    },
}

/// Attempt in progress on a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ActiveAttempt {
    attempt: Attempt,
    /// Whether a peer forwarded the request.
    forwarded: bool,
}

/// Instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    incarnation: Incarnation,
    log: ClaimLog,
    runs: Runs<u8>,
    /// Attempts in progress, by number.
    attempts: BTreeMap<u64, ActiveAttempt>,
    next_number: u64,
    authority_lapsed: bool,
    /// Claims that wait for a reply of this instance as the owner, with their
    /// tickets.
    waiting: Vec<(Claim, u64)>,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct World {
    driver: Driver,
    started_at: Instant,
    now: Instant,
    budget: Budget,
    /// Owner record in the store, with its version.
    record: Option<(u64, OwnerRecord)>,
    entries: BTreeMap<Position, Entry>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    /// Dispatched requests that were not reported as unsent, with the
    /// incarnation and the attempt that dispatched them.
    dispatched: Vec<(Key, Incarnation, AttemptId)>,
    /// First answer reported for each identifier.
    answers: BTreeMap<Key, u8>,
    /// Attempts whose callers were told "not run".
    not_run: Vec<AttemptId>,
    /// Invariant that was violated.
    pub(crate) violation: Option<&'static str>,
}

/// Added to the incarnation at each restart; the remainder is the index of the
/// instance.
const INCARNATION_STEP: u128 = 10;

/// Added to the number of an attempt by [`Driver::NewIdOnRepeat`].
const REPEATED_OFFSET: u64 = 50;

/// Returns the key of the identifier with a number.
fn key(number: usize) -> Key {
    Key([number as u8; 16])
}

/// Returns the index of the instance that an incarnation belongs to.
fn instance_index(incarnation: Incarnation) -> usize {
    (incarnation.0 % INCARNATION_STEP) as usize
}

/// Encodes the identifier of an attempt as the ticket of its claim.
fn ticket(id: AttemptId) -> u64 {
    id.incarnation.0 as u64 * 100 + id.number
}

/// Decodes a ticket.
fn attempt_id(ticket: u64) -> AttemptId {
    AttemptId {
        incarnation: Incarnation((ticket / 100).into()),
        number: ticket % 100,
    }
}

impl World {
    pub(crate) fn new(nodes: usize, driver: Driver, budget: Budget) -> Self {
        let started_at = Instant::now();
        World {
            driver,
            started_at,
            now: started_at,
            budget,
            record: None,
            entries: BTreeMap::new(),
            nodes: (0..nodes)
                .map(|n| Node::new(Incarnation(n as u128), driver))
                .collect(),
            messages: Vec::new(),
            dispatched: Vec::new(),
            answers: BTreeMap::new(),
            not_run: Vec::new(),
            violation: None,
        }
    }

    /// Allows the arrival of one more attempt.
    pub(crate) fn add_attempt(&mut self) {
        self.budget.attempts[0] += 1;
    }

    /// Replaces the driver.
    pub(crate) fn set_driver(&mut self, driver: Driver) {
        self.driver = driver;
    }

    /// Returns whether nothing is in flight and all instances believe that they
    /// own the bucket.
    pub(crate) fn two_idle_owners(&self) -> bool {
        self.messages.is_empty() && self.nodes.iter().all(|node| node.log.is_open())
    }

    /// Expires all entries and allows two attempts with the other identifier.
    pub(crate) fn expire_entries(&mut self) {
        self.now += MIN_ENTRY_LIFETIME;
        self.entries.clear();
        self.budget.attempts = [0, 2];
    }

    /// Returns the time that the driver passes to the log.
    fn clock(&self) -> Instant {
        match self.driver {
            Driver::StaleClock => self.started_at,
            _ => self.now,
        }
    }

    /// Returns whether instance 1 took the bucket from instance 0, which has an
    /// append in flight, and restarted before it wrote a seal.
    pub(crate) fn restarted_before_seal(&self) -> bool {
        let append = |message: &Message| {
            matches!(
                message,
                Message::Call {
                    of: Incarnation(0),
                    action: Action::Create {
                        entry: Entry::Batch { .. },
                        ..
                    },
                    ..
                }
            )
        };
        let taken = |(_, record): (u64, OwnerRecord)| record.owner == Incarnation(1);
        self.nodes[1].incarnation == Incarnation(1 + INCARNATION_STEP)
            && self.record.is_some_and(taken)
            && self.messages.iter().any(append)
    }
}

impl Node {
    fn new(incarnation: Incarnation, driver: Driver) -> Self {
        let claimant = match driver {
            // The name of the instance does not change when it restarts.
            Driver::ClaimsByName => Incarnation(incarnation.0 % INCARNATION_STEP),
            _ => incarnation,
        };
        let limits = Limits {
            append_interval: Duration::ZERO,
            takeover_pause: Duration::ZERO,
            ..Limits::default()
        };
        Node {
            incarnation,
            log: ClaimLog::new(incarnation, limits),
            runs: Runs::new(claimant, RunLimits::default()),
            attempts: BTreeMap::new(),
            next_number: 0,
            authority_lapsed: false,
            waiting: Vec::new(),
        }
    }
}
