//! Instances that claim identifiers from the owners of the buckets.

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

/// Time of a message from one instance to another.
const PEER: Duration = Duration::from_micros(500);

/// Simulated time before the measurement; the buckets are taken in it.
const WARM_UP: Duration = Duration::from_secs(5);

const MEASURED: Duration = Duration::from_secs(60);

/// Way in which identifiers are claimed.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Mode {
    /// By the owner's log.
    Batched,
    /// By the instance itself, with one write each.
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

/// Request that was claimed.
struct Request {
    arrived_at: Duration,
    /// Time of a message between the instance and the owner.
    distance: Duration,
}

pub(crate) struct Fleet {
    random: StdRng,
    claims_per_s: f64,
    mode: Mode,
    store: Store,
    started_at: Instant,
    now: Duration,
    /// Events by time; the number keeps those of one instant in order.
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Option<Event>>,
    logs: Vec<ClaimLog>,
    owners: Vec<usize>,
    requests: Vec<Request>,
    latency_us: Histogram<u64>,
    writes_before: u64,
    measured: u64,
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
            random: StdRng::seed_from_u64(seed),
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
            measured: 0,
        }
    }

    /// Runs the simulation.
    pub(crate) fn run(mut self) -> Measured {
        self.at(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time >= WARM_UP + MEASURED {
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
            writes_per_s: writes as f64 / MEASURED.as_secs_f64(),
            in_flight: self.measured - self.latency_us.len(),
            latency_us: self.latency_us,
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.queue.push(Reverse((time, self.events.len())));
        self.events.push(Some(event));
    }

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
                let actions = log.on_answer(call, answer, clock + MEASURED, clock);
                self.perform(bucket, actions);
            }
            Event::Timer { bucket } => {
                let actions = self.logs[usize::from(bucket)].on_timer(clock);
                self.perform(bucket, actions);
            }
            Event::Granted { ticket } => self.granted(ticket),
        }
    }

    /// Lets a request arrive at any instance, and the next one after a time
    /// with an exponential distribution.
    fn arrive(&mut self) {
        let uniform: f64 = self.random.random();
        let wait_s = -(1.0 - uniform).ln() / self.claims_per_s;
        self.at(self.now + Duration::from_secs_f64(wait_s), Event::Arrival);
        self.measured += u64::from(self.now >= WARM_UP);
        let ticket = self.requests.len() as u64;
        let instance = self.random.random_range(0..INSTANCES.len());
        let key = Key(self.random.random());
        let claimant = Incarnation(instance as u128);
        let remote = self.owners[usize::from(bucket(key))] != instance;
        let distance = if remote { PEER } else { Duration::ZERO };
        let arrived_at = self.now;
        self.requests.push(Request {
            arrived_at,
            distance,
        });
        if self.mode == Mode::OneWritePerRequest {
            let answered_at = self.store.write(self.now);
            return self.at(answered_at, Event::Granted { ticket });
        }
        let claim = Claim { key, claimant };
        self.at(self.now + distance, Event::Claim { claim, ticket });
    }

    fn perform(&mut self, bucket: u8, actions: Vec<Action>) {
        for action in actions {
            if let Action::Reply { ticket, .. } = action {
                let distance = self.requests[ticket as usize].distance;
                self.at(self.now + distance, Event::Granted { ticket });
            } else if let Some(call) = action.call() {
                let (time, answer) = self.store.call(bucket, &action, self.now);
                self.at(
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
            self.at(time, Event::Timer { bucket });
        }
    }

    fn granted(&mut self, ticket: u64) {
        let arrived_at = self.requests[ticket as usize].arrived_at;
        if arrived_at >= WARM_UP {
            let latency = (self.now - arrived_at).as_micros() as u64;
            self.latency_us += latency;
        }
    }
}
