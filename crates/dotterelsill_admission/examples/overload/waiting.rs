//! The two queueing disciplines to compare.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_admission::{
    FairQueue,
    Gate,
    Request,
    RunOutcome,
    RunningRequest,
    TeamShare,
    Teams, //
};

use crate::workload::SHARES_PERCENT;

/// Number of requests that each team may have waiting.
const MAX_PER_TEAM: usize = 2000;

/// Discipline by which waiting requests start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// One queue for all teams, as the baseline.
    FirstInFirstOut,
    /// The fair queue of this crate.
    Fair,
}

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) team: usize,
    pub(crate) urgency: u32,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) run_time: Duration,
}

/// Waiting requests of either discipline, in front of the same gate.
pub(crate) struct Waiting {
    order: Order,
    gate: Arc<Gate>,
    teams: Teams,
    fifo: VecDeque<Job>,
    fair: FairQueue<Job>,
}

impl Waiting {
    pub(crate) fn new(order: Order, slots: u32, now: Instant) -> Self {
        let share = |(index, percent): (usize, &u32)| TeamShare {
            name: format!("team{index}"),
            share_percent: *percent,
        };
        let shares: Vec<_> = SHARES_PERCENT.iter().enumerate().map(share).collect();
        let teams = Teams::new(&shares, now);
        let gate = Arc::new(Gate::new(slots, now));
        Self {
            order,
            fair: FairQueue::new(&gate, &teams, MAX_PER_TEAM),
            fifo: VecDeque::new(),
            gate,
            teams,
        }
    }

    /// Adds a request unless the queue refuses it.
    pub(crate) fn push(&mut self, job: Job, now: Instant) {
        if self.order == Order::FirstInFirstOut {
            let admitted = self.fifo.len() < MAX_PER_TEAM * SHARES_PERCENT.len();
            self.fifo.extend(admitted.then_some(job));
            return;
        }
        let team = self
            .teams
            .iter()
            .nth(job.team)
            .expect("the team is configured");
        let request = Request {
            team: Arc::clone(team),
            urgency: job.urgency,
            deadline: job.deadline,
            payload: job,
        };
        // Refused requests are not counted: the report covers only those that
        // run.
        let _ = self.fair.push(request, now);
    }

    /// Starts the next request if a slot is free.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<(Job, RunningRequest)> {
        if self.order == Order::Fair {
            let started = self.fair.pop_next(now, |_| true, &mut Vec::new())?;
            return Some((started.payload, started.running));
        }
        while self.fifo.front().is_some_and(|job| job.deadline <= now) {
            self.fifo.pop_front();
        }
        let job = *self.fifo.front()?;
        let team = self
            .teams
            .iter()
            .nth(job.team)
            .expect("the team is configured");
        let running = self.gate.try_start(team, job.urgency, now)?;
        self.fifo.pop_front();
        Some((job, running))
    }

    pub(crate) fn finish(&mut self, running: RunningRequest, outcome: RunOutcome, now: Instant) {
        self.gate.finish(running, outcome, now);
    }
}
