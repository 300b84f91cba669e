//! Tickets with which a queue's advisor permits workers to run a step.
//!
//! Load pattern: the advisor needs some time for each worker in a query and handles
//! one query at a time. A query therefore names only workers with free resources,
//! somewhat more than the waiting tasks need, and never a worker that the advisor
//! has refused before.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use crate::{
    placement::candidate,
    worker::Worker,
    Resources,
    Scheduler,
    StepId,
    WorkerKey, //
};

/// Maximum number of workers in one query. An answer for 30 workers takes as long
/// as a job's latency objective allows for each step.
const MAX_WORKERS_PER_QUERY: usize = 30;

/// Number of workers to ask about per waiting task, since the advisor refuses some.
const WORKERS_PER_TASK: usize = 2;

/// Part of a ticket's validity that is reserved for the start order to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(200);

/// Delay before a query that was not answered is sent again.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Response time and ticket validity of a queue's advisor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Advisor {
    /// Fixed time that each query takes.
    pub decision: Duration,
    /// Additional time per worker in the query.
    pub per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

/// A query to the advisor: which of these workers may run the step?
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdvisorQuery {
    /// Step to run.
    pub step: StepId,
    /// Identifiers of the workers.
    pub workers: Vec<String>,
    /// Time that the advisor is expected to need for the answer.
    pub answer_time: Duration,
}

#[derive(Debug)]
struct Ticket {
    text: Arc<str>,
    /// Start time of the worker incarnation that the ticket is valid for.
    started_unix_ms: u64,
    valid_until: Duration,
}

/// Answers of the advisor for one step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    by_worker: BTreeMap<String, Ticket>,
    /// Refused workers, with the start time of the incarnation that was refused. The next
    /// one may be of another kind.
    refused: BTreeMap<String, u64>,
    not_before: Duration,
}

impl Tickets {
    fn has_refused(&self, worker: &Worker) -> bool {
        let refused = self.refused.get(&worker.report.id);
        refused == Some(&worker.life.started_unix_ms)
    }
}

impl Scheduler {
    /// Returns the next query to send: for the first step of a queue with an
    /// advisor whose waiting tasks do not fit on the workers with a valid ticket.
    pub fn next_advisor_query(&mut self, now: Duration) -> Option<AdvisorQuery> {
        let advised = self
            .configuration
            .queues
            .iter()
            .filter(|q| q.advisor.is_some());
        let pools: BTreeSet<String> = advised.map(|queue| queue.pool.clone()).collect();
        if pools.is_empty() {
            self.tickets.clear();
            return None;
        }
        let jobs = &self.jobs;
        let is_open = |step: &StepId| {
            let job = jobs.get(&step.job).filter(|job| job.is_open());
            job.is_some_and(|job| job.occurrences.contains_key(&step.occurrence))
        };
        self.tickets.retain(|step, _| is_open(step));
        for pool in pools {
            for rank in self.ranks(&pool, now, |_| true) {
                if let Some(query) = self.query(rank.step, now) {
                    return Some(query);
                }
            }
        }
        None
    }

    fn query(&self, id: StepId, now: Duration) -> Option<AdvisorQuery> {
        let job = self.jobs.get(&id.job)?;
        let queue = self.configuration.queue_of_job(&job.spec)?;
        let advisor = queue.advisor?;
        let known = self.tickets.get(&id);
        if known.is_some_and(|known| now < known.not_before) {
            return None;
        }
        let tasks = &job.occurrences.get(&id.occurrence)?.steps[id.step as usize].tasks;
        let waiting = tasks.waiting();
        let resources = job.spec.steps[id.step as usize].counted_resources();
        let valid = self.valid_tickets(id, now).unwrap_or_default();
        let mut places = 0;
        let mut unasked = Vec::new();
        for (&key, worker) in &self.workers {
            if worker.report.pool != queue.pool {
                continue;
            }
            let Some(candidate) = candidate(key, worker, &self.operator_requests, now) else {
                continue;
            };
            if !candidate.free.fits(&Resources::default(), &resources) {
                continue;
            }
            let name = &worker.report.id;
            if valid.contains_key(&key) {
                places += candidate.free.cpu_milli / resources.cpu_milli.max(1);
            } else if known.is_none_or(|known| !known.has_refused(worker)) {
                unasked.push((candidate.free.cpu_milli, name.clone()));
            }
        }
        if places as usize >= waiting || unasked.is_empty() {
            return None;
        }
        unasked.sort_unstable_by(|a, b| b.cmp(a));
        unasked.truncate((waiting * WORKERS_PER_TASK).min(MAX_WORKERS_PER_QUERY));
        let count = unasked.len() as u32;
        Some(AdvisorQuery {
            step: id,
            workers: unasked.into_iter().map(|(_, name)| name).collect(),
            answer_time: advisor.decision + advisor.per_worker * count,
        })
    }

    /// Handles the advisor's answer: the name and ticket of each permitted worker,
    /// or `None` if there was no answer.
    pub fn on_advice(
        &mut self,
        query: &AdvisorQuery,
        approved: Option<&[(String, String)]>,
        requested_at: Duration,
        now: Duration,
    ) {
        let job = self.jobs.get(&query.step.job);
        let queue = job.and_then(|job| self.configuration.queue_of_job(&job.spec));
        let Some(advisor) = queue.and_then(|queue| queue.advisor) else {
            return;
        };
        let tickets = self.tickets.entry(query.step).or_default();
        let Some(approved) = approved else {
            tickets.not_before = now + QUERY_RETRY_DELAY;
            return;
        };
        log::info!(
            step:% = query.step, asked = query.workers.len() as u64,
            approved = approved.len() as u64,
            took_ms = now.saturating_sub(requested_at).as_millis() as u64; "advice"
        );
        for name in &query.workers {
            let text = approved.iter().find(|(worker, _)| worker == name);
            let worker = self.by_id.get(name).and_then(|key| self.workers.get(key));
            // The answer may be about an earlier incarnation.
            let worker = worker.filter(|worker| worker.life.since <= requested_at);
            match (text, worker) {
                (Some((_, text)), Some(worker)) => {
                    let ticket = Ticket {
                        text: text.as_str().into(),
                        started_unix_ms: worker.life.started_unix_ms,
                        valid_until: requested_at + advisor.validity.saturating_sub(TICKET_MARGIN),
                    };
                    tickets.by_worker.insert(name.clone(), ticket);
                }
                (None, Some(worker)) => {
                    let started_unix_ms = worker.life.started_unix_ms;
                    tickets.refused.insert(name.clone(), started_unix_ms);
                }
                (_, None) => {}
            }
        }
        self.needs_plan = true;
    }

    /// Returns the valid tickets for a step; `None` if its queue has no advisor.
    pub(crate) fn valid_tickets(
        &self,
        id: StepId,
        now: Duration,
    ) -> Option<BTreeMap<WorkerKey, Arc<str>>> {
        let job = self.jobs.get(&id.job)?;
        self.configuration.queue_of_job(&job.spec)?.advisor?;
        let mut valid = BTreeMap::new();
        for (name, ticket) in self.tickets.get(&id).into_iter().flat_map(|t| &t.by_worker) {
            let key = self.by_id.get(name);
            let worker = key.and_then(|key| self.workers.get(key));
            let is_life =
                worker.is_some_and(|worker| worker.life.started_unix_ms == ticket.started_unix_ms);
            if let Some(&key) = key.filter(|_| is_life && now < ticket.valid_until) {
                valid.insert(key, ticket.text.clone());
            }
        }
        Some(valid)
    }

    /// Drops a ticket that the worker did not accept.
    pub(crate) fn drop_ticket(&mut self, id: StepId, key: WorkerKey) {
        let name = self.workers.get(&key).map(|worker| &worker.report.id);
        if let (Some(name), Some(tickets)) = (name, self.tickets.get_mut(&id)) {
            tickets.by_worker.remove(name);
        }
    }
}
