//! Choice of an upstream and reservation of a slot.

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

/// Properties of a request that restrict the choice of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptConstraints<'a> {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Name of the upstream of an earlier attempt. It is chosen only if no
    /// other upstream has a free slot.
    pub avoid: Option<&'a str>,
}

impl UpstreamSet {
    /// Reserves a slot for a request, or returns `None` if no usable upstream
    /// has a free one.
    ///
    /// Upstreams in the local data centre take precedence. `random` must return
    /// uniformly distributed numbers.
    pub fn choose(
        &self,
        constraints: AttemptConstraints<'_>,
        now: Instant,
        mut random: impl FnMut() -> u64,
    ) -> Option<Slot> {
        let now_ms = self.clock.ms(now);
        let slot = choose_from(&self.local, constraints, now_ms, &mut random)
            .or_else(|| choose_from(&self.remote, constraints, now_ms, &mut random));
        if slot.is_some() || constraints.avoid.is_none() {
            return slot;
        }
        self.choose_avoided(constraints, now_ms)
    }

    fn choose_avoided(&self, constraints: AttemptConstraints<'_>, now_ms: u64) -> Option<Slot> {
        let mut pools = self.local.iter().chain(&self.remote);
        let upstream = pools.find(|upstream| Some(upstream.name()) == constraints.avoid)?;
        let unconstrained = AttemptConstraints {
            avoid: None,
            ..constraints
        };
        take(upstream, unconstrained, now_ms)
    }
}

/// Reserves a slot of the less loaded one of two random upstreams.
///
/// Falls back to the other one, then to all upstreams in turn.
fn choose_from(
    pool: &[Arc<Upstream>],
    constraints: AttemptConstraints<'_>,
    now_ms: u64,
    random: &mut impl FnMut() -> u64,
) -> Option<Slot> {
    let first = below(random(), pool.len())?;
    let second = match below(random(), pool.len() - 1) {
        Some(step) => (first + 1 + step) % pool.len(),
        None => first,
    };
    let (one, other) = (&pool[first], &pool[second]);
    let (better, worse) = match compare_load(one, other, constraints, now_ms) {
        Ordering::Greater => (other, one),
        _ => (one, other),
    };
    take(better, constraints, now_ms)
        .or_else(|| take(worse, constraints, now_ms))
        .or_else(|| scan(pool, first, constraints, now_ms))
}

/// Takes the first free slot from index `start` on. This finds a free slot even
/// if neither of the two random upstreams has one.
fn scan(
    pool: &[Arc<Upstream>],
    start: usize,
    constraints: AttemptConstraints<'_>,
    now_ms: u64,
) -> Option<Slot> {
    let (before, after) = pool.split_at(start);
    after
        .iter()
        .chain(before)
        .find_map(|upstream| take(upstream, constraints, now_ms))
}

fn take(
    upstream: &Arc<Upstream>,
    constraints: AttemptConstraints<'_>,
    now_ms: u64,
) -> Option<Slot> {
    if constraints.avoid == Some(upstream.name()) {
        return None;
    }
    if upstream.is_usable(now_ms) {
        return upstream
            .take_slot(now_ms)
            .then(|| Slot::new(upstream, false));
    }
    let probe = upstream
        .ejection
        .is_probe_due(constraints.repeatable, now_ms)
        && upstream.take_probe_slot(constraints.repeatable, now_ms);
    probe.then(|| Slot::new(upstream, true))
}

/// Compares the slots in use relative to the limit. An upstream whose probe is
/// due compares as the least loaded, an unusable one as the most loaded.
fn compare_load(
    one: &Upstream,
    other: &Upstream,
    constraints: AttemptConstraints<'_>,
    now_ms: u64,
) -> Ordering {
    let (one_used, one_limit) = load(one, constraints, now_ms);
    let (other_used, other_limit) = load(other, constraints, now_ms);
    (one_used * other_limit).cmp(&(other_used * one_limit))
}

/// Returns the load of an upstream as numerator and denominator.
fn load(upstream: &Upstream, constraints: AttemptConstraints<'_>, now_ms: u64) -> (u64, u64) {
    if upstream.is_usable(now_ms) {
        // Counting one slot more distinguishes idle upstreams of different
        // sizes.
        let used = u64::from(upstream.in_use()) + 1;
        return (used, u64::from(upstream.limit.at(now_ms)));
    }
    if upstream
        .ejection
        .is_probe_due(constraints.repeatable, now_ms)
    {
        return (0, 1);
    }
    (1, 0)
}

/// Maps 64 random bits to a number below `bound`, or returns `None` if `bound`
/// is 0.
fn below(random: u64, bound: usize) -> Option<usize> {
    let scaled = (u128::from(random) * bound as u128) >> 64;
    (bound > 0).then_some(scaled as usize)
}
