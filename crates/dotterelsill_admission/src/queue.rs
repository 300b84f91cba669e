//! Fair queue of the requests of one service that wait for a slot.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Instant, //
};

use crate::{
    guarantee::Guarantee,
    request::WaitingRequest,
    select::{
        candidates,
        mean_used,
        select, //
    },
    team::level_of,
    team_queue::TeamQueue,
    Gate,
    Pushed,
    Refusal,
    Request,
    RunOutcome,
    RunningRequest,
    StartedRequest,
    Team,
    Teams,
    Ticket, //
};

/// Waiting requests of one service, by team and urgency level.
#[derive(Debug)]
pub struct FairQueue<T> {
    pub(crate) gate: Arc<Gate>,
    pub(crate) team_queues: Vec<TeamQueue>,
    waiting: BTreeMap<Ticket, WaitingRequest<T>>,
    /// Waiting requests by the latest instant at which they may start.
    expiries: BTreeSet<(Instant, Ticket)>,
    guarantee: Guarantee,
    next_ticket: u64,
    pub(crate) max_per_team: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue in which each team may have up to `max_per_team`
    /// waiting requests.
    pub fn new(gate: &Arc<Gate>, teams: &Teams, max_per_team: usize) -> Self {
        Self {
            gate: Arc::clone(gate),
            team_queues: teams.iter().map(TeamQueue::new).collect(),
            waiting: BTreeMap::new(),
            expiries: BTreeSet::new(),
            guarantee: Guarantee::default(),
            next_ticket: 0,
            max_per_team,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request to the queue of its team.
    ///
    /// If the queue of the team is full, the newest request of the urgency
    /// level with the most waiting requests is evicted.
    ///
    /// # Errors
    ///
    /// Returns the reason and the payload if the request is refused. It has not
    /// run.
    pub fn push(&mut self, request: Request<T>, now: Instant) -> Result<Pushed<T>, (Refusal, T)> {
        let level = level_of(request.urgency);
        let admitted = self.admit(&request, level, now);
        let (queue_index, start_by) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return Err((refusal, request.payload)),
        };
        let evicted = match self.evict_if_full(queue_index, level) {
            Ok(evicted) => evicted,
            Err(refusal) => return Err((refusal, request.payload)),
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = WaitingRequest {
            queue_index,
            level,
            pushed: Some((now, self.team_queues[queue_index].waiting_at(level))),
            start_by,
            deadline: request.deadline,
            payload: request.payload,
        };
        self.insert(ticket, waiting, now);
        Ok(Pushed { ticket, evicted })
    }

    /// Puts a request that an upstream refused to run back at its previous
    /// position.
    ///
    /// Its slot is released and nothing is charged.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::UnknownTeam`] and the payload if the team is no
    /// longer configured.
    pub fn requeue(
        &mut self,
        started: StartedRequest<T>,
        now: Instant,
    ) -> Result<(), (Refusal, T)> {
        let Some(queue_index) = self.index_of(started.running.team()) else {
            return Err((Refusal::UnknownTeam, started.payload));
        };
        let waiting = WaitingRequest {
            queue_index,
            level: started.running.level(),
            pushed: None,
            start_by: started.deadline,
            deadline: started.deadline,
            payload: started.payload,
        };
        started.running.end(RunOutcome::NotRun, now);
        self.insert(started.ticket, waiting, now);
        Ok(())
    }

    /// Starts the next request. Returns `None` if no slot is free or no waiting
    /// request may start.
    ///
    /// `take_credit` is called for the team whose request is about to start. It
    /// takes one credit of the team's upper limit, or returns `false` if there
    /// is none. Requests that can no longer meet their deadline are moved to
    /// `refused`; they have not run.
    pub fn pop_next(
        &mut self,
        now: Instant,
        mut take_credit: impl FnMut(&Team) -> bool,
        refused: &mut Vec<T>,
    ) -> Option<StartedRequest<T>> {
        refused.extend(self.expire(now));
        if self.is_empty() || !self.gate.take_for_waiting() {
            return None;
        }
        let mut skipped = Vec::new();
        loop {
            let eligible = candidates(&self.team_queues, &skipped, now);
            let next = select(&eligible, &mut self.guarantee, &self.gate, now);
            let Some((index, level)) = next else {
                self.gate.release();
                return None;
            };
            let mean = mean_used(&eligible);
            if let Some(late) = self.remove_late(index, level, now) {
                refused.push(late);
                continue;
            }
            if take_credit(&self.team_queues[index].team) {
                return self.start(index, level, now);
            }
            // A team at its upper limit accumulates no claim to later slots.
            self.team_queues[index].raise_used_to(mean.unwrap_or(0.0), now);
            skipped.push(index);
        }
    }

    /// Ends a running request, like [`Gate::finish`]. Returns whether requests
    /// are waiting for a slot.
    pub fn finish(&mut self, running: RunningRequest, outcome: RunOutcome, now: Instant) -> bool {
        self.gate.finish(running, outcome, now)
    }

    /// Removes a waiting request whose caller gave up. Returns its payload, or
    /// `None` if the request is no longer waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        self.remove(ticket).map(|waiting| waiting.payload)
    }

    /// Removes the requests that can no longer meet their deadline and returns
    /// their payloads. They have not run.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some(&(start_by, ticket)) = self.expiries.first() {
            if start_by >= now {
                break;
            }
            expired.extend(self.cancel(ticket));
        }
        expired
    }

    /// Returns the instant after which [`FairQueue::expire`] removes the next
    /// request.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(start_by, _)| *start_by)
    }

    /// Applies the teams of a new configuration. Returns the payloads of the
    /// requests whose teams were removed; they have not run.
    pub fn reconfigure(&mut self, teams: &Teams, now: Instant) -> Vec<T> {
        let old: Vec<_> = self.team_queues.drain(..).map(|queue| queue.team).collect();
        let waiting = std::mem::take(&mut self.waiting);
        self.expiries.clear();
        self.team_queues = teams.iter().map(TeamQueue::new).collect();
        for queue in &mut self.team_queues {
            queue.reset(now);
        }
        let mut refused = Vec::new();
        for (ticket, mut request) in waiting {
            match self.index_of(&old[request.queue_index]) {
                Some(index) => {
                    request.queue_index = index;
                    self.insert(ticket, request, now);
                }
                None => refused.push(request.payload),
            }
        }
        self.gate.set_waiting(self.len());
        refused
    }

    /// Starts the oldest waiting request of a level.
    fn start(&mut self, index: usize, level: usize, now: Instant) -> Option<StartedRequest<T>> {
        let ticket = self.team_queues[index].first(level)?;
        let waiting = self.remove(ticket)?;
        if let Some((pushed_at, ahead)) = waiting.pushed {
            self.team_queues[index].observe_wait(
                level,
                now.saturating_duration_since(pushed_at),
                ahead,
            );
        }
        let running = RunningRequest::start(&self.gate, &self.team_queues[index].team, level, now);
        Some(StartedRequest {
            running,
            ticket,
            deadline: waiting.deadline,
            payload: waiting.payload,
        })
    }

    fn insert(&mut self, ticket: Ticket, waiting: WaitingRequest<T>, now: Instant) {
        let index = waiting.queue_index;
        if self.team_queues[index].waiting() == 0 {
            self.activate(index, now);
        }
        self.team_queues[index].insert(waiting.level, ticket);
        self.expiries.insert((waiting.start_by, ticket));
        self.waiting.insert(ticket, waiting);
        self.gate.set_waiting(self.len());
    }

    /// Prepares the accounting of a team that had no waiting requests.
    ///
    /// Shares apply only while requests wait. Usage from before the first
    /// waiting request does not count. A team that joins later starts at no
    /// less than the mean usage of the teams already waiting, because being
    /// idle earns no credit.
    fn activate(&mut self, index: usize, now: Instant) {
        match mean_used(&candidates(&self.team_queues, &[], now)) {
            Some(mean) => self.team_queues[index].raise_used_to(mean, now),
            None => self
                .team_queues
                .iter_mut()
                .for_each(|queue| queue.reset(now)),
        }
    }

    /// Returns the waiting request with the given ticket.
    pub(crate) fn waiting(&self, ticket: Ticket) -> Option<&WaitingRequest<T>> {
        self.waiting.get(&ticket)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest<T>> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(waiting.start_by, ticket));
        self.team_queues[waiting.queue_index].remove(waiting.level, ticket);
        self.gate.set_waiting(self.len());
        Some(waiting)
    }
}
