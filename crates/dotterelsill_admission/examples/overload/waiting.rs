//! The two queues that are compared.

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

/// Requests that each team may have waiting.
const MOST_PER_TEAM: usize = 2000;

/// Order in which waiting requests start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// One queue for all, the baseline.
    FirstInFirstOut,
    /// The fair queue.
    Fair,
}

/// A request of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) team: usize,
    pub(crate) urgency: u32,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) run_time: Duration,
}

/// Waiting requests in either order, over the same gate.
pub(crate) struct Waiting {
    order: Order,
    gate: Arc<Gate>,
    teams: Teams,
    first: VecDeque<Job>,
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
            fair: FairQueue::new(&gate, &teams, MOST_PER_TEAM),
            first: VecDeque::new(),
            gate,
            teams,
        }
    }

    /// Adds a request, unless the queue refuses it.
    pub(crate) fn push(&mut self, job: Job, now: Instant) {
        if self.order == Order::FirstInFirstOut {
            let admitted = self.first.len() < MOST_PER_TEAM * SHARES_PERCENT.len();
            self.first.extend(admitted.then_some(job));
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
        // A refusal is an answer to the caller; only what runs is counted.
        let _ = self.fair.push(request, now);
    }

    /// Starts the next request when a slot is free.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<(Job, RunningRequest)> {
        if self.order == Order::Fair {
            let started = self.fair.pop_next(now, |_| true, &mut Vec::new())?;
            return Some((started.payload, started.running));
        }
        while self.first.front().is_some_and(|job| job.deadline <= now) {
            self.first.pop_front();
        }
        let job = *self.first.front()?;
        let team = self
            .teams
            .iter()
            .nth(job.team)
            .expect("the team is configured");
        let running = self.gate.try_start(team, job.urgency, now)?;
        self.first.pop_front();
        Some((job, running))
    }

    pub(crate) fn finish(&mut self, running: RunningRequest, end: RunOutcome, now: Instant) {
        self.gate.finish(running, end, now);
    }
}
