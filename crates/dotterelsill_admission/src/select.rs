//! Selection of the waiting request that starts next.
//!
//! Urgency takes precedence only among teams that are ahead of their share by
//! at most [`MAX_URGENT_LEAD`]. Without that bound, a team that marks all its
//! requests as urgent would take every slot regardless of its share.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    guarantee::Guarantee,
    team_queue::TeamQueue,
    Gate,
    Ticket, //
};

/// Longest time by which a team may be ahead of its share while its urgent
/// requests still take precedence. A lead of one second is the slot time that
/// the share of the team amounts to in one second.
pub const MAX_URGENT_LEAD: Duration = Duration::from_secs(2);

/// A team queue with waiting requests, and its usage at the time of the
/// selection.
pub(crate) struct Candidate<'a> {
    pub(crate) index: usize,
    queue: &'a TeamQueue,
    used: f64,
    projected: f64,
}

impl Candidate<'_> {
    /// Returns the oldest waiting request of a level.
    pub(crate) fn first(&self, level: usize) -> Option<Ticket> {
        self.queue.first(level)
    }
}

/// Returns the team queues with waiting requests, except those whose indexes
/// are in `skipped`.
pub(crate) fn candidates<'a>(
    team_queues: &'a [TeamQueue],
    skipped: &[usize],
    now: Instant,
) -> Vec<Candidate<'a>> {
    let waiting = team_queues
        .iter()
        .enumerate()
        .filter(|(index, queue)| queue.waiting() > 0 && !skipped.contains(index));
    waiting
        .map(|(index, queue)| Candidate {
            index,
            queue,
            used: queue.used(now),
            projected: queue.projected(now),
        })
        .collect()
}

/// Returns the mean of the slot time per weight that the candidates used,
/// weighted by team, or `None` without a candidate.
pub(crate) fn mean_used(candidates: &[Candidate<'_>]) -> Option<f64> {
    let weight = total_weight(candidates);
    let used = |candidate: &Candidate<'_>| candidate.used * candidate.queue.team.weight();
    (weight > 0.0).then(|| candidates.iter().map(used).sum::<f64>() / weight)
}

/// Returns the index of the team queue and the level of the request that starts
/// next.
pub(crate) fn select(
    candidates: &[Candidate<'_>],
    guarantee: &mut Guarantee,
    gate: &Gate,
    now: Instant,
) -> Option<(usize, usize)> {
    let waiting = guarantee.update(candidates, gate, now);
    let lead = MAX_URGENT_LEAD.as_micros() as f64 * f64::from(gate.capacity());
    let bound = mean_used(candidates)? + lead / total_weight(candidates).max(1.0);
    let within_bound = |candidate: &Candidate<'_>| candidate.used <= bound;
    let (index, level) = waiting
        .iter()
        .find_map(|level| least_projected(candidates, *level, within_bound))?;
    let due = guarantee.level_in_deficit(level, &waiting);
    if due == level {
        return Some((index, level));
    }
    least_projected(candidates, due, |_| true)
}

/// Returns the candidate with the least projected usage among those that have a
/// waiting request at the level and pass `allowed`.
fn least_projected(
    candidates: &[Candidate<'_>],
    level: usize,
    allowed: impl Fn(&Candidate<'_>) -> bool,
) -> Option<(usize, usize)> {
    candidates
        .iter()
        .filter(|candidate| candidate.first(level).is_some() && allowed(candidate))
        .min_by(|one, other| one.projected.total_cmp(&other.projected))
        .map(|candidate| (candidate.index, level))
}

fn total_weight(candidates: &[Candidate<'_>]) -> f64 {
    let weight = |candidate: &Candidate<'_>| candidate.queue.team.weight();
    candidates.iter().map(weight).sum()
}
