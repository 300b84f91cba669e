//! Instances, one bucket in the store, and messages that may be late or doubled.

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

/// Driver under test: the correct one, or one with a fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Driver {
    Correct,
    GrantsBeforeAppend,
    NeverSeals,
    SealsOnlyLastEpoch,
    ClaimsByName,
    NotRunAfterDispatch,
    NewOriginOnRepeat,
    StaleClock,
}

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Budget {
    /// Attempts of callers, by identifier.
    pub(crate) attempts: [u8; 2],
    /// Store calls that get no answer in time, but may still take effect.
    pub(crate) store_late: u8,
    /// Store answers lost after the call took effect.
    pub(crate) store_lost: u8,
    /// Messages between instances, lost or later than the timeout.
    pub(crate) late: u8,
    /// Claims that arrive twice, perhaps at two owners.
    pub(crate) doubled_claims: u8,
    /// Other messages between instances that arrive twice.
    pub(crate) doubled: u8,
    /// Runs that end without an answer or with nothing sent.
    pub(crate) bad_runs: u8,
    /// Ends of an instance's authority; it may return.
    pub(crate) lapses: u8,
    pub(crate) restarts: u8,
}

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
        origin: AttemptId,
    },
    Outcome {
        to: AttemptId,
        outcome: Outcome<u8>,
    },
    Run {
        on: Incarnation,
        path: u64,
    },
    Call {
        of: Incarnation,
        action: Action,
        waited: bool,
    },
    Answer {
        to: Incarnation,
        call: u64,
        answer: StoreAnswer,
    },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Path {
    attempt: Attempt,
    forwarded: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    incarnation: Incarnation,
    log: ClaimLog,
    runs: Runs<u8>,
    paths: BTreeMap<u64, Path>,
    next_path: u64,
    lapsed: bool,
    /// Claims that wait for this owner.
    waiting: Vec<(Claim, u64)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct World {
    driver: Driver,
    started_at: Instant,
    now: Instant,
    budget: Budget,
    record: Option<(u64, OwnerRecord)>,
    entries: BTreeMap<Position, Entry>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    dispatched: Vec<(Key, Incarnation, AttemptId)>,
    answers: BTreeMap<Key, u8>,
    not_run: Vec<AttemptId>,
    pub(crate) violation: Option<&'static str>,
}

/// Instances are numbered within an incarnation, so that a restart changes the
/// incarnation and keeps the instance.
const RESTART: u128 = 10;

/// Added to the number of an attempt by a driver that gives a repeated message
/// a new origin.
const REPEATED: u64 = 50;

fn key(number: usize) -> Key {
    Key([number as u8; 16])
}

fn index(incarnation: Incarnation) -> usize {
    (incarnation.0 % RESTART) as usize
}

fn ticket(origin: AttemptId) -> u64 {
    origin.incarnation.0 as u64 * 100 + origin.number
}

fn origin(ticket: u64) -> AttemptId {
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

    /// Lets one more attempt arrive.
    pub(crate) fn add_attempt(&mut self) {
        self.budget.attempts[0] += 1;
    }

    /// Replaces the driver.
    pub(crate) fn set_driver(&mut self, driver: Driver) {
        self.driver = driver;
    }

    /// Returns whether nothing is in flight and two instances believe to own the
    /// bucket.
    pub(crate) fn two_idle_owners(&self) -> bool {
        self.messages.is_empty() && self.nodes.iter().all(|node| node.log.is_open())
    }

    /// Lets all entries expire; attempts with the other identifier follow.
    pub(crate) fn expire_entries(&mut self) {
        self.now += MIN_ENTRY_LIFETIME;
        self.entries.clear();
        self.budget.attempts = [0, 2];
    }

    /// Returns the time that the driver gives to the log.
    fn clock(&self) -> Instant {
        match self.driver {
            Driver::StaleClock => self.started_at,
            _ => self.now,
        }
    }

    /// Returns whether instance 1 took the bucket from instance 0, which has an
    /// append in flight, and restarted before it could seal.
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
        self.nodes[1].incarnation == Incarnation(1 + RESTART)
            && self.record.is_some_and(taken)
            && self.messages.iter().any(append)
    }
}

impl Node {
    fn new(incarnation: Incarnation, driver: Driver) -> Self {
        let claimant = match driver {
            // The name of the instance does not change when it restarts.
            Driver::ClaimsByName => Incarnation(incarnation.0 % RESTART),
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
            paths: BTreeMap::new(),
            next_path: 0,
            lapsed: false,
            waiting: Vec::new(),
        }
    }
}
