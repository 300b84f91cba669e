//! Tickets by which a queue's advisor allows workers to run a step.
//!
//! Load pattern: an answer takes a while for each worker that is named, and the
//! advisor handles one call at a time. Workers with room are asked about, a few
//! more than the waiting tasks need, and a worker that was refused never again.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use crate::{
    job::Task,
    place::candidate,
    Resources,
    Scheduler,
    StepId,
    WorkerKey, //
};

/// Most workers that are named in one question: an answer on 30 workers is what a
/// job's objective allows for each step.
const WORKERS_ASKED: usize = 30;

/// Workers that are asked about for each waiting task, since some are refused.
const WORKERS_PER_TASK: usize = 2;

/// Part of a ticket's validity that is left for the start to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(200);

/// Pause before a question that was not answered is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How a queue's advisor answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Advisor {
    /// Time that a decision takes.
    pub decision: Duration,
    /// Time that it takes for each worker that is named.
    pub per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

/// A question to the advisor: which of these workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdvisorQuery {
    /// Step.
    pub step: StepId,
    /// Identifiers of the workers.
    pub workers: Vec<String>,
    /// Time that the advisor takes to answer.
    pub answer_time: Duration,
}

#[derive(Debug)]
struct Ticket {
    text: Arc<str>,
    /// Start of the worker's life that the ticket holds for.
    started_unix_ms: u64,
    valid_until: Duration,
}

/// What the advisor has said of a step.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    by_worker: BTreeMap<String, Ticket>,
    refused: BTreeSet<String>,
    not_before: Duration,
}

impl Scheduler {
    /// Returns the question to ask next: for the first step of an advised queue
    /// whose waiting tasks have no room on workers with a ticket.
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
        let is_open = |step: &StepId| jobs.get(&step.job).is_some_and(crate::job::Job::is_open);
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
        let queue = self.configuration.queue(&job.spec.queue)?;
        let advisor = queue.advisor?;
        let known = self.tickets.get(&id);
        if known.is_some_and(|known| now < known.not_before) {
            return None;
        }
        let tasks = &job.occurrences.get(&id.occurrence)?.steps[id.step as usize].tasks;
        let waiting = tasks.iter().filter(|task| Task::is_waiting(task)).count();
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
            } else if known.is_none_or(|known| !known.refused.contains(name)) {
                unasked.push((candidate.free.cpu_milli, name.clone()));
            }
        }
        if places as usize >= waiting || unasked.is_empty() {
            return None;
        }
        unasked.sort_unstable_by(|a, b| b.cmp(a));
        unasked.truncate((waiting * WORKERS_PER_TASK).min(WORKERS_ASKED));
        let count = unasked.len() as u32;
        Some(AdvisorQuery {
            step: id,
            workers: unasked.into_iter().map(|(_, name)| name).collect(),
            answer_time: advisor.decision + advisor.per_worker * count,
        })
    }

    /// Notes the advisor's answer, the tickets of the workers that it allows;
    /// `None` if there was none.
    pub fn on_advice(
        &mut self,
        query: &AdvisorQuery,
        approved: Option<&[(String, String)]>,
        asked_at: Duration,
        now: Duration,
    ) {
        let job = self.jobs.get(&query.step.job);
        let queue = job.and_then(|job| self.configuration.queue(&job.spec.queue));
        let Some(advisor) = queue.and_then(|queue| queue.advisor) else {
            return;
        };
        let tickets = self.tickets.entry(query.step).or_default();
        let Some(approved) = approved else {
            tickets.not_before = now + RETRY_PAUSE;
            return;
        };
        log::info!(
            step:% = query.step, asked = query.workers.len() as u64,
            approved = approved.len() as u64,
            took_ms = now.saturating_sub(asked_at).as_millis() as u64; "advice"
        );
        for name in &query.workers {
            let text = approved.iter().find(|(worker, _)| worker == name);
            let worker = self.by_id.get(name).and_then(|key| self.workers.get(key));
            match (text, worker) {
                (Some((_, text)), Some(worker)) => {
                    let ticket = Ticket {
                        text: text.as_str().into(),
                        started_unix_ms: worker.report.started_unix_ms,
                        valid_until: asked_at + advisor.validity.saturating_sub(TICKET_MARGIN),
                    };
                    tickets.by_worker.insert(name.clone(), ticket);
                }
                (Some(_), None) => {}
                (None, _) => {
                    tickets.refused.insert(name.clone());
                }
            }
        }
        self.needs_plan = true;
    }

    /// Returns the tickets for a step that are valid; `None` if its queue needs
    /// none.
    pub(crate) fn valid_tickets(
        &self,
        id: StepId,
        now: Duration,
    ) -> Option<BTreeMap<WorkerKey, Arc<str>>> {
        let job = self.jobs.get(&id.job)?;
        self.configuration.queue(&job.spec.queue)?.advisor?;
        let mut valid = BTreeMap::new();
        for (name, ticket) in self.tickets.get(&id).into_iter().flat_map(|t| &t.by_worker) {
            let key = self.by_id.get(name);
            let worker = key.and_then(|key| self.workers.get(key));
            let is_life = worker
                .is_some_and(|worker| worker.report.started_unix_ms == ticket.started_unix_ms);
            if let Some(&key) = key.filter(|_| is_life && now < ticket.valid_until) {
                valid.insert(key, ticket.text.clone());
            }
        }
        Some(valid)
    }

    /// Forgets a ticket that a worker did not take.
    pub(crate) fn drop_ticket(&mut self, id: StepId, key: WorkerKey) {
        let name = self.workers.get(&key).map(|worker| &worker.report.id);
        if let (Some(name), Some(tickets)) = (name, self.tickets.get_mut(&id)) {
            tickets.by_worker.remove(name);
        }
    }
}
