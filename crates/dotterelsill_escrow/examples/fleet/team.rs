//! Simulation of one team under one rule.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_escrow::{
    LedgerError,
    Policy, //
};

use crate::{
    demand::{
        Demand,
        STEP, //
    },
    instance::{
        Instance,
        Progress, //
    },
    store::Store, //
};

/// Division of the limit.
#[derive(Clone, Copy)]
pub(crate) enum Rule {
    /// Credits are transferred by the default policy, and runs are cut; a credit
    /// comes back this long after the cut.
    Cut(Duration),
    /// Credits are transferred.
    Escrow(Policy),
    /// One counter for the whole fleet: what is attainable.
    Pooled,
    /// Equal parts that never change.
    Static,
}

/// What one run of one team showed.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) conflicts: usize,
    /// Part of the limit that the dead instance held.
    pub(crate) lost_at_death: f64,
    pub(crate) offered: usize,
    /// Milliseconds from a burst's start until 95% of the limit is in use.
    pub(crate) ramps_ms: Vec<u64>,
    pub(crate) served: usize,
    /// Requests served and offered after the death.
    pub(crate) served_after: usize,
    pub(crate) offered_after: usize,
    /// Mean part of the limit idle while a request waits, over all steps.
    pub(crate) stranded: f64,
    /// The same, only over steps in which a request waits.
    pub(crate) stranded_waiting: f64,
    /// Bursts in which 95% of the limit was never in use.
    pub(crate) unreached: usize,
    pub(crate) writes: usize,
    pub(crate) writes_by_second: Vec<usize>,
}

/// Runs one team; the instance with the most credits dies at `death`.
pub(crate) fn run(
    demand: &Demand,
    rule: Rule,
    instances: usize,
    death: Option<usize>,
) -> Result<Outcome, LedgerError> {
    let mut fleet = fleet(demand.limit, rule, instances);
    let mut store = Store::new(demand.limit)?;
    let mut outcome = Outcome::default();
    let mut used = Vec::with_capacity(demand.arrivals.len());
    let mut idle = Vec::new();
    let mut now = Instant::now();
    for (step, arrivals) in demand.arrivals.iter().enumerate() {
        if death == Some(step) {
            outcome.lost_at_death = kill(&mut fleet, demand.limit);
        }
        store.advance(step);
        for arrival in arrivals {
            let place = place(&fleet, arrival.instance);
            fleet[place].arrive(step, *arrival);
        }
        for instance in &mut fleet {
            let progress = instance.advance(step);
            outcome.count(&progress, death.is_some_and(|death| step >= death));
            instance.transfer(&mut store, step, now);
        }
        let running = running(&fleet);
        used.push(running);
        if fleet.iter().any(Instance::has_waiting) {
            idle.push(demand.limit - running);
        }
        now += STEP;
    }
    outcome.measure_idle(demand, used.len(), &idle);
    outcome.measure_ramps(demand, &used);
    outcome.writes = store.writes;
    outcome.conflicts = store.conflicts;
    outcome.writes_by_second = store.writes_by_second;
    Ok(outcome)
}

impl Outcome {
    fn count(&mut self, progress: &Progress, is_after_death: bool) {
        let left = progress.started + progress.refused;
        self.served += progress.started;
        self.offered += left;
        if is_after_death {
            self.served_after += progress.started;
            self.offered_after += left;
        }
    }

    fn measure_idle(&mut self, demand: &Demand, steps: usize, idle: &[u32]) {
        let sum = f64::from(idle.iter().sum::<u32>()) / f64::from(demand.limit);
        self.stranded = sum / steps as f64;
        self.stranded_waiting = sum / idle.len().max(1) as f64;
    }

    fn measure_ramps(&mut self, demand: &Demand, used: &[u32]) {
        let target = (f64::from(demand.limit) * 0.95).ceil() as u32;
        for &(first, last) in &demand.bursts {
            let reached = used[first..last].iter().position(|used| *used >= target);
            match reached {
                Some(steps) => self.ramps_ms.push((STEP * steps as u32).as_millis() as u64),
                None => self.unreached += 1,
            }
        }
    }
}

fn fleet(limit: u32, rule: Rule, instances: usize) -> Vec<Instance> {
    let count = instances as u32;
    let part = |number: u32| limit / count + u32::from(number < limit % count);
    match rule {
        Rule::Pooled => vec![Instance::new(0, None, limit)],
        Rule::Static => (0..count)
            .map(|number| Instance::new(number as usize, None, part(number)))
            .collect(),
        Rule::Cut(settle) => {
            let steps = (settle.as_millis() / STEP.as_millis()) as usize;
            let mut fleet = fleet_of(Policy::default(), instances);
            for instance in &mut fleet {
                instance.settle_steps = Some(steps);
            }
            fleet
        }
        Rule::Escrow(policy) => fleet_of(policy, instances),
    }
}

fn fleet_of(policy: Policy, instances: usize) -> Vec<Instance> {
    (0..instances)
        .map(|number| Instance::new(number, Some(policy), 0))
        .collect()
}

/// Returns the instance that gets a request: the next one that is alive.
fn place(fleet: &[Instance], first: usize) -> usize {
    let order = (first..first + fleet.len()).map(|number| number % fleet.len());
    let mut alive = order.filter(|number| fleet[*number].alive);
    alive.next().unwrap_or(0)
}

/// Stops the instance that holds most and returns its part of the limit.
fn kill(fleet: &mut [Instance], limit: u32) -> f64 {
    if fleet.len() == 1 {
        return 0.0;
    }
    let most = fleet.iter_mut().max_by_key(|instance| instance.exposed());
    most.map_or(0.0, |instance| {
        instance.alive = false;
        f64::from(instance.exposed()) / f64::from(limit)
    })
}

fn running(fleet: &[Instance]) -> u32 {
    let running = |instance: &Instance| instance.credits().counts().running;
    fleet.iter().map(running).sum()
}
