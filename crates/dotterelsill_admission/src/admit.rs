//! Admission of requests to the queue by deadline and per-team queue limit.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    team_queue::TeamQueue,
    FairQueue,
    Refusal,
    Request,
    Team, //
};

impl<T> FairQueue<T> {
    /// Returns the index of the team queue for a request and the latest instant
    /// at which the request may start and still meet its deadline.
    pub(crate) fn admit(
        &self,
        request: &Request<T>,
        level: usize,
        now: Instant,
    ) -> Result<(usize, Instant), Refusal> {
        let index = self.index_of(&request.team).ok_or(Refusal::UnknownTeam)?;
        let queue = &self.team_queues[index];
        let left = request.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(Refusal::DeadlineUnmeetable);
        }
        let needed = time_needed(&request.team, level, left);
        // An idle level admits a request whatever run times were observed
        // before. Otherwise, after one long run time, every request would be
        // refused and no shorter run time could be observed.
        let late = self.expected_wait(queue, level).saturating_add(needed) > left;
        if late && !queue.is_idle(level) {
            return Err(Refusal::DeadlineUnmeetable);
        }
        Ok((index, request.deadline - needed))
    }

    /// Removes the first request of a level if it can no longer meet its
    /// deadline, based on the run times observed since it was pushed.
    pub(crate) fn remove_late(&mut self, index: usize, level: usize, now: Instant) -> Option<T> {
        let queue = &self.team_queues[index];
        let ticket = queue.first(level)?;
        let waiting = self.waiting(ticket)?;
        let (pushed_at, _) = waiting.pushed?;
        let allowed = waiting.deadline.saturating_duration_since(pushed_at);
        let start_by = waiting.deadline - time_needed(&queue.team, level, allowed);
        (start_by < now).then(|| self.cancel(ticket)).flatten()
    }

    /// Estimates how long a new request waits. Uses the waits observed at its
    /// level, or the share of the team if there are none.
    ///
    /// The share alone is a poor estimate: the part of it that a level gets
    /// depends on the urgency of all other waiting requests.
    fn expected_wait(&self, queue: &TeamQueue, level: usize) -> Duration {
        if let Some(wait) = queue.observed_wait(level) {
            return wait;
        }
        let own = queue.team.weight();
        let others = self.team_queues.iter().filter(|other| other.waiting() > 0);
        let others = others.filter(|other| !Arc::ptr_eq(&other.team, &queue.team));
        let total = own + others.map(|other| other.team.weight()).sum::<f64>();
        let slots = f64::from(self.gate.capacity()) * own / total;
        let ahead = queue.expected_ahead(level).as_secs_f64();
        if ahead == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead / slots).unwrap_or(Duration::MAX)
    }

    /// Evicts a request if the queue of the team is full: the newest one of the
    /// level with the most waiting requests. Returns its payload.
    ///
    /// Evicting from the longest level leaves each level a part of the queue.
    /// Evicting the least urgent requests instead would starve their level.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full and no level has more waiting
    /// requests than `level`.
    pub(crate) fn evict_if_full(
        &mut self,
        index: usize,
        level: usize,
    ) -> Result<Option<T>, Refusal> {
        let limit = self.max_per_team;
        let queue = &self.team_queues[index];
        if queue.waiting() < limit {
            return Ok(None);
        }
        let longest = queue.longest_level();
        if queue.waiting_at(longest) <= queue.waiting_at(level) {
            return Err(Refusal::QueueFull { limit });
        }
        let newest = queue.last(longest);
        Ok(newest.and_then(|ticket| self.cancel(ticket)))
    }

    /// Returns the index of the queue of a team.
    pub(crate) fn index_of(&self, team: &Arc<Team>) -> Option<usize> {
        self.team_queues
            .iter()
            .position(|queue| Arc::ptr_eq(&queue.team, team))
    }
}

/// Returns the time to reserve for a run: the 99th percentile of the observed
/// run times, but at most three quarters of the time left.
///
/// Without that cap, a queue whose run times often exceed its timeout would
/// admit nothing.
fn time_needed(team: &Team, level: usize, left: Duration) -> Duration {
    team.run_time(level).p99().min(left / 4 * 3)
}
