//! Discrete-event simulation of instances that request claims from the owners
//! of the buckets.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_claims::{
    bucket,
    owner,
    Action,
    Claim,
    ClaimLog,
    Incarnation,
    Key,
    Limits,
    StoreAnswer,
    BUCKET_COUNT, //
};
use hdrhistogram::Histogram;
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

use crate::{
    store::Store,
    Measured, //
};

const INSTANCES: [&str; 7] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];

/// One-way latency between two instances.
const PEER_LATENCY: Duration = Duration::from_micros(500);

/// Simulated time before the measurement, in which the buckets are taken over.
const WARM_UP: Duration = Duration::from_secs(5);

/// Simulated time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// How identifiers are claimed.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Mode {
    /// By the owner of the bucket, which appends batches to its claim log.
    Batched,
    /// By the instance itself, with one store write per request.
    OneWritePerRequest,
}

impl Mode {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Mode::Batched => "batched log",
            Mode::OneWritePerRequest => "one write each",
        }
    }
}

enum Event {
    Arrival,
    Claim {
        claim: Claim,
        ticket: u64,
    },
    Store {
        bucket: u8,
        call: u64,
        answer: StoreAnswer,
    },
    Timer {
        bucket: u8,
    },
    Granted {
        ticket: u64,
    },
}

/// Request that an instance claims.
struct Request {
    arrived_at: Duration,
    /// One-way latency between the instance and the owner.
    peer_latency: Duration,
}

/// State of the simulation; times are counted from its start.
pub(crate) struct Fleet {
    rng: StdRng,
    claims_per_s: f64,
    mode: Mode,
    store: Store,
    started_at: Instant,
    now: Duration,
    /// Times and indices of `events`, earliest first; events at the same time
    /// stay in the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Option<Event>>,
    logs: Vec<ClaimLog>,
    /// Instance that owns each bucket.
    owners: Vec<usize>,
    requests: Vec<Request>,
    latency_us: Histogram<u64>,
    /// Store writes before the measurement.
    writes_before: u64,
    /// Requests that arrived during the measurement.
    measured_requests: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, claims_per_s: f64, mode: Mode, capacity: Option<u64>) -> Self {
        let instance = |bucket| {
            let name = owner(bucket, INSTANCES).expect("the list of instances is not empty");
            let found = INSTANCES.iter().position(|other| *other == name);
            found.expect("the owner is one of the instances")
        };
        let owners: Vec<usize> = (0..BUCKET_COUNT).map(instance).collect();
        let log = |owner: &usize| ClaimLog::new(Incarnation(*owner as u128), Limits::default());
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            claims_per_s,
            mode,
            store: Store::new(capacity),
            started_at: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            logs: owners.iter().map(log).collect(),
            owners,
            requests: Vec::new(),
            latency_us: Histogram::new(3).expect("3 digits are supported"),
            writes_before: 0,
            measured_requests: 0,
        }
    }

    /// Runs the simulation and returns what was measured.
    pub(crate) fn run(mut self) -> Measured {
        self.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time >= WARM_UP + MEASURED_TIME {
                break;
            }
            if self.now < WARM_UP && time >= WARM_UP {
                self.writes_before = self.store.writes();
            }
            self.now = time;
            if let Some(event) = self.events[number].take() {
                self.on_event(event);
            }
        }
        let writes = self.store.writes() - self.writes_before;
        Measured {
            writes_per_s: writes as f64 / MEASURED_TIME.as_secs_f64(),
            in_flight: self.measured_requests - self.latency_us.len(),
            latency_us: self.latency_us,
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.queue.push(Reverse((time, self.events.len())));
        self.events.push(Some(event));
    }

    /// Returns the simulated time as the instant that the logs take.
    fn clock(&self) -> Instant {
        self.started_at + self.now
    }

    fn on_event(&mut self, event: Event) {
        let clock = self.clock();
        match event {
            Event::Arrival => self.arrive(),
            Event::Claim { claim, ticket } => {
                let bucket = bucket(claim.key);
                let actions = self.logs[usize::from(bucket)].on_claim(claim, ticket, clock);
                self.perform(bucket, actions);
            }
            Event::Store {
                bucket,
                call,
                answer,
            } => {
                let log = &mut self.logs[usize::from(bucket)];
                let actions = log.on_answer(call, answer, clock + MEASURED_TIME, clock);
                self.perform(bucket, actions);
            }
            Event::Timer { bucket } => {
                let actions = self.logs[usize::from(bucket)].on_timer(clock);
                self.perform(bucket, actions);
            }
            Event::Granted { ticket } => self.record_latency(ticket),
        }
    }

    /// Handles the arrival of a request at a random instance and schedules the
    /// next arrival, at exponentially distributed intervals.
    fn arrive(&mut self) {
        let uniform: f64 = self.rng.random();
        let interval_s = -(1.0 - uniform).ln() / self.claims_per_s;
        self.schedule(
            self.now + Duration::from_secs_f64(interval_s),
            Event::Arrival,
        );
        self.measured_requests += u64::from(self.now >= WARM_UP);
        let ticket = self.requests.len() as u64;
        let instance = self.rng.random_range(0..INSTANCES.len());
        let key = Key(self.rng.random());
        let claimant = Incarnation(instance as u128);
        let remote = self.owners[usize::from(bucket(key))] != instance;
        let peer_latency = if remote { PEER_LATENCY } else { Duration::ZERO };
        let arrived_at = self.now;
        self.requests.push(Request {
            arrived_at,
            peer_latency,
        });
        if self.mode == Mode::OneWritePerRequest {
            let answered_at = self.store.write(self.now);
            return self.schedule(answered_at, Event::Granted { ticket });
        }
        let claim = Claim { key, claimant };
        self.schedule(self.now + peer_latency, Event::Claim { claim, ticket });
    }

    /// Performs the actions of a bucket's log and schedules its timer.
    fn perform(&mut self, bucket: u8, actions: Vec<Action>) {
        for action in actions {
            if let Action::Reply { ticket, .. } = action {
                let peer_latency = self.requests[ticket as usize].peer_latency;
                self.schedule(self.now + peer_latency, Event::Granted { ticket });
            } else if let Some(call) = action.call() {
                let (time, answer) = self.store.call(bucket, &action, self.now);
                self.schedule(
                    time,
                    Event::Store {
                        bucket,
                        call,
                        answer,
                    },
                );
            }
        }
        if let Some(wake_at) = self.logs[usize::from(bucket)].wake_at() {
            let time = wake_at.duration_since(self.started_at).max(self.now);
            self.schedule(time, Event::Timer { bucket });
        }
    }

    /// Records the latency of a granted claim.
    fn record_latency(&mut self, ticket: u64) {
        let arrived_at = self.requests[ticket as usize].arrived_at;
        if arrived_at >= WARM_UP {
            let latency = (self.now - arrived_at).as_micros() as u64;
            self.latency_us += latency;
        }
    }
}
