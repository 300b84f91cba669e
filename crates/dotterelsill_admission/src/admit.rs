//! Admission of a request to the queue: deadline and bound per team.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    lane::Lane,
    FairQueue,
    Refusal,
    Request,
    Team, //
};

impl<T> FairQueue<T> {
    /// Returns the lane of a request and the instant by which it has to start.
    pub(crate) fn admit(
        &self,
        request: &Request<T>,
        level: usize,
        now: Instant,
    ) -> Result<(usize, Instant), Refusal> {
        let index = self.lane_of(&request.team).ok_or(Refusal::UnknownTeam)?;
        let lane = &self.lanes[index];
        let left = request.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(Refusal::DeadlineUnmeetable);
        }
        let needed = needed(&request.team, level, left);
        // The first request is let in, whatever was observed before: otherwise
        // a run time that was once long would never be observed again.
        let late = self.expected_wait(lane, level).saturating_add(needed) > left;
        if late && !lane.is_idle(level) {
            return Err(Refusal::DeadlineUnmeetable);
        }
        Ok((index, request.deadline - needed))
    }

    /// Removes the first request of a lane's level when it can no longer meet
    /// its deadline by the run times observed since it was pushed.
    pub(crate) fn remove_late(&mut self, lane: usize, level: usize, now: Instant) -> Option<T> {
        let lane = &self.lanes[lane];
        let ticket = lane.first(level)?;
        let waiting = self.waiting(ticket)?;
        let (entered, _) = waiting.entered?;
        let allowed = waiting.deadline.saturating_duration_since(entered);
        let start_by = waiting.deadline - needed(&lane.team, level, allowed);
        (start_by < now).then(|| self.cancel(ticket)).flatten()
    }

    /// Returns how long a request is expected to wait: as observed since
    /// requests wait, or else as the team's share allows.
    ///
    /// A share alone says too little, since what a level gets of it depends on
    /// the urgency of all other work.
    fn expected_wait(&self, lane: &Lane, level: usize) -> Duration {
        if let Some(wait) = lane.observed_wait(level) {
            return wait;
        }
        let own = lane.team.weight();
        let others = self.lanes.iter().filter(|other| other.waiting() > 0);
        let others = others.filter(|other| !Arc::ptr_eq(&other.team, &lane.team));
        let total = own + others.map(|other| other.team.weight()).sum::<f64>();
        let slots = f64::from(self.gate.capacity()) * own / total;
        let ahead = lane.expected_ahead(level).as_secs_f64();
        if ahead == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead / slots).unwrap_or(Duration::MAX)
    }

    /// Returns the request that gives way when the team's lane is full: the
    /// latest at the urgency that has the most waiting.
    ///
    /// Each urgency thus keeps its part of the bound. Eviction of the least
    /// urgent would leave none of them waiting, and so starve them.
    pub(crate) fn make_room(&mut self, lane: usize, level: usize) -> Result<Option<T>, Refusal> {
        let limit = self.most_per_team;
        let lane = &self.lanes[lane];
        if lane.waiting() < limit {
            return Ok(None);
        }
        let longest = lane.longest_level();
        if lane.waiting_at(longest) <= lane.waiting_at(level) {
            return Err(Refusal::QueueFull { limit });
        }
        let latest = lane.last(longest);
        Ok(latest.and_then(|ticket| self.cancel(ticket)))
    }

    /// Returns the lane of a team.
    pub(crate) fn lane_of(&self, team: &Arc<Team>) -> Option<usize> {
        self.lanes
            .iter()
            .position(|lane| Arc::ptr_eq(&lane.team, team))
    }
}

/// Returns the time that a request needs from its start to its deadline.
///
/// Three quarters of its time are enough in any case, so that run times that
/// are often longer than the time allowed do not shut a queue out.
fn needed(team: &Team, level: usize, left: Duration) -> Duration {
    team.run_time(level).high().min(left / 4 * 3)
}
