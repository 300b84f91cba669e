//! Choice of the job to put back.

use std::{
    cmp::Ordering,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
};

use super::{
    large::QueueCounts,
    shares::PlannedShares,
    SizeGroup,
    Term,
    WaitingJob, //
};

/// Maximum number of workspaces above their share that are compared with each other;
/// bounds the cost of a choice. The others count as one.
const MAX_COMPARED: usize = 32;

/// Jobs that have the same precedence in deferral, apart from their cost.
type Group<'a> = (Option<&'a str>, &'a str, SizeGroup);

/// Planned jobs, by what decides on their deferral.
#[derive(Debug)]
pub(super) struct Candidates<'a, 'b> {
    groups: BTreeMap<Group<'a>, BinaryHeap<Cheapest<'a>>>,
    /// Workspaces that were above their share at first, sorted.
    compared: Vec<&'a str>,
    shares: PlannedShares<'a>,
    counts: &'b mut QueueCounts<'a>,
}

impl<'a, 'b> Candidates<'a, 'b> {
    pub(super) fn new(shares: PlannedShares<'a>, counts: &'b mut QueueCounts<'a>) -> Self {
        let mut above = shares.above();
        above.truncate(MAX_COMPARED);
        above.sort_unstable();
        Self {
            groups: BTreeMap::new(),
            compared: above,
            shares,
            counts,
        }
    }

    pub(super) fn push(&mut self, job: &'a WaitingJob<'a>) {
        let is_compared = |name: &&str| self.compared.binary_search(name).is_ok();
        let group = (job.workspace.filter(is_compared), job.queue, job.size);
        self.groups.entry(group).or_default().push(Cheapest(job));
    }

    /// Takes out the job to put back: one that is not protected, of the workspace that is
    /// the most above its share, and the one that costs the least for its capacity.
    pub(super) fn pop(&mut self) -> Option<(&'a WaitingJob<'a>, Term)> {
        let precedence = |(group, jobs): (&Group<'a>, &BinaryHeap<Cheapest<'a>>)| {
            let (workspace, queue, size) = *group;
            let cheapest = *jobs.peek()?;
            let counts = self.counts.get(queue);
            let may_defer = counts.is_none_or(|counts| counts.may_defer(size));
            let excess = self.shares.excess(workspace);
            Some((may_defer, excess, cheapest, *group))
        };
        let (_, excess, _, group) = self.groups.iter().filter_map(precedence).max_by(
            |(one_may, one_excess, one, _), (other_may, other_excess, other, _)| {
                let excess = |excess: &Option<f64>| excess.unwrap_or_default();
                one_may
                    .cmp(other_may)
                    .then(excess(one_excess).total_cmp(&excess(other_excess)))
                    .then(one.cmp(other))
            },
        )?;
        let Cheapest(job) = self.groups.get_mut(&group)?.pop()?;
        self.shares.remove(job);
        if let Some(counts) = self.counts.get_mut(job.queue).filter(|_| !job.is_expected) {
            counts.defer(job.size);
        }
        let term = if excess.is_some() {
            Term::Share
        } else {
            Term::Cost
        };
        Some((job, term))
    }
}

/// Orders jobs by the cost of deferring them for the capacity that they take; the
/// cheapest is the largest.
#[derive(Clone, Copy, Debug)]
struct Cheapest<'a>(&'a WaitingJob<'a>);

impl Cheapest<'_> {
    fn worth(&self) -> f64 {
        self.0.value / self.0.work_ms.max(f64::MIN_POSITIVE)
    }
}

impl Ord for Cheapest<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_worth = other.worth().total_cmp(&self.worth());
        by_worth.then(self.0.id.cmp(&other.0.id))
    }
}

impl PartialOrd for Cheapest<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Cheapest<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Cheapest<'_> {}
