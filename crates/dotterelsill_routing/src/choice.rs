//! Choice of an upstream and reservation of its slot.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Instant, //
};

use crate::{
    Slot,
    Upstream,
    UpstreamSet, //
};

/// What the choice has to know about a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptConstraints<'a> {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Name of the upstream that an earlier attempt used; it is taken only when
    /// no other one has a free slot.
    pub avoid: Option<&'a str>,
}

impl UpstreamSet {
    /// Reserves a slot for a request, or returns `None` when no upstream that
    /// may be used has a free one.
    ///
    /// The local data centre comes first. `random` returns uniformly
    /// distributed numbers.
    pub fn choose(
        &self,
        work: AttemptConstraints<'_>,
        now: Instant,
        mut random: impl FnMut() -> u64,
    ) -> Option<Slot> {
        let now_ms = self.clock.ms(now);
        let slot = choose_from(&self.local, work, now_ms, &mut random)
            .or_else(|| choose_from(&self.remote, work, now_ms, &mut random));
        if slot.is_some() || work.avoid.is_none() {
            return slot;
        }
        self.choose_avoided(work, now_ms)
    }

    fn choose_avoided(&self, work: AttemptConstraints<'_>, now_ms: u64) -> Option<Slot> {
        let mut pools = self.local.iter().chain(&self.remote);
        let upstream = pools.find(|upstream| Some(upstream.name()) == work.avoid)?;
        let any = AttemptConstraints {
            avoid: None,
            ..work
        };
        take(upstream, any, now_ms)
    }
}

fn choose_from(
    pool: &[Arc<Upstream>],
    work: AttemptConstraints<'_>,
    now_ms: u64,
    random: &mut impl FnMut() -> u64,
) -> Option<Slot> {
    let first = below(random(), pool.len())?;
    let second = match below(random(), pool.len() - 1) {
        Some(step) => (first + 1 + step) % pool.len(),
        None => first,
    };
    let (one, other) = (&pool[first], &pool[second]);
    let (better, worse) = match compare_load(one, other, work, now_ms) {
        Ordering::Greater => (other, one),
        _ => (one, other),
    };
    take(better, work, now_ms)
        .or_else(|| take(worse, work, now_ms))
        .or_else(|| scan(pool, first, work, now_ms))
}

/// Takes the first free slot from `start` on, so that a free slot is never
/// missed when both of the random picks have none.
fn scan(
    pool: &[Arc<Upstream>],
    start: usize,
    work: AttemptConstraints<'_>,
    now_ms: u64,
) -> Option<Slot> {
    let (before, after) = pool.split_at(start);
    after
        .iter()
        .chain(before)
        .find_map(|upstream| take(upstream, work, now_ms))
}

fn take(upstream: &Arc<Upstream>, work: AttemptConstraints<'_>, now_ms: u64) -> Option<Slot> {
    if work.avoid == Some(upstream.name()) {
        return None;
    }
    if upstream.is_usable(now_ms) {
        return upstream
            .take_slot(now_ms)
            .then(|| Slot::new(upstream, false));
    }
    let probe = upstream.ejection.is_probe_due(work.repeatable, now_ms)
        && upstream.take_probe_slot(work.repeatable, now_ms);
    probe.then(|| Slot::new(upstream, true))
}

/// Orders by slots in use relative to the limit; an upstream that waits for its
/// probe comes first, one that may not be used comes last.
fn compare_load(
    one: &Upstream,
    other: &Upstream,
    work: AttemptConstraints<'_>,
    now_ms: u64,
) -> Ordering {
    let (one_used, one_limit) = load(one, work, now_ms);
    let (other_used, other_limit) = load(other, work, now_ms);
    (one_used * other_limit).cmp(&(other_used * one_limit))
}

fn load(upstream: &Upstream, work: AttemptConstraints<'_>, now_ms: u64) -> (u64, u64) {
    if upstream.is_usable(now_ms) {
        // One more than in use tells idle upstreams of unequal size apart.
        let used = u64::from(upstream.in_use()) + 1;
        return (used, u64::from(upstream.limit.at(now_ms)));
    }
    if upstream.ejection.is_probe_due(work.repeatable, now_ms) {
        return (0, 1);
    }
    (1, 0)
}

/// Returns a number below `bound` from 64 random bits, or `None` when `bound`
/// is 0.
fn below(random: u64, bound: usize) -> Option<usize> {
    let scaled = (u128::from(random) * bound as u128) >> 64;
    (bound > 0).then_some(scaled as usize)
}
