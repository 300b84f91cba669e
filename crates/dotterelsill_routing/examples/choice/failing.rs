//! Simulation with one upstream that fails every request.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_routing::{
    AttemptConstraints,
    AttemptOutcome,
    ServiceSpec,
    Slot,
    UpstreamSet,
    UpstreamSpec, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    RngExt as _,
    SeedableRng as _, //
};

const UPSTREAMS: u32 = 12;
const SLOTS: u32 = 8;
/// Mean run time in seconds.
const MEAN_RUN_S: f64 = 0.1;
/// Demand as a part of the capacity.
const LOAD: f64 = 0.7;
const DURATION: Duration = Duration::from_secs(60);

/// Policy by which an upstream is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// A random upstream, or the next one with a free slot; no ejection.
    Random,
    /// The less loaded one of two random upstreams; a floor of 100% prevents
    /// ejection.
    LeastOfTwo,
    /// The less loaded one of two random upstreams, and ejection with a floor
    /// of 70%.
    Ejection,
}

/// Returns the service to simulate.
pub(crate) fn service(floor_percent: u32) -> ServiceSpec {
    let upstream = |number: u32| UpstreamSpec {
        name: format!("upstream{number}"),
        address: format!("127.0.0.1:{}", 9000 + number),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        connections: 64,
    };
    ServiceSpec {
        local_data_centre: "a".to_owned(),
        data_centres_out: Vec::new(),
        availability_floor_percent: floor_percent,
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
    }
}

/// Returns one set per upstream, so that the simulation makes the random
/// choice.
fn single_sets(now: Instant) -> Vec<UpstreamSet> {
    let spec = service(100);
    let one = |upstream: &UpstreamSpec| {
        let upstreams = vec![upstream.clone()];
        UpstreamSet::new(
            &ServiceSpec {
                upstreams,
                ..spec.clone()
            },
            now,
        )
    };
    spec.upstreams.iter().map(one).collect()
}

/// One simulated run.
pub(crate) struct Failing {
    policy: Policy,
    failure: Duration,
    random: SmallRng,
    set: UpstreamSet,
    singles: Vec<UpstreamSet>,
    ends: BTreeMap<(Instant, u64), Slot>,
    start: Instant,
    requests: u64,
    failed: u64,
    without_slot: u64,
    ejected_after: Option<Duration>,
}

impl Failing {
    pub(crate) fn new(policy: Policy, failure_ms: u64, seed: u64) -> Self {
        let start = Instant::now();
        let floor_percent = if policy == Policy::Ejection { 70 } else { 100 };
        Self {
            policy,
            failure: Duration::from_millis(failure_ms),
            random: SmallRng::seed_from_u64(seed),
            set: UpstreamSet::new(&service(floor_percent), start),
            singles: single_sets(start),
            ends: BTreeMap::new(),
            start,
            requests: 0,
            failed: 0,
            without_slot: 0,
            ejected_after: None,
        }
    }

    pub(crate) fn run(mut self) {
        let rate = LOAD * f64::from(UPSTREAMS * SLOTS) / MEAN_RUN_S;
        let mut now = self.start;
        while now < self.start + DURATION {
            now += self.exponential(1.0 / rate);
            self.finish_until(now);
            self.arrive(now);
        }
        self.print();
    }

    fn arrive(&mut self, now: Instant) {
        self.requests += 1;
        let Some(slot) = self.choose(now) else {
            self.without_slot += 1;
            return;
        };
        let run = if is_failing(&slot) {
            self.failure
        } else {
            self.exponential(MEAN_RUN_S)
        };
        self.ends.insert((now + run, self.requests), slot);
    }

    fn choose(&mut self, now: Instant) -> Option<Slot> {
        let random = &mut self.random;
        if self.policy != Policy::Random {
            return self
                .set
                .choose(AttemptConstraints::default(), now, || random.next_u64());
        }
        let first = random.random_range(0..self.singles.len());
        let (before, after) = self.singles.split_at(first);
        let mut sets = after.iter().chain(before);
        sets.find_map(|set| set.choose(AttemptConstraints::default(), now, || 0))
    }

    fn finish_until(&mut self, now: Instant) {
        while let Some(entry) = self.ends.first_entry() {
            let at = entry.key().0;
            if at > now {
                break;
            }
            let slot = entry.remove();
            let failing = is_failing(&slot);
            self.failed += u64::from(failing);
            let outcome = if failing {
                AttemptOutcome::Failure
            } else {
                AttemptOutcome::Success
            };
            self.set.report(slot, outcome, at);
            let ejected = self.set.upstreams()[0].is_ejected();
            if ejected && self.ejected_after.is_none() {
                self.ejected_after = Some(at - self.start);
            }
        }
    }

    fn exponential(&mut self, mean_s: f64) -> Duration {
        let uniform = 1.0 - self.random.random::<f64>();
        Duration::from_secs_f64(-mean_s * uniform.ln())
    }

    fn print(&self) {
        let percent = |count: u64| count as f64 * 100.0 / self.requests as f64;
        println!(
            "  {:?}: failed {:.3}%, without a slot {:.3}%, ejected after {:?}",
            self.policy,
            percent(self.failed),
            percent(self.without_slot),
            self.ejected_after,
        );
    }
}

fn is_failing(slot: &Slot) -> bool {
    slot.upstream().name() == "upstream0"
}
