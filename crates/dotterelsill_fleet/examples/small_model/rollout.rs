//! Simulates the duration of a roll-out. Each step updates the records of an
//! in-memory store.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_fleet::*;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};

const WORKERS: u32 = 50;
const SERVICES: u32 = 5;
const TOKEN: Token = Token(1);
const LIMITS: BudgetLimits = BudgetLimits {
    floor_percent: 70,
    per_data_centre: 4,
    per_rack: 4,
};

pub(crate) fn report(seed: u64) {
    let growing = WavePolicy::default();
    let fixed = |size| WavePolicy {
        canary: size,
        max_batch: size,
        widening_factor: 1,
        ..growing
    };
    let policies = [
        ("canary and widening", growing),
        ("fixed batches of 1", fixed(1)),
        ("fixed batches of 5", fixed(5)),
    ];
    for (name, policy) in policies {
        let good_version = Simulation::new(seed, policy).run(true);
        let bad_version = Simulation::new(seed, policy).run(false);
        println!(
            "  roll-out, {name}: {:.0} min, {} writes; a bad version halts after {} of {WORKERS} instances",
            good_version.elapsed.as_secs_f64() / 60.0,
            good_version.writes,
            bad_version.started
        );
    }
}

struct SimulationResult {
    elapsed: Duration,
    started: usize,
    writes: u64,
}

struct Simulation {
    budgets: Vec<Versioned<BudgetRecord>>,
    now: Instant,
    pools: Vec<Versioned<PoolRecord>>,
    rng: SmallRng,
    /// Movers whose instance is being maintained, by the end of the maintenance and
    /// the instance.
    running: BTreeMap<(Instant, u32), Mover>,
    started: usize,
    wave: Wave,
    writes: u64,
}

impl Simulation {
    fn new(seed: u64, policy: WavePolicy) -> Self {
        let now = Instant::now();
        let settled = |i: u32| PoolRecord {
            pool: Pool(i % SERVICES),
            step: Step::Settled,
            token: Token(0),
        };
        let budget = BudgetRecord::new(TOKEN, WORKERS / SERVICES);
        Self {
            budgets: (0..SERVICES).map(|_| versioned(budget.clone())).collect(),
            now,
            pools: (0..WORKERS).map(|i| versioned(settled(i))).collect(),
            rng: SmallRng::seed_from_u64(seed),
            running: BTreeMap::new(),
            started: 0,
            wave: Wave::new((0..WORKERS).map(Instance), policy, now),
            writes: 0,
        }
    }

    fn run(mut self, version_is_good: bool) -> SimulationResult {
        let start = self.now;
        while self.wave.phase() == WavePhase::Widening {
            self.start_all();
            let Some(((at, number), mover)) = self.running.pop_first() else {
                self.now += Duration::from_secs(10);
                continue;
            };
            self.now = self.now.max(at);
            self.finish(number, mover);
            let now = self.now;
            self.wave.on_result(Instance(number), version_is_good, now);
        }
        SimulationResult {
            elapsed: self.now - start,
            started: self.started,
            writes: self.writes,
        }
    }

    fn start_all(&mut self) {
        while let Some(instance) = self.wave.next(self.now) {
            let mut mover = Mover::new(TOKEN, upstream(instance.0), Goal::Maintain, LIMITS);
            match self.drive(instance.0, &mut mover) {
                Some(Outcome::BudgetRefused(error)) => {
                    self.wave.on_refused(instance, error);
                    return;
                }
                Some(outcome) => panic!(
                    "unexpected outcome for instance {}: {outcome:?}",
                    instance.0
                ),
                None => {
                    let out_s = self.rng.random_range(60..300);
                    let end = self.now + Duration::from_secs(out_s);
                    self.running.insert((end, instance.0), mover);
                    self.started += 1;
                }
            }
        }
    }

    fn finish(&mut self, number: u32, mut mover: Mover) {
        let Action::Order(Order::Maintain, stamp) = *mover.pending() else {
            panic!("instance {number} is not being maintained");
        };
        mover.on_event(Event::OrderCompleted(stamp));
        let outcome = self.drive(number, &mut mover);
        assert_eq!(outcome, Some(Outcome::Settled(Pool(number % SERVICES))));
    }

    /// Drives a mover until it stops or its instance starts maintenance.
    fn drive(&mut self, number: u32, mover: &mut Mover) -> Option<Outcome> {
        loop {
            let event = match mover.pending().clone() {
                Action::Stop(outcome) => return Some(outcome),
                Action::Order(Order::Maintain, _) => return None,
                action => self.perform(number as usize, action),
            };
            mover.on_event(event);
        }
    }

    fn perform(&mut self, index: usize, action: Action) -> Event {
        let budget = &mut self.budgets[index % SERVICES as usize];
        match action {
            Action::AskEmpty(stamp) => Event::Empty(stamp),
            Action::AskInService(stamp) => Event::InService(stamp),
            Action::Order(_, stamp) => Event::OrderCompleted(stamp),
            Action::ReadBudget => Event::BudgetRead(budget.clone()),
            Action::ReadPool => Event::PoolRead(Some(self.pools[index].clone())),
            Action::Stop(_) => Event::Timeout,
            Action::WriteBudget(write) => {
                self.writes += 1;
                Event::BudgetWritten {
                    expected_version: write_value(budget, write),
                }
            }
            Action::WritePool(write) => {
                self.writes += 1;
                let expected_version = write_value(&mut self.pools[index], write);
                let version = expected_version + 1;
                Event::PoolWritten {
                    expected_version,
                    version,
                }
            }
        }
    }
}

/// Writes a value and returns the version that it replaced. The simulation has no
/// concurrent writers.
fn write_value<T>(key: &mut Versioned<T>, write: Write<T>) -> u64 {
    assert_eq!(key.version, write.expected_version);
    key.value = write.value;
    key.version += 1;
    write.expected_version
}

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned { value, version: 1 }
}

fn upstream(number: u32) -> Upstream {
    Upstream {
        data_centre: DataCentre(number / 4 % 3),
        instance: Instance(number),
        rack: Rack(number / 4),
    }
}
