//! Recurring jobs whose schedule began long ago.

mod common;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use common::{
    add_worker,
    confirm,
    ended,
    ms,
    record,
    running,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    JobChange,
    JobId,
    Order,
    RunOutcome,
    Scheduler,
    TaskId,
    WorkerKey, //
};
use dotterelsill_proto::jobs::{
    JobRecord,
    Phase,
    ProgressRecord, //
};

/// One occurrence each minute for a year, all of them due.
const MINUTES_OF_A_YEAR: u32 = 525_600;

const JOB: JobId = JobId(1);

fn overdue(count: u32, tasks: u32) -> JobRecord {
    JobRecord {
        occurrences: count,
        first_unix_ms: 0,
        interval_ms: 1,
        ..record("patient", 7, vec![step(tasks, 100)])
    }
}

fn submit_overdue(scheduler: &mut Scheduler, record: &JobRecord, now: Duration) {
    let spec = dotterelsill_jobs::JobSpec::try_from(record).expect("the job is usable");
    scheduler.submit(JOB, spec, now, ms(u64::from(MINUTES_OF_A_YEAR)));
}

/// Returns the number of open steps that an explanation lists.
fn open_steps(scheduler: &Scheduler, now: Duration) -> usize {
    let text = scheduler.explain(JOB, now).expect("the job is known");
    text.lines()
        .filter(|line| line.starts_with("step "))
        .count()
}

/// Guards against state for each occurrence that is due, which ends each process that
/// schedules for its memory, and against other jobs that wait behind the overdue ones.
#[test]
fn overdue_occurrences_are_opened_a_few_at_a_time() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    submit_overdue(&mut scheduler, &overdue(MINUTES_OF_A_YEAR, 4), ms(1000));
    scheduler.open_due_jobs(ms(u64::from(MINUTES_OF_A_YEAR)));
    let open = open_steps(&scheduler, ms(1000));
    assert!((1..=1000).contains(&open), "{open} occurrences are open");
    submit(
        &mut scheduler,
        2,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1010),
    );
    let orders = scheduler.plan(ms(1020));
    let other = task(2, 0, 0);
    assert!(starts(&orders).iter().any(|(task, _)| *task == other));
}

/// Guards against a cancelled job that goes on with the occurrences that are due.
#[test]
fn cancelled_job_opens_no_more_occurrences() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    submit_overdue(&mut scheduler, &overdue(MINUTES_OF_A_YEAR, 1), ms(1000));
    assert!(scheduler.cancel(JOB, ms(1010)));
    scheduler.open_due_jobs(ms(u64::from(MINUTES_OF_A_YEAR)));
    assert_eq!(starts(&scheduler.plan(ms(1020))), []);
}

/// A scheduler with one worker whose tasks all end as done after one step, and the
/// store's progress record.
struct Replay {
    scheduler: Scheduler,
    worker: WorkerKey,
    now: Duration,
    next_end: u64,
    stored: Option<(ProgressRecord, u64)>,
    /// Number of runs of each task.
    runs: BTreeMap<TaskId, u32>,
}

impl Replay {
    fn new(mut scheduler: Scheduler, now: Duration) -> Self {
        let worker = add_worker(&mut scheduler, 0, now);
        Self {
            scheduler,
            worker,
            now,
            next_end: 1,
            stored: None,
            runs: BTreeMap::new(),
        }
    }

    /// Lets a further scheduler take over from what is stored. The worker has ended.
    fn take_over(self, token: u64, record: &JobRecord) -> Self {
        let now = self.now + ms(10_000);
        let mut next = scheduler(token, now);
        let progress = self.stored.as_ref().map(|(record, at)| (record, *at));
        next.restore(JOB, record, progress, now)
            .expect("the job is usable");
        Self {
            stored: self.stored,
            runs: self.runs,
            ..Self::new(next, now)
        }
    }

    /// Starts what can start, ends it, and stores the progress.
    fn step(&mut self) {
        self.now += ms(50);
        self.scheduler
            .open_due_jobs(ms(u64::from(MINUTES_OF_A_YEAR)));
        let orders = self.scheduler.plan(self.now);
        confirm(&mut self.scheduler, &orders, self.now);
        let mut status = status_at(self.now + ms(10));
        for order in &orders {
            let Order::Start { task, attempt, .. } = order.order else {
                continue;
            };
            *self.runs.entry(task).or_default() += 1;
            status
                .ended
                .push(ended(self.next_end, task, attempt, RunOutcome::Done));
            self.next_end += 1;
        }
        self.scheduler
            .on_worker_status(self.worker, &status, self.now + ms(10));
        for JobChange {
            job,
            number,
            record,
            ..
        } in self.scheduler.take_changes(10)
        {
            let revision = self.stored.as_ref().map_or(0, |(_, at)| *at) + 1;
            self.stored = Some((record, revision));
            self.scheduler.on_stored(job, number, revision);
        }
    }
}

/// Guards against occurrences that are skipped or run twice over hand-overs while many
/// are due, and against a progress record that grows with the number of those that
/// are completed.
#[test]
fn overdue_occurrences_run_once_over_hand_overs() {
    let count = 5000;
    let record = overdue(count, 1);
    let mut first = scheduler(7, ms(1000));
    submit_overdue(&mut first, &record, ms(1000));
    let mut replay = Replay::new(first, ms(1000));
    let mut most_listed = 0;
    for token in 8.. {
        for _ in 0..45 {
            replay.step();
        }
        let (stored, _) = replay.stored.as_ref().expect("progress is stored");
        most_listed = most_listed.max(stored.done_occurrences.len());
        if stored.phase() == Phase::Completed {
            break;
        }
        assert!(token < 100, "the job does not end");
        replay = replay.take_over(token, &record);
    }
    assert_eq!(
        replay.runs.len(),
        count as usize,
        "occurrences were skipped"
    );
    assert!(replay.runs.values().all(|&runs| runs == 1));
    // The leading ones up to the limit, and one for each task that waits.
    assert!(
        most_listed <= 2000,
        "a progress record lists {most_listed} occurrences"
    );
}

/// Guards against a job that stays open after a takeover: runs of later occurrences
/// are found first and take the room of earlier ones whose ends were not stored.
#[test]
fn occurrence_found_by_its_run_is_completed() {
    let record = overdue(3, 2000);
    let mut successor = scheduler(8, ms(1000));
    successor
        .restore(JOB, &record, None, ms(1000))
        .expect("the job is usable");
    let key = add_worker(&mut successor, 0, ms(1000));
    let mut found = task(1, 0, 7);
    found.step.occurrence = 2;
    let mut status = status_at(ms(1010));
    status.running = vec![running(found, 1, 50)];
    successor.on_worker_status(key, &status, ms(1010));
    successor.open_due_jobs(ms(u64::from(MINUTES_OF_A_YEAR)));
    let orders = successor.plan(ms(7000));
    let started = starts(&orders);
    assert!(
        started.iter().any(|(task, _)| task.step.occurrence == 2),
        "{started:?}"
    );
    assert!(!started.iter().any(|(task, _)| *task == found));
}
