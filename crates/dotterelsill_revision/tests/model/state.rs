//! State and configuration of the model.

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

/// Duration of a lease in ticks.
pub(crate) const LEASE: u8 = 2;
/// Time in ticks during which a proof is fresh.
pub(crate) const FRESH_FOR: u8 = 2;
/// First tick. The subject was registered one tick earlier.
pub(crate) const START: u8 = 1;

/// Correct driver, or driver with one bug that the invariants must detect.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Driver {
    Correct,
    /// Counts freshness from the arrival of a response.
    FreshnessFromArrival,
    /// Treats a relayed proof as if its age were zero.
    RelayIgnoresAge,
    /// Confirms a change without waiting for the isolation limit.
    ConfirmationIgnoresIsolation,
    /// Starts work on a fresh proof although the authority has ended.
    FreshOverridesLapsed,
    /// Accepts proofs from before the end of the registration.
    CountsProofsBeforeRegistration,
}

/// Bounds and variant of one search.
#[derive(Clone, Copy)]
pub(crate) struct Config {
    pub(crate) driver: Driver,
    /// Isolation limit in ticks.
    pub(crate) isolation: u8,
    /// Number of ticks after [`START`].
    pub(crate) horizon: u8,
    /// Number of times that the subject may crash or register again.
    pub(crate) restarts: u8,
    /// Maximum number of messages in flight.
    pub(crate) max_in_flight: usize,
    /// Whether the subject may ask the peer.
    pub(crate) has_peer: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, PartialOrd, Ord)]
pub(crate) enum Call {
    Read,
    Renew,
    /// Asks the peer, whose last read was at the given tick and returned the given
    /// revision.
    QueryPeer(u8, u64),
    Register,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Response {
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
    pub(crate) response: Option<Response>,
}

/// The instance on which the invariants are checked.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Subject {
    pub(crate) incarnation: u8,
    /// `Some` while a registration is pending, with the tick of its first attempt.
    pub(crate) registering: Option<Option<u8>>,
    /// State of the incarnation; `None` from a crash until the next registration.
    pub(crate) instance: Option<Instance>,
}

/// State of the store, the observer, the subject and the messages in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ModelState {
    pub(crate) now: u8,
    /// Restarts that are left.
    pub(crate) restarts: u8,
    /// Tick at which the change was stored.
    pub(crate) stored: Option<u8>,
    /// Whether the observer has reported the change as in force.
    pub(crate) reported_in_force: bool,
    pub(crate) confirmation: Option<ChangeConfirmation>,
    /// Registered incarnations with the tick at which their lease ends, or 0 once
    /// it has expired.
    pub(crate) members: Vec<(u8, u8)>,
    pub(crate) subject: Subject,
    pub(crate) messages: Vec<Message>,
    pub(crate) violation: Option<&'static str>,
}

pub(crate) fn instant_at(tick: u8) -> Instant {
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

/// No clock drift, so that the model detects a wait that is one tick too short.
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

pub(crate) fn initial_state(config: Config) -> ModelState {
    let mut instance = register(config, 1, 0, 0);
    instance
        .authority_mut()
        .on_renewal(instant_at(START), true, instant_at(START));
    instance.on_store_read(instant_at(START), Some(&head(1)));
    instance.on_body(&head(1));
    ModelState {
        now: START,
        restarts: config.restarts,
        stored: None,
        reported_in_force: false,
        confirmation: None,
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
    let counts_earlier_proofs = config.driver == Driver::CountsProofsBeforeRegistration;
    let lease_requested_at = instant_at(sent);
    Registration {
        lease_requested_at,
        registered_at: if counts_earlier_proofs {
            lease_requested_at
        } else {
            instant_at(now)
        },
        isolation_limit: ticks(config.isolation),
    }
}

pub(crate) fn register(config: Config, incarnation: u8, sent: u8, now: u8) -> Instance {
    let registration = registration(config, sent, now);
    let incarnation = Incarnation(incarnation.into());
    Instance::new(incarnation, registration, limits(), freshness_limits()).expect("in order")
}
