//! Properties of the order for any jobs.

use std::{
    collections::HashMap,
    time::Duration, //
};

use dotterelsill_jobs::{
    shortage::{
        divide,
        Class,
        JobOccurrence,
        Room,
        Shares,
        Term,
        WaitingJob,
        AGED_AFTER, //
    },
    JobId,
    WorkerKey, //
};
use proptest::{
    collection::vec,
    prelude::*, //
};

use crate::common::{
    self,
    ms, //
};

const NOW: Duration = Duration::from_secs(100);
const ROOM: Room = Room {
    running_ms: 0.0,
    rate: 1.0,
};

/// A job by age, objective and work, in milliseconds, and by workspace.
type Fields = (u64, u64, u32, u32);

fn job<'a>(number: usize, fields: Fields, workspaces: &'a [String]) -> WaitingJob<'a> {
    let (age_ms, objective_ms, work_ms, workspace) = fields;
    let accepted_at = NOW - ms(age_ms);
    WaitingJob {
        id: JobOccurrence {
            job: JobId(number as u64),
            occurrence: 0,
        },
        queue: "queue",
        workspace: Some(&workspaces[workspace as usize]),
        urgency: 0,
        accepted_at,
        due: accepted_at + ms(objective_ms),
        useful_until: accepted_at + ms(objective_ms) * 3,
        shortest: ms(100),
        work_ms: f64::from(work_ms),
        value: 0.3 + f64::from(work_ms) / 100.0,
        running_part: 0.0,
        ready_part: 0.1,
        is_expected: false,
    }
}

fn workspaces() -> Vec<String> {
    (0..4).map(|number| format!("w{number}")).collect()
}

fn jobs(max_age_ms: u64) -> impl Strategy<Value = Vec<Fields>> {
    vec((0..max_age_ms, 500_u64..3000, 1_u32..200, 0_u32..4), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a class that does not say what the pool can do: work that is planned
    /// by a time exceeds the capacity until then, or a job of no use is planned.
    #[test]
    fn planned_work_fits(fields in jobs(15_000)) {
        let workspaces = workspaces();
        let views: Vec<_> = fields.iter().enumerate()
            .map(|(number, &fields)| job(number, fields, &workspaces)).collect();
        let division = divide(&views, ROOM, &Shares::default(), NOW);
        prop_assert_eq!(division.len(), views.len());
        for last in &views {
            let planned = views.iter().filter(|job| {
                division[&job.id].class == Class::OnTime && job.due <= last.due
            });
            let work_ms: f64 = planned.map(|job| job.work_ms).sum();
            let is_planned = division[&last.id].class == Class::OnTime;
            prop_assert!(!is_planned || work_ms <= (last.due - NOW).as_secs_f64() * 1000.0);
            prop_assert!(!is_planned || last.due >= NOW + last.shortest);
            let is_of_use = last.useful_until >= NOW + last.shortest;
            prop_assert_eq!(division[&last.id].class == Class::NoUse, !is_of_use);
        }
    }

    /// Guards against a changed order while all jobs can be on time.
    #[test]
    fn nothing_is_deferred_with_capacity(fields in vec((0_u64..300, 900_u64..3000, 1_u32..8, 0_u32..4), 1..40)) {
        let workspaces = workspaces();
        let views: Vec<_> = fields.iter().enumerate()
            .map(|(number, &fields)| job(number, fields, &workspaces)).collect();
        let division = divide(&views, ROOM, &Shares::default(), NOW);
        prop_assert!(division.values().all(|placing| placing.class == Class::OnTime));
    }

    /// Guards against jobs that starve: the oldest job goes first once it has aged.
    #[test]
    fn oldest_aged_job_goes_first(fields in jobs(40_000)) {
        let workspaces = workspaces();
        let views: Vec<_> = fields.iter().enumerate()
            .map(|(number, &fields)| job(number, fields, &workspaces)).collect();
        let division = divide(&views, ROOM, &Shares::default(), NOW);
        let oldest = views.iter().min_by_key(|job| (job.accepted_at, job.id)).unwrap();
        let has_aged = oldest.accepted_at + AGED_AFTER <= NOW;
        prop_assert_eq!(division[&oldest.id].class == Class::Aged, has_aged);
    }

    /// Guards against a workspace that takes the room of others: with jobs of one size, one
    /// that sends several times as much is cut to twice the others, within one job, before
    /// any of the others is deferred.
    #[test]
    fn surging_workspace_pays_first(factor in 3_usize..8, each in 2_usize..20, weight in 1_u64..50) {
        let workspaces = workspaces();
        let of_workspace = |workspace: u32| if workspace == 0 { each * factor } else { each };
        let fields = (0..4).flat_map(|workspace| {
            std::iter::repeat_n((0, 1000, 20, workspace), of_workspace(workspace))
        });
        let views: Vec<_> = fields.enumerate()
            .map(|(number, fields)| job(number, fields, &workspaces)).collect();
        let shares = Shares {
            weights: workspaces.iter().map(|name| (name.as_str(), weight)).collect(),
            running_ms: HashMap::new(),
        };
        let division = divide(&views, ROOM, &shares, NOW);
        let kept = |name: &str| views.iter().filter(|job| {
            job.workspace == Some(name) && division[&job.id].class == Class::OnTime
        }).count();
        let others: usize = workspaces[1..].iter().map(|name| kept(name)).sum();
        if others < 3 * each {
            prop_assert!(kept(&workspaces[0]) <= 2 * each);
        }
        let pays = |job: &WaitingJob<'_>| division[&job.id].term == Term::Share;
        let payers: Vec<_> = views.iter().filter(|job| pays(job)).collect();
        prop_assert!(payers.iter().all(|job| job.workspace == Some("w0")));
        prop_assert!(payers.len() >= (views.len() - others - kept("w0")).min(each * (factor - 2)));
    }

    /// Guards against a worker that stays idle while a waiting task fits on it.
    #[test]
    fn no_worker_is_idle(sizes in vec((1_u32..12, 1_u64..8), 1..30), age_ms in 0_u64..9000) {
        let mut scheduler = common::scheduler(1, NOW);
        let workers: Vec<WorkerKey> =
            (0..3).map(|index| common::add_worker(&mut scheduler, index, NOW)).collect();
        let records: Vec<_> = sizes.iter().enumerate().map(|(number, &(count, halves))| {
            let mut record = common::record("urgent", 1, vec![common::step(count, halves * 500)]);
            // Ages differ, so that all classes occur.
            record.accepted_unix_ms = 100_000 - age_ms * number as u64 / 30;
            record
        }).collect();
        for (number, record) in records.iter().enumerate() {
            common::submit(&mut scheduler, number as u64, record, NOW);
        }
        let starts = common::starts(&scheduler.plan(NOW));
        let mut free: HashMap<WorkerKey, u64> = workers.iter().map(|&key| (key, 4000)).collect();
        let mut waiting: HashMap<JobId, u32> = HashMap::new();
        for (number, &(count, _)) in sizes.iter().enumerate() {
            waiting.insert(JobId(number as u64), count);
        }
        for (task, worker) in starts {
            let (_, halves) = sizes[task.step.job.0 as usize];
            *free.get_mut(&worker).unwrap() -= halves * 500;
            *waiting.get_mut(&task.step.job).unwrap() -= 1;
        }
        for (job, waiting) in waiting {
            let (_, halves) = sizes[job.0 as usize];
            prop_assert!(waiting == 0 || free.values().all(|&free| free < halves * 500));
        }
    }
}
