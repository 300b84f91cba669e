//! Figures of a replay.

use std::{
    fmt,
    ops::Range,
    time::Duration, //
};

use crate::{
    load::{
        arrivals,
        Arrival,
        Pattern,
        BURSTS_MS,
        WORKSPACES, //
    },
    world::{
        pool_ms,
        StepOrder,
        World, //
    },
};

/// Figures of a pattern and an order, in percent of the jobs.
#[derive(Debug)]
pub(crate) struct Row {
    pattern: &'static str,
    order: StepOrder,
    pub(crate) on_time: f64,
    pub(crate) late: f64,
    pub(crate) no_use: f64,
    pub(crate) never: f64,
    /// Value of the results to callers, of that of all jobs.
    pub(crate) value: f64,
    /// Served jobs of the workspace with the lowest part, among those within their
    /// weight.
    pub(crate) worst_workspace: f64,
    /// Jobs on time of the workspaces within their weight.
    pub(crate) others: f64,
    /// Served jobs of the largest tenth and of the next two tenths.
    pub(crate) large: [f64; 2],
    /// Age of the last job to end, in seconds.
    longest_s: f64,
    /// Jobs that a pool without gaps could end on time.
    bound: f64,
}

impl Row {
    pub(crate) const HEADER: &'static str = "pattern | order | on time | late | no use | never \
        | value | others on time | worst workspace | largest 10% | next 20% | longest s | bound";

    /// Replays a pattern for each of the seeds.
    pub(crate) fn of(pattern: &Pattern, order: StepOrder, seeds: Range<u64>) -> Self {
        let count = seeds.end - seeds.start;
        let rows: Vec<Self> = seeds
            .map(|seed| Self::of_seed(pattern, order, seed))
            .collect();
        let mean = |figure: fn(&Self) -> f64| rows.iter().map(figure).sum::<f64>() / count as f64;
        Self {
            pattern: pattern.name,
            order,
            on_time: mean(|row| row.on_time),
            late: mean(|row| row.late),
            no_use: mean(|row| row.no_use),
            never: mean(|row| row.never),
            value: mean(|row| row.value),
            worst_workspace: mean(|row| row.worst_workspace),
            others: mean(|row| row.others),
            large: [mean(|row| row.large[0]), mean(|row| row.large[1])],
            longest_s: mean(|row| row.longest_s),
            bound: mean(|row| row.bound),
        }
    }

    fn of_seed(pattern: &Pattern, order: StepOrder, seed: u64) -> Self {
        let jobs = arrivals(pattern, seed);
        let mut world = World::new(order, jobs.clone());
        world.run(pattern);
        let ends: Vec<(&Arrival, Option<Duration>)> = jobs.iter().zip(world.took).collect();
        let mut sizes: Vec<f64> = jobs.iter().map(|job| job.size).collect();
        sizes.sort_unstable_by(f64::total_cmp);
        let mean = sizes.iter().sum::<f64>() / sizes.len() as f64;
        let (large, largest) = (sizes[sizes.len() * 7 / 10], sizes[sizes.len() * 9 / 10]);

        let is_served = |job: &Arrival, took: &Option<Duration>| {
            took.is_some_and(|took| took <= job.objective * 3)
        };
        let is_on_time =
            |job: &Arrival, took: &Option<Duration>| took.is_some_and(|took| took <= job.objective);
        let percent = |of: &dyn Fn(&Arrival) -> bool,
                       is: &dyn Fn(&Arrival, &Option<Duration>) -> bool| {
            let of: Vec<_> = ends.iter().filter(|(job, _)| of(job)).collect();
            let count = of.iter().filter(|(job, took)| is(job, took)).count();
            count as f64 * 100.0 / of.len().max(1) as f64
        };
        let value = |job: &Arrival| 0.3 + 0.7 * job.size / mean;
        let gained =
            ends.iter().map(
                |(job, took)| match (is_on_time(job, took), is_served(job, took)) {
                    (true, _) => value(job),
                    (false, true) => value(job) / 10.0,
                    (false, false) => 0.0,
                },
            );
        let first = usize::from(pattern.has_surge);
        let of_workspace = |workspace| percent(&|job| job.workspace == workspace, &is_served);
        let all = |_: &Arrival| true;
        let (on_time, served) = (percent(&all, &is_on_time), percent(&all, &is_served));
        let never = percent(&all, &|_, took| took.is_none());
        let longest = ends.iter().filter_map(|(_, took)| *took).max();
        Self {
            pattern: pattern.name,
            order,
            on_time,
            late: served - on_time,
            no_use: 100.0 - served - never,
            never,
            value: gained.sum::<f64>() * 100.0 / jobs.iter().map(value).sum::<f64>(),
            worst_workspace: (first..WORKSPACES).map(of_workspace).fold(100.0, f64::min),
            others: percent(&|job| job.workspace >= first, &is_on_time),
            large: [
                percent(&|job| job.size >= largest, &is_served),
                percent(&|job| (large..largest).contains(&job.size), &is_served),
            ],
            longest_s: longest.unwrap_or_default().as_secs_f64(),
            bound: bound(&jobs),
        }
    }
}

/// Returns the part of the jobs, in percent, that a pool without gaps could end on time, by the
/// method of Moore and Hodgson with preemption. The work of a burst may be done from its
/// begin, before it arrives, and jobs between bursts need none, so that no order ends
/// more on time.
fn bound(jobs: &[Arrival]) -> f64 {
    let mut served = jobs.len();
    for (begin_ms, end_ms) in BURSTS_MS {
        let mut order: Vec<(f64, f64)> = jobs
            .iter()
            .enumerate()
            .filter(|(_, job)| (begin_ms..end_ms).contains(&job.at_ms))
            .map(|(number, job)| {
                let since_ms = (job.at_ms - begin_ms) as f64;
                let objective_ms = job.objective.as_secs_f64() * 1000.0;
                (since_ms + objective_ms, pool_ms(number, job))
            })
            .collect();
        order.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let mut work_ms = 0.0;
        let mut planned: Vec<f64> = Vec::new();
        for (deadline, job_ms) in order {
            work_ms += job_ms;
            let at = planned.partition_point(|other| *other < job_ms);
            planned.insert(at, job_ms);
            if work_ms > deadline {
                work_ms -= planned.pop().unwrap_or_default();
                served -= 1;
            }
        }
    }
    served as f64 * 100.0 / jobs.len() as f64
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} | {:?} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1}",
            self.pattern,
            self.order,
            self.on_time,
            self.late,
            self.no_use,
            self.never,
            self.value,
            self.others,
            self.worst_workspace,
            self.large[0],
            self.large[1],
            self.longest_s,
            self.bound,
        )
    }
}
