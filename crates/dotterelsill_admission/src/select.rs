//! Choice of the waiting request that starts next.
//!
//! Urgency comes first only among teams that are not ahead of their share by
//! more than [`MAX_URGENT_LEAD`]. Without that bound, a team that marks all its
//! work as urgent would take every slot whatever its share.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    guarantee::Guarantee,
    lane::Lane,
    Gate,
    Ticket, //
};

/// Time by which a team may be ahead of its share and its urgent work still
/// goes first.
pub const MAX_URGENT_LEAD: Duration = Duration::from_secs(2);

/// A lane with waiting requests, with its account at the instant of the choice.
pub(crate) struct Candidate<'a> {
    pub(crate) index: usize,
    lane: &'a Lane,
    used: f64,
    charged: f64,
}

impl Candidate<'_> {
    /// Returns the request at the level that came first.
    pub(crate) fn first(&self, level: usize) -> Option<Ticket> {
        self.lane.first(level)
    }
}

/// Returns the lanes with waiting requests, but for those that `skipped` names.
pub(crate) fn candidates<'a>(
    lanes: &'a [Lane],
    skipped: &[usize],
    now: Instant,
) -> Vec<Candidate<'a>> {
    let waiting = lanes
        .iter()
        .enumerate()
        .filter(|(index, lane)| lane.waiting() > 0 && !skipped.contains(index));
    waiting
        .map(|(index, lane)| Candidate {
            index,
            lane,
            used: lane.used(now),
            charged: lane.charged(now),
        })
        .collect()
}

/// Returns the weighted mean of the slot time used by the candidates, by
/// weight.
pub(crate) fn mean_used(candidates: &[Candidate<'_>]) -> Option<f64> {
    let weight = total_weight(candidates);
    let used = |candidate: &Candidate<'_>| candidate.used * candidate.lane.team.weight();
    (weight > 0.0).then(|| candidates.iter().map(used).sum::<f64>() / weight)
}

/// Returns the lane and the level of the request that starts next.
pub(crate) fn select(
    candidates: &[Candidate<'_>],
    guarantee: &mut Guarantee,
    gate: &Gate,
    now: Instant,
) -> Option<(usize, usize)> {
    let waiting = guarantee.update(candidates, gate, now);
    let ahead = MAX_URGENT_LEAD.as_micros() as f64 * f64::from(gate.capacity());
    let bound = mean_used(candidates)? + ahead / total_weight(candidates).max(1.0);
    let within = |candidate: &Candidate<'_>| candidate.used <= bound;
    let (lane, level) = waiting
        .iter()
        .find_map(|level| least_charged(candidates, *level, within))?;
    let owed = guarantee.owed_below(level, &waiting);
    if owed == level {
        return Some((lane, level));
    }
    least_charged(candidates, owed, |_| true)
}

fn least_charged(
    candidates: &[Candidate<'_>],
    level: usize,
    allowed: impl Fn(&Candidate<'_>) -> bool,
) -> Option<(usize, usize)> {
    candidates
        .iter()
        .filter(|candidate| candidate.first(level).is_some() && allowed(candidate))
        .min_by(|one, other| one.charged.total_cmp(&other.charged))
        .map(|candidate| (candidate.index, level))
}

fn total_weight(candidates: &[Candidate<'_>]) -> f64 {
    let weight = |candidate: &Candidate<'_>| candidate.lane.team.weight();
    candidates.iter().map(weight).sum()
}
