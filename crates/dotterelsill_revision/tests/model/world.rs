//! States of the model.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_freshness::Drift;
use dotterelsill_revision::{
    ChangeConfirmation,
    Head,
    Incarnation,
    Instance,
    Limits,
    Registration,
    WriteId, //
};

pub(crate) const LEASE: u8 = 2;
pub(crate) const FRESH_FOR: u8 = 2;
/// First tick; the subject was registered in the one before.
pub(crate) const START: u8 = 1;

/// Mistakes of a driver that the invariants must catch.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Driver {
    Correct,
    FreshnessFromArrival,
    RelayIgnoresAge,
    AcceptanceIgnoresIsolation,
    FreshOverridesLapsed,
    CountsProofsBeforeRegistration,
}

#[derive(Clone, Copy)]
pub(crate) struct Config {
    pub(crate) driver: Driver,
    pub(crate) isolation: u8,
    pub(crate) horizon: u8,
    pub(crate) restarts: u8,
    pub(crate) in_flight: usize,
    pub(crate) has_peer: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, PartialOrd, Ord)]
pub(crate) enum Call {
    Read,
    Renew,
    /// Asks the peer, whose last read was at a tick and returned a revision.
    Ask(u8, u64),
    Register,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Answer {
    Head(u64),
    Renewed(bool),
    Peer { known: u64, proof_age: u8 },
    Registered,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Message {
    pub(crate) incarnation: u8,
    pub(crate) sent: u8,
    pub(crate) call: Call,
    pub(crate) answer: Option<Answer>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Subject {
    pub(crate) incarnation: u8,
    /// Whether a registration is wanted, and the tick of its first attempt.
    pub(crate) registering: Option<Option<u8>>,
    pub(crate) instance: Option<Instance>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct World {
    pub(crate) now: u8,
    pub(crate) restarts: u8,
    pub(crate) stored: Option<u8>,
    pub(crate) reported: bool,
    pub(crate) acceptance: Option<ChangeConfirmation>,
    /// Registered incarnations and the end of their leases, 0 once expired.
    pub(crate) members: Vec<(u8, u8)>,
    pub(crate) subject: Subject,
    pub(crate) messages: Vec<Message>,
    pub(crate) violation: Option<&'static str>,
}

pub(crate) fn at(tick: u8) -> Instant {
    static ZERO: OnceLock<Instant> = OnceLock::new();
    let zero = ZERO.get_or_init(|| Instant::now() + ticks(60));
    *zero + ticks(tick)
}

pub(crate) fn ticks(count: u8) -> Duration {
    Duration::from_secs(count.into())
}

pub(crate) fn head(revision: u64) -> Head {
    static WRITES: OnceLock<[WriteId; 2]> = OnceLock::new();
    let writes = WRITES.get_or_init(|| ["1", "2"].map(WriteId::new));
    let write_id = writes[revision as usize - 1].clone();
    Head { revision, write_id }
}

/// Clocks of equal rates, so that a wait that is one tick short is found.
pub(crate) const DRIFT: Drift = Drift { per_mille: 0 };

pub(crate) fn limits() -> Limits {
    Limits {
        lease: ticks(LEASE),
        detection_delay: Duration::ZERO,
        drift: DRIFT,
    }
}

pub(crate) fn freshness_limits() -> dotterelsill_freshness::Limits {
    dotterelsill_freshness::Limits {
        fresh_for: ticks(FRESH_FOR),
        ask_peer_after: Duration::ZERO,
        drift: DRIFT,
    }
}

pub(crate) fn start(config: Config) -> World {
    let mut instance = register(config, 1, 0, 0);
    instance
        .authority_mut()
        .on_renewal(at(START), true, at(START));
    instance.on_store_read(at(START), Some(&head(1)));
    instance.on_body(&head(1));
    World {
        now: START,
        restarts: config.restarts,
        stored: None,
        reported: false,
        acceptance: None,
        members: vec![(1, START + LEASE)],
        subject: Subject {
            incarnation: 1,
            registering: None,
            instance: Some(instance),
        },
        messages: Vec::new(),
        violation: None,
    }
}

pub(crate) fn registration(config: Config, sent: u8, now: u8) -> Registration {
    let counts_all = config.driver == Driver::CountsProofsBeforeRegistration;
    let lease_requested_at = at(sent);
    Registration {
        lease_requested_at,
        registered_at: if counts_all {
            lease_requested_at
        } else {
            at(now)
        },
        isolation_limit: ticks(config.isolation),
    }
}

pub(crate) fn register(config: Config, incarnation: u8, sent: u8, now: u8) -> Instance {
    let registration = registration(config, sent, now);
    let incarnation = Incarnation(incarnation.into());
    Instance::new(incarnation, registration, limits(), freshness_limits()).expect("in order")
}
