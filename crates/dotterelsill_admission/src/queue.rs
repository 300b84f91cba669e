//! Queue of the requests of one service that wait for a slot.

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
    lane::Lane,
    request::Waiting,
    select::{
        candidates,
        mean_used,
        select, //
    },
    team::level_of,
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

/// Waiting requests of one service, by team and urgency.
#[derive(Debug)]
pub struct FairQueue<T> {
    pub(crate) gate: Arc<Gate>,
    pub(crate) lanes: Vec<Lane>,
    waiting: BTreeMap<Ticket, Waiting<T>>,
    expiries: BTreeSet<(Instant, Ticket)>,
    guarantee: Guarantee,
    next_ticket: u64,
    pub(crate) most_per_team: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue in which each team may have `most_per_team`
    /// requests.
    pub fn new(gate: &Arc<Gate>, teams: &Teams, most_per_team: usize) -> Self {
        Self {
            gate: Arc::clone(gate),
            lanes: teams.iter().map(Lane::new).collect(),
            waiting: BTreeMap::new(),
            expiries: BTreeSet::new(),
            guarantee: Guarantee::default(),
            next_ticket: 0,
            most_per_team,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    ///
    /// When the team has as many requests waiting as it may have, the latest at
    /// the urgency with the most of them gives way.
    ///
    /// # Errors
    ///
    /// Returns the reason when the request is refused as not run, and the
    /// payload.
    pub fn push(&mut self, request: Request<T>, now: Instant) -> Result<Pushed<T>, (Refusal, T)> {
        let level = level_of(request.urgency);
        let admitted = self.admit(&request, level, now);
        let (lane, start_by) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return Err((refusal, request.payload)),
        };
        let evicted = match self.make_room(lane, level) {
            Ok(evicted) => evicted,
            Err(refusal) => return Err((refusal, request.payload)),
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting {
            lane,
            level,
            entered: Some((now, self.lanes[lane].waiting_at(level))),
            start_by,
            deadline: request.deadline,
            payload: request.payload,
        };
        self.insert(ticket, waiting, now);
        Ok(Pushed { ticket, evicted })
    }

    /// Puts a request that an upstream refused to run back to its old place.
    ///
    /// The slot is returned and nothing is charged.
    ///
    /// # Errors
    ///
    /// Returns the payload when the team is no longer configured.
    pub fn requeue(
        &mut self,
        started: StartedRequest<T>,
        now: Instant,
    ) -> Result<(), (Refusal, T)> {
        let Some(lane) = self.lane_of(started.running.team()) else {
            return Err((Refusal::UnknownTeam, started.payload));
        };
        let waiting = Waiting {
            lane,
            level: started.running.level(),
            entered: None,
            start_by: started.deadline,
            deadline: started.deadline,
            payload: started.payload,
        };
        started.running.end(RunOutcome::NotRun, now);
        self.insert(started.ticket, waiting, now);
        Ok(())
    }

    /// Starts the request that is next, or returns `None` when no slot is free
    /// or no waiting request may start.
    ///
    /// `take_credit` takes one credit of the team's upper limit and is called
    /// for the team that is about to start. Requests that can no longer meet
    /// their deadline are moved to `refused` as not run.
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
            let waiting = candidates(&self.lanes, &skipped, now);
            let next = select(&waiting, &mut self.guarantee, &self.gate, now);
            let Some((lane, level)) = next else {
                self.gate.release();
                return None;
            };
            let mean = mean_used(&waiting);
            if let Some(late) = self.remove_late(lane, level, now) {
                refused.push(late);
                continue;
            }
            if take_credit(&self.lanes[lane].team) {
                return self.start(lane, level, now);
            }
            // A team at its upper limit saves up nothing for later.
            self.lanes[lane].raise_to(mean.unwrap_or(0.0), now);
            skipped.push(lane);
        }
    }

    /// Ends a request that runs; the same as [`Gate::finish`].
    pub fn finish(&mut self, running: RunningRequest, end: RunOutcome, now: Instant) -> bool {
        self.gate.finish(running, end, now)
    }

    /// Removes a waiting request whose caller gave up and returns its payload,
    /// or `None` when it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        self.remove(ticket).map(|waiting| waiting.payload)
    }

    /// Removes the requests that can no longer meet their deadline; they are
    /// refused as not run.
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

    /// Returns the instant after which [`FairQueue::expire`] has work.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(start_by, _)| *start_by)
    }

    /// Takes over the teams of a new configuration and returns the requests of
    /// teams that are gone; they are refused as not run.
    pub fn reconfigure(&mut self, teams: &Teams, now: Instant) -> Vec<T> {
        let old: Vec<_> = self.lanes.drain(..).map(|lane| lane.team).collect();
        let waiting = std::mem::take(&mut self.waiting);
        self.expiries.clear();
        self.lanes = teams.iter().map(Lane::new).collect();
        for lane in &mut self.lanes {
            lane.forgive_all(now);
        }
        let mut gone = Vec::new();
        for (ticket, mut request) in waiting {
            match self.lane_of(&old[request.lane]) {
                Some(lane) => {
                    request.lane = lane;
                    self.insert(ticket, request, now);
                }
                None => gone.push(request.payload),
            }
        }
        self.gate.set_waiting(self.len());
        gone
    }

    fn start(&mut self, lane: usize, level: usize, now: Instant) -> Option<StartedRequest<T>> {
        let ticket = self.lanes[lane].first(level)?;
        let waiting = self.remove(ticket)?;
        if let Some((entered, before)) = waiting.entered {
            self.lanes[lane].observe_wait(level, now.saturating_duration_since(entered), before);
        }
        let running = RunningRequest::start(&self.gate, &self.lanes[lane].team, level, now);
        Some(StartedRequest {
            running,
            ticket,
            deadline: waiting.deadline,
            payload: waiting.payload,
        })
    }

    fn insert(&mut self, ticket: Ticket, waiting: Waiting<T>, now: Instant) {
        let lane = waiting.lane;
        if self.lanes[lane].waiting() == 0 {
            self.enter(lane, now);
        }
        self.lanes[lane].insert(waiting.level, ticket);
        self.expiries.insert((waiting.start_by, ticket));
        self.waiting.insert(ticket, waiting);
        self.gate.set_waiting(self.len());
    }

    /// Prepares the account of a team that had nothing waiting.
    ///
    /// Shares apply while requests wait. What was used before the first one
    /// waits is forgotten, and a team that comes later starts no lower than the
    /// others are: time in which it wanted nothing is no credit.
    fn enter(&mut self, lane: usize, now: Instant) {
        match mean_used(&candidates(&self.lanes, &[], now)) {
            Some(mean) => self.lanes[lane].raise_to(mean, now),
            None => self.lanes.iter_mut().for_each(|lane| lane.forgive_all(now)),
        }
    }

    /// Returns a waiting request.
    pub(crate) fn waiting(&self, ticket: Ticket) -> Option<&Waiting<T>> {
        self.waiting.get(&ticket)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(waiting.start_by, ticket));
        self.lanes[waiting.lane].remove(waiting.level, ticket);
        self.gate.set_waiting(self.len());
        Some(waiting)
    }
}
