//! Cumulative counters of the instances that serve one service and team.

use crate::Counts;

/// Age of the last sample after which an instance may be replaced by another.
const REPLACE_AFTER_MS: u64 = 600_000;

/// Last sample of one instance.
#[derive(Clone, Copy, Debug)]
struct Last {
    instance: u64,
    at_ms: u64,
    counts: Counts,
}

/// Requests that were counted between two samples of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Increase {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) counts: Counts,
}

/// What a sample adds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// The instance is new, and the sample is the base for its next one.
    First,
    /// Requests counted since the last sample.
    Increase(Increase),
    /// The sample is not newer than the last one.
    Late,
    /// The instance is new, and all that are kept are in use.
    Full,
}

/// Last samples of a bounded number of instances.
///
/// Counters are kept for each instance, because a sum over instances falls
/// when one of them restarts, and the whole remaining sum would then be taken
/// for new requests.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    last: Vec<Last>,
}

impl Counters {
    /// Adds a sample and returns what it adds.
    ///
    /// A new instance beyond `max` replaces one without recent samples. An
    /// instance in use is never replaced: the instances would then replace
    /// each other in turn, and nothing would be counted.
    pub(crate) fn step(&mut self, instance: u64, at_ms: u64, counts: Counts, max: usize) -> Step {
        let new = Last {
            instance,
            at_ms,
            counts,
        };
        let Some(last) = self.last.iter_mut().find(|last| last.instance == instance) else {
            return self.insert(new, max);
        };
        if at_ms <= last.at_ms {
            return Step::Late;
        }
        let increase = Increase {
            from_ms: last.at_ms,
            to_ms: at_ms,
            counts: increase(last.counts, counts),
        };
        *last = new;
        Step::Increase(increase)
    }

    fn insert(&mut self, new: Last, max: usize) -> Step {
        if self.last.len() < max {
            self.last.reserve_exact(1);
            self.last.push(new);
            return Step::First;
        }
        let is_unused = |last: &&mut Last| last.at_ms.saturating_add(REPLACE_AFTER_MS) < new.at_ms;
        let Some(unused) = self.last.iter_mut().find(is_unused) else {
            return Step::Full;
        };
        *unused = new;
        Step::First
    }
}

/// Returns the increase between two samples. A count that fell shows that the
/// instance restarted and counts from 0 again.
fn increase(old: Counts, new: Counts) -> Counts {
    let good = |counts: Counts| counts.total - counts.errors;
    let was_reset = new.errors < old.errors || good(new) < good(old);
    if was_reset {
        new
    } else {
        new - old
    }
}
