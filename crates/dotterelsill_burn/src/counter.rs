//! Cumulative request counters of instances, for one service and team.

use crate::Counts;

/// Age of an instance's last sample after which a new instance may take its slot.
const REPLACE_AFTER_MS: u64 = 600_000;

/// Most recent sample of one instance.
#[derive(Clone, Copy, Debug)]
struct LastSample {
    instance: u64,
    at_ms: u64,
    counts: Counts,
}

/// Requests counted between two samples of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Increase {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) counts: Counts,
}

/// Result of recording a sample.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SampleResult {
    /// The instance is new; its next sample is compared with this one.
    Baseline,
    /// Requests since the previous sample of the instance.
    Increase(Increase),
    /// The sample is not newer than the previous one.
    Late,
    /// The instance is new, and all slots for instances are in use.
    Full,
}

/// Most recent samples of a bounded number of instances.
///
/// Samples are kept per instance, because a sum over all instances decreases when
/// one of them restarts, and the whole remaining sum would then be counted as new
/// requests.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    last: Vec<LastSample>,
}

impl Counters {
    /// Records a sample and returns the requests since the instance's previous one.
    ///
    /// Once there are `max` instances, a new one replaces an instance without recent
    /// samples. An instance with recent samples is never replaced: instances would
    /// then replace each other in turn, and nothing would be counted.
    pub(crate) fn record(
        &mut self,
        instance: u64,
        at_ms: u64,
        counts: Counts,
        max: usize,
    ) -> SampleResult {
        let new = LastSample {
            instance,
            at_ms,
            counts,
        };
        let Some(last) = self.last.iter_mut().find(|last| last.instance == instance) else {
            return self.insert(new, max);
        };
        if at_ms <= last.at_ms {
            return SampleResult::Late;
        }
        let increase = Increase {
            from_ms: last.at_ms,
            to_ms: at_ms,
            counts: increase(last.counts, counts),
        };
        *last = new;
        SampleResult::Increase(increase)
    }

    fn insert(&mut self, new: LastSample, max: usize) -> SampleResult {
        if self.last.len() < max {
            self.last.reserve_exact(1);
            self.last.push(new);
            return SampleResult::Baseline;
        }
        let is_unused =
            |last: &&mut LastSample| last.at_ms.saturating_add(REPLACE_AFTER_MS) < new.at_ms;
        let Some(unused) = self.last.iter_mut().find(is_unused) else {
            return SampleResult::Full;
        };
        *unused = new;
        SampleResult::Baseline
    }
}

/// Returns the increase between two samples. A decreased counter means that the
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
