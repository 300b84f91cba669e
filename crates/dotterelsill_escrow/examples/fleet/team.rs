//! Simulates one team under one strategy.

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

/// Strategy for dividing the limit among instances.
#[derive(Clone, Copy)]
pub(crate) enum Strategy {
    /// Escrow with the default policy, where long runs are aborted and a credit is
    /// released this long after the abort.
    EscrowWithAborts(Duration),
    /// Escrow with the given policy.
    Escrow(Policy),
    /// One counter for the whole fleet, as an upper bound of what is attainable.
    Pooled,
    /// Equal parts of the limit that never change.
    Static,
}

/// Results of one simulation of one team.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) conflicts: usize,
    /// Fraction of the limit that the failed instance held.
    pub(crate) lost_at_failure: f64,
    pub(crate) offered: usize,
    /// Milliseconds from the start of each burst until 95% of the limit is in use.
    pub(crate) ramps_ms: Vec<u64>,
    pub(crate) served: usize,
    /// Requests served after the failure.
    pub(crate) served_after: usize,
    /// Requests offered after the failure.
    pub(crate) offered_after: usize,
    /// Mean fraction of the limit that is idle while a request waits, over all steps.
    pub(crate) stranded: f64,
    /// The same mean over only the steps in which a request waits.
    pub(crate) stranded_waiting: f64,
    /// Number of bursts in which 95% of the limit was never in use.
    pub(crate) unreached: usize,
    pub(crate) writes: usize,
    pub(crate) writes_by_second: Vec<usize>,
}

/// Simulates one team. The instance with the most credits fails at `failure_step`.
pub(crate) fn run(
    demand: &Demand,
    strategy: Strategy,
    instances: usize,
    failure_step: Option<usize>,
) -> Result<Outcome, LedgerError> {
    let mut fleet = fleet(demand.limit, strategy, instances);
    let mut store = Store::new(demand.limit)?;
    let mut outcome = Outcome::default();
    let mut used = Vec::with_capacity(demand.arrivals.len());
    let mut idle = Vec::new();
    let mut now = Instant::now();
    for (step, arrivals) in demand.arrivals.iter().enumerate() {
        if failure_step == Some(step) {
            outcome.lost_at_failure = fail_largest_holder(&mut fleet, demand.limit);
        }
        store.advance(step);
        for arrival in arrivals {
            let instance = route(&fleet, arrival.instance);
            fleet[instance].arrive(step, *arrival);
        }
        for instance in &mut fleet {
            let progress = instance.advance(step);
            outcome.count(
                &progress,
                failure_step.is_some_and(|failure| step >= failure),
            );
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
    fn count(&mut self, progress: &Progress, is_after_failure: bool) {
        let left = progress.started + progress.refused;
        self.served += progress.started;
        self.offered += left;
        if is_after_failure {
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
        for &(start, end) in &demand.bursts {
            let reached = used[start..end].iter().position(|used| *used >= target);
            match reached {
                Some(steps) => self.ramps_ms.push((STEP * steps as u32).as_millis() as u64),
                None => self.unreached += 1,
            }
        }
    }
}

/// Creates the instances and divides the limit among them.
fn fleet(limit: u32, strategy: Strategy, instances: usize) -> Vec<Instance> {
    let count = instances as u32;
    let part = |number: u32| limit / count + u32::from(number < limit % count);
    match strategy {
        Strategy::Pooled => vec![Instance::new(0, None, limit)],
        Strategy::Static => (0..count)
            .map(|number| Instance::new(number as usize, None, part(number)))
            .collect(),
        Strategy::EscrowWithAborts(grace) => {
            let steps = (grace.as_millis() / STEP.as_millis()) as usize;
            let mut fleet = fleet_of(Policy::default(), instances);
            for instance in &mut fleet {
                instance.abort_grace_steps = Some(steps);
            }
            fleet
        }
        Strategy::Escrow(policy) => fleet_of(policy, instances),
    }
}

fn fleet_of(policy: Policy, instances: usize) -> Vec<Instance> {
    (0..instances)
        .map(|number| Instance::new(number, Some(policy), 0))
        .collect()
}

/// Returns the instance that receives a request: the preferred one, or the next one
/// that is alive.
fn route(fleet: &[Instance], first: usize) -> usize {
    let order = (first..first + fleet.len()).map(|number| number % fleet.len());
    let mut alive = order.filter(|number| fleet[*number].alive);
    alive.next().unwrap_or(0)
}

/// Stops the instance that holds the most credits and returns its fraction of the
/// limit.
fn fail_largest_holder(fleet: &mut [Instance], limit: u32) -> f64 {
    if fleet.len() == 1 {
        return 0.0;
    }
    let largest = fleet
        .iter_mut()
        .max_by_key(|instance| instance.credits_at_risk());
    largest.map_or(0.0, |instance| {
        instance.alive = false;
        f64::from(instance.credits_at_risk()) / f64::from(limit)
    })
}

/// Returns the number of requests running on all instances.
fn running(fleet: &[Instance]) -> u32 {
    let running = |instance: &Instance| instance.credits().counts().running;
    fleet.iter().map(running).sum()
}
