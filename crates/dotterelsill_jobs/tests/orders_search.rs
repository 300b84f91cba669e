//! Randomized simulation of elections and of lost and delayed orders to instances,
//! using the real decision code for each scheduler.
//!
//! Jobs that no worker can run create demand for instances in alternating pools, a
//! wave requests maintenance, and each scheduler is replaced after a random time.
//! `SEARCH_SEEDS=N` sets the number of seeds.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Configuration,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    JobId,
    Limits,
    OperatorRequests,
    Pool,
    Scheduler,
    Wave, //
};
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

mod common;
use common::*;

/// Number of seeds to simulate by default.
const SEEDS: u64 = 60;

/// Maximum number of seeds to simulate until an injected bug is detected.
const SEEDS_UNTIL_FOUND: u64 = 400;

const INSTANCES: usize = 12;
const CAP: usize = 3;
const STEP_MS: u64 = 50;
const LENGTH_MS: u64 = 40_000;
const ALTERNATION_WINDOW_MS: u64 = 3000;
const TTL_MS: u64 = 1500;
const MOVE_MS: u64 = 1500;
const MAINTENANCE_MS: u64 = 2000;

/// Maximum time from sending a call to its execution.
const CALL_MS: u64 = 1400;

/// Bugs that are injected into the handling of orders.
#[derive(Clone, Copy, Default)]
struct InjectedBugs {
    /// A new scheduler does not read which instances its predecessor recently gave
    /// orders to.
    forgets_orders: bool,
    /// The record of ordered instances is often not stored before the orders are
    /// sent.
    stores_late: bool,
}

struct Machine {
    pool: String,
    state: InstanceState,
    back_at_ms: u64,
    incarnation: u64,
    fence: u64,
    /// Token and time of the last order that arrived.
    last: Option<(u64, u64)>,
    has_begun: bool,
}

/// An order in flight, or its response on the way back.
struct InFlightOrder {
    token: u64,
    order: InstanceOrder,
    arrives_ms: u64,
    responds_ms: Option<u64>,
    answer: Option<InstanceAnswer>,
}

struct World {
    random: StdRng,
    /// Whether instances refuse orders under a lower token than one they have seen.
    are_fenced: bool,
    bugs: InjectedBugs,
    now_ms: u64,
    token: u64,
    machines: Vec<Machine>,
    in_flight: Vec<InFlightOrder>,
    stored: Vec<String>,
    done: (Duration, Vec<String>),
    scheduler: Scheduler,
    lease_until_ms: u64,
    next_list_ms: u64,
    is_completed: bool,
}

fn pools() -> Arc<Configuration> {
    let mut pools = (*configuration()).clone();
    pools.pools.insert("other".to_owned(), Pool::default());
    pools.queues = with_queue(&pools.queues, "patient", |queue| {
        queue.pool = "other".to_owned();
    });
    Arc::new(pools)
}

fn requests() -> Arc<OperatorRequests> {
    Arc::new(OperatorRequests {
        waves: vec![Wave {
            number: 1,
            instances: (0..INSTANCES).step_by(2).map(name).collect(),
            duration: ms(25_000),
            cap: CAP as u32,
        }],
        ..OperatorRequests::default()
    })
}

fn name(index: usize) -> String {
    format!("i{index}")
}

fn scheduler_of(token: u64, now_ms: u64) -> Scheduler {
    let limits = Limits {
        alternation_window: ms(ALTERNATION_WINDOW_MS),
        ..limits()
    };
    let mut scheduler = Scheduler::new(token, limits, ms(now_ms));
    scheduler.configure(pools(), requests());
    scheduler
}

impl World {
    fn new(seed: u64, are_fenced: bool, bugs: InjectedBugs) -> Self {
        let pool = |index: usize| ["work", "other", "off"][index % 3].to_owned();
        let machine = |index| Machine {
            pool: pool(index),
            state: InstanceState::Up,
            back_at_ms: 0,
            incarnation: 0,
            fence: 0,
            last: None,
            has_begun: false,
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            are_fenced,
            bugs,
            now_ms: 1000,
            token: 1,
            machines: (0..INSTANCES).map(machine).collect(),
            in_flight: Vec::new(),
            stored: Vec::new(),
            done: (ms(1000), Vec::new()),
            scheduler: scheduler_of(1, 1000),
            lease_until_ms: 3000,
            next_list_ms: 1000,
            is_completed: false,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            self.deliver_orders()?;
            self.finish_actions();
            if self.now_ms >= self.lease_until_ms {
                self.elect();
            }
            self.read_list();
            self.submit_unplaceable_job();
            self.plan()?;
        }
        Ok(())
    }

    /// Executes the orders that arrive now, and delivers the responses that are
    /// due.
    fn deliver_orders(&mut self) -> Result<(), String> {
        for index in 0..self.in_flight.len() {
            if self.in_flight[index].answer.is_none()
                && self.in_flight[index].arrives_ms <= self.now_ms
            {
                let (token, order) = {
                    let flight = &self.in_flight[index];
                    (flight.token, flight.order.clone())
                };
                let answer = self.execute(token, &order)?;
                self.in_flight[index].answer = Some(answer);
            }
        }
        let now_ms = self.now_ms;
        let over = |flight: &InFlightOrder| match flight.responds_ms {
            Some(at) => flight.answer.is_some() && at <= now_ms,
            None => flight.answer.is_some(),
        };
        let (over, open): (Vec<InFlightOrder>, Vec<InFlightOrder>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(over);
        self.in_flight = open;
        for flight in over {
            let is_current = flight.token == self.token;
            let answer = match flight.responds_ms {
                Some(_) => flight.answer.unwrap_or(InstanceAnswer::None),
                None => InstanceAnswer::None,
            };
            if is_current
                && self
                    .scheduler
                    .on_instance_answer(&flight.order, answer, ms(now_ms))
            {
                self.send(flight.order);
            }
        }
        Ok(())
    }

    fn execute(&mut self, token: u64, order: &InstanceOrder) -> Result<InstanceAnswer, String> {
        let now_ms = self.now_ms;
        let index: usize = order.instance[1..].parse().expect("names are numbered");
        let down = |machine: &&Machine| machine.state == InstanceState::Maintenance;
        let down = self.machines.iter().filter(down).count();
        let machine = &mut self.machines[index];
        if let Some((last, at)) = machine.last {
            if last != token && now_ms < at + ALTERNATION_WINDOW_MS {
                return Err(format!(
                    "{} has orders of {last} and {token} within {} ms at {now_ms}",
                    order.instance,
                    now_ms - at
                ));
            }
        }
        if self.are_fenced && token < machine.fence {
            return Ok(InstanceAnswer::Fenced);
        }
        machine.fence = token;
        machine.last = Some((token, now_ms));
        if machine.state != InstanceState::Up {
            return Ok(InstanceAnswer::Busy);
        }
        let (state, takes) = match &order.action {
            InstanceAction::Move { pool } => {
                if machine.pool == *pool {
                    return Ok(InstanceAnswer::Done);
                }
                machine.pool.clone_from(pool);
                (InstanceState::Moving, MOVE_MS)
            }
            InstanceAction::Maintain { .. } if machine.has_begun => {
                return Ok(InstanceAnswer::Done);
            }
            InstanceAction::Maintain { .. } => {
                if down >= CAP {
                    return Err(format!(
                        "{down} instances are in maintenance when another one starts, at {now_ms}"
                    ));
                }
                machine.has_begun = true;
                (InstanceState::Maintenance, MAINTENANCE_MS)
            }
        };
        machine.state = state;
        machine.back_at_ms = now_ms + takes;
        Ok(InstanceAnswer::Done)
    }

    fn finish_actions(&mut self) {
        for machine in &mut self.machines {
            if machine.state != InstanceState::Up && machine.back_at_ms <= self.now_ms {
                machine.state = InstanceState::Up;
                machine.incarnation += 1;
            }
        }
    }

    /// Replaces the scheduler; the previous one has sent its last order.
    fn elect(&mut self) {
        self.token += 1;
        let mut next = scheduler_of(self.token, self.now_ms);
        if !self.bugs.forgets_orders {
            next.restore_ordered_instances(&self.stored);
        }
        next.restore_wave(1, self.done.0, &self.done.1);
        self.scheduler = next;
        self.next_list_ms = self.now_ms;
        self.lease_until_ms = self.now_ms + self.random.random_range(500..9000);
    }

    fn read_list(&mut self) {
        if self.now_ms < self.next_list_ms {
            return;
        }
        self.next_list_ms = self.now_ms + 1000;
        let now = ms(self.now_ms);
        let mut list = Vec::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let mut entry: Instance = instance(index, &machine.pool, machine.state);
            let is_on = machine.state == InstanceState::Up && machine.pool != "off";
            entry.worker = if is_on {
                format!("w{index}-{}", machine.incarnation)
            } else {
                String::new()
            };
            if is_on {
                let mut report = report(index, "dc");
                report.id.clone_from(&entry.worker);
                report.pool.clone_from(&machine.pool);
                let (key, _) = self.scheduler.on_report(report, now);
                let granted = self.scheduler.granted();
                self.scheduler.on_granted_stored(&granted);
                self.scheduler.on_worker_status(key, &status_at(now), now);
            }
            list.push(entry);
        }
        self.scheduler.on_instances(list, now, now);
    }

    /// Submits a job that no worker can run, and cancels the earlier ones.
    fn submit_unplaceable_job(&mut self) {
        if !self.random.random_bool(0.03) {
            return;
        }
        let now = ms(self.now_ms);
        let id = self.now_ms / STEP_MS;
        (0..id).for_each(|earlier| {
            self.scheduler.cancel(JobId(earlier), now);
        });
        let mut wanted = step(self.random.random_range(1..20), 1000);
        wanted.required_label = "none has it".to_owned();
        let queue = if self.random.random_bool(0.5) {
            "urgent"
        } else {
            "patient"
        };
        submit(
            &mut self.scheduler,
            id,
            &record(queue, self.token, vec![wanted]),
            now,
        );
        self.scheduler.plan(now);
    }

    fn plan(&mut self) -> Result<(), String> {
        // A scheduler sends no orders when its lease may have expired.
        if self.lease_until_ms < self.now_ms + TTL_MS / 10 {
            return Ok(());
        }
        let now = ms(self.now_ms);
        let orders = self.scheduler.plan_instances(now, now);
        let changes = self.scheduler.wave_changes();
        let names: BTreeSet<&String> = orders.iter().map(|order| &order.instance).collect();
        if names.len() < orders.len() {
            return Err(format!("two orders for one instance: {orders:?}"));
        }
        let is_stored = !self.bugs.stores_late || self.random.random_bool(0.3);
        if !orders.is_empty() && is_stored {
            self.stored = self.scheduler.ordered_instances(now);
        }
        for order in orders {
            self.send(order);
        }
        // The progress of waves is stored some time later.
        if self.random.random_bool(0.3) {
            for change in &changes {
                self.done = (change.started_unix, change.done.clone());
                self.scheduler.on_wave_stored(change);
                self.is_completed |= change.is_completed;
            }
        }
        let has_begun = |machine: &Machine| machine.has_begun;
        if self.is_completed && !self.machines.iter().step_by(2).all(has_begun) {
            return Err("the wave is completed before all maintenance has begun".to_owned());
        }
        Ok(())
    }

    fn send(&mut self, order: InstanceOrder) {
        let arrives_ms = self.now_ms + self.random.random_range(0..CALL_MS);
        let is_lost = self.random.random_bool(0.1);
        self.in_flight.push(InFlightOrder {
            token: self.token,
            order,
            arrives_ms,
            responds_ms: (!is_lost).then_some(arrives_ms),
            answer: None,
        });
    }
}

/// Searches instances that fence orders and instances that do not; returns the
/// violations by seed and by whether the instances fence.
fn run(seeds: u64, bugs: InjectedBugs) -> BTreeMap<(u64, bool), String> {
    let mut found = BTreeMap::new();
    for seed in 0..seeds {
        for are_fenced in [true, false] {
            if let Err(violation) = World::new(seed, are_fenced, bugs).run() {
                found.insert((seed, are_fenced), violation);
            }
        }
    }
    found
}

/// Guards against two schedulers that give alternating orders to one instance,
/// against more instances in maintenance than the wave's cap, and against a wave
/// that is reported as completed too early.
#[test]
fn orders_to_instances_keep_the_rules() {
    let seeds = std::env::var("SEARCH_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let found = run(seeds, InjectedBugs::default());
    assert!(found.is_empty(), "{found:#?}");
}

/// Checks that a bug was found with fenced and with unfenced instances.
fn check_found(found: &BTreeMap<(u64, bool), String>) {
    for are_fenced in [true, false] {
        let of_kind = found.keys().filter(|(_, fenced)| *fenced == are_fenced);
        assert!(of_kind.count() > 0, "not found, fenced: {are_fenced}");
    }
}

/// Checks that the simulation detects a scheduler that ignores the orders of its
/// predecessor.
#[test]
fn search_finds_orders_that_are_forgotten() {
    let bugs = InjectedBugs {
        forgets_orders: true,
        ..InjectedBugs::default()
    };
    check_found(&run(SEEDS_UNTIL_FOUND, bugs));
}

/// Checks that the simulation detects orders that are sent before they are stored.
#[test]
fn search_finds_orders_that_are_stored_late() {
    let bugs = InjectedBugs {
        stores_late: true,
        ..InjectedBugs::default()
    };
    check_found(&run(SEEDS_UNTIL_FOUND, bugs));
}
