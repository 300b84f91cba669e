//! Choice of the job to put back.

use std::{
    cmp::Ordering,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
};

use super::{
    shares::PlannedShares,
    Term,
    WaitingJob, //
};

/// Maximum number of workspaces above their share that are compared with each other, which
/// bounds the cost of a choice. The others count as one.
const MAX_COMPARED: usize = 32;

/// Planned jobs from which one is chosen to be put back.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    /// Jobs of each compared workspace; those of all others are below `None`.
    groups: BTreeMap<Option<&'a str>, BinaryHeap<Cheapest<'a>>>,
    /// Workspaces that were above their share at first, sorted.
    compared: Vec<&'a str>,
    shares: PlannedShares<'a>,
}

impl<'a> Candidates<'a> {
    pub(super) fn new(shares: PlannedShares<'a>) -> Self {
        let mut compared = shares.above();
        compared.truncate(MAX_COMPARED);
        compared.sort_unstable();
        Self {
            groups: BTreeMap::new(),
            compared,
            shares,
        }
    }

    pub(super) fn push(&mut self, job: &'a WaitingJob<'a>) {
        let is_compared = |name: &&str| self.compared.binary_search(name).is_ok();
        let group = job.workspace.filter(is_compared);
        self.groups.entry(group).or_default().push(Cheapest(job));
    }

    /// Takes out the job to put back: one of the workspace that is the most above its
    /// share, and the one that costs the least for its capacity.
    pub(super) fn pop(&mut self) -> Option<(&'a WaitingJob<'a>, Term)> {
        let of_group = |(group, jobs): (&Option<&'a str>, &BinaryHeap<Cheapest<'a>>)| {
            let excess = self.shares.excess(*group).unwrap_or_default();
            Some((excess, *jobs.peek()?, *group))
        };
        let groups = self.groups.iter().filter_map(of_group);
        let (excess, _, group) = groups
            .max_by(|one, other| one.0.total_cmp(&other.0).then_with(|| one.1.cmp(&other.1)))?;
        let Cheapest(job) = self.groups.get_mut(&group)?.pop()?;
        self.shares.remove(job);
        let term = if excess > 0.0 {
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
