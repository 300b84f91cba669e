//! Lines and counts from which the cause of a task that ran again can be told.

mod common;

use std::{
    cell::RefCell,
    sync::Once, //
};

use common::{
    add_worker,
    confirm,
    ended,
    ms,
    record,
    report,
    running,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Acknowledgement,
    Answer,
    EndCounts,
    GivenUpReason,
    JobId,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    WorkerStatus, //
};
use log::{
    kv::{
        Key,
        Value,
        VisitSource, //
    },
    Level,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

thread_local! {
    /// Lines of this thread, which runs one test.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Recorder;

struct Pairs(String);

impl<'a> VisitSource<'a> for Pairs {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl Log for Recorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        let mut pairs = Pairs(format!("{} {}", record.level(), record.args()));
        if self.enabled(record.metadata()) && record.key_values().visit(&mut pairs).is_ok() {
            LINES.with_borrow_mut(|lines| lines.push(pairs.0));
        }
    }

    fn flush(&self) {}
}

/// Returns a scheduler with one worker, whose lines are recorded.
fn recorded() -> (Scheduler, WorkerKey) {
    static SET: Once = Once::new();
    SET.call_once(|| {
        log::set_logger(&Recorder).expect("no other logger is set");
        log::set_max_level(LevelFilter::Info);
    });
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    (scheduler, key)
}

/// Takes the lines of an event.
#[track_caller]
fn take(event: &str) -> Vec<String> {
    let is_event = |line: &String| line.split(' ').nth(1) == Some(event);
    LINES.with_borrow_mut(|lines| {
        let taken = lines
            .iter()
            .filter(|line| is_event(line))
            .cloned()
            .collect();
        lines.retain(|line| !is_event(line));
        taken
    })
}

/// Submits a job of one task and returns the order of its start.
fn start_task(scheduler: &mut Scheduler, id: u64, now_ms: u64) -> Vec<WorkerOrder> {
    submit(
        scheduler,
        id,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(now_ms),
    );
    let orders = scheduler.plan(ms(now_ms + 10));
    assert_eq!(starts(&orders).len(), 1, "{orders:?}");
    orders
}

/// Returns a status with the end of a run.
fn status_with_end(now_ms: u64, number: u64, id: u64, outcome: RunOutcome) -> WorkerStatus {
    WorkerStatus {
        ended: vec![ended(number, task(id, 0, 0), 1, outcome)],
        ..status_at(ms(now_ms))
    }
}

/// Guards against an end of which the log does not tell the worker, its number there and
/// its life, and against a line for each time that it is listed.
#[test]
fn listed_end_is_logged_once() {
    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 1, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    for now in [1200, 1300] {
        let status = status_with_end(now, 1, 1, RunOutcome::Done);
        scheduler.on_worker_status(key, &status, ms(now));
    }
    assert_eq!(
        take("end_listed"),
        [
            "INFO end_listed task=0000000000000001.0.0.0 attempt=1 outcome=Done worker=w0 \
          number=1 born=1 is_known=true"
        ]
    );
    assert_eq!(take("end_of_unknown_job"), [""; 0]);
    assert_eq!(scheduler.take_end_counts(), EndCounts::default());
}

/// Guards against an end that is acknowledged without effect and leaves no trace, because
/// the scheduler does not know the job.
#[test]
fn end_of_an_unknown_job_is_logged_and_counted() {
    let (mut scheduler, key) = recorded();
    let status = status_with_end(1200, 1, 9, RunOutcome::Done);
    scheduler.on_worker_status(key, &status, ms(1200));
    assert_eq!(
        take("end_of_unknown_job"),
        [
            "WARN end_of_unknown_job task=0000000000000009.0.0.0 attempt=1 outcome=Done \
          worker=w0 number=1 born=1 token=7"
        ]
    );
    let lines = take("end_listed");
    assert!(lines[0].ends_with("is_known=false"), "{lines:?}");
    assert_eq!(scheduler.take_end_counts().of_unknown_jobs, 1);
    assert_eq!(
        scheduler.acknowledgement(key).number,
        1,
        "it is acknowledged"
    );
}

/// Guards against a run that is given up as not listed, started again and then listed as
/// done, of which the log does not tell one of the three.
#[test]
fn done_of_a_run_that_was_given_up_is_told() {
    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 1, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    scheduler.on_worker_status(key, &status_at(ms(1200)), ms(1200));
    let lines = take("run_given_up");
    assert_eq!(
        lines,
        [
            "INFO run_given_up task=0000000000000001.0.0.0 attempt=1 worker=w0 born=1 \
          reason=not_listed is_stopping=false evidence_age_ms=1 ordered_age_ms=90 confirmed_age_ms=80 \
          answered_age_ms=0 worker_ms=1200 granted_until_ms=6117 foreign_until_ms=0"
        ]
    );
    let orders = scheduler.plan(ms(1250));
    assert_eq!(starts(&orders).len(), 1, "{orders:?}");
    assert_eq!(
        take("task_started_again"),
        [
            "INFO task_started_again task=0000000000000001.0.0.0 attempt=2 worker=w0 \
          active_runs=0 last_attempt=1 last_worker=w0 last_outcome=Some(Lapsed) \
          last_given_up=not_listed last_age_ms=50"
        ]
    );
    let status = status_with_end(1300, 1, 1, RunOutcome::Done);
    scheduler.on_worker_status(key, &status, ms(1300));
    assert_eq!(
        take("given_up_run_ended"),
        [
            "WARN given_up_run_ended task=0000000000000001.0.0.0 attempt=1 outcome=Done \
          worker=w0 number=1 born=1 reason=not_listed given_up_age_ms=100"
        ]
    );
    let counts = scheduler.take_end_counts();
    assert_eq!(counts.done_after_given_up, 1);
    assert_eq!(counts.given_up[&GivenUpReason::NotListed], 1);
    assert_eq!(scheduler.take_end_counts(), EndCounts::default());
}

/// Guards against a run that was given up and is found to go on, which the log shows like
/// one of an earlier scheduler.
#[test]
fn adopted_run_that_was_given_up_is_told() {
    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 1, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    scheduler.on_worker_status(key, &status_at(ms(1200)), ms(1200));
    let status = WorkerStatus {
        running: vec![running(task(1, 0, 0), 1, 50)],
        ..status_at(ms(1210))
    };
    scheduler.on_worker_status(key, &status, ms(1210));
    assert_eq!(
        take("run_adopted"),
        [
            "INFO run_adopted task=0000000000000001.0.0.0 attempt=1 worker=w0 born=1 \
          is_wanted=true given_up=not_listed"
        ]
    );
}

/// Guards against reasons that are mixed up: each decides on another fact.
#[test]
fn runs_are_given_up_with_their_reasons() {
    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 1, 1100);
    scheduler.on_answer(key, &orders[0].order, Answer::NoRoom, false, ms(1150));
    let lines = take("run_given_up");
    assert!(
        lines[0].contains(
            "reason=start_refused is_stopping=false evidence_age_ms=0 ordered_age_ms=40 "
        ),
        "{lines:?}"
    );

    let (mut scheduler, _) = recorded();
    let orders = start_task(&mut scheduler, 2, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    scheduler.expire_leases(ms(30_000));
    let lines = take("run_given_up");
    assert!(
        lines[0].contains(
            "reason=lease_lapsed is_stopping=false evidence_age_ms=29000 ordered_age_ms=28890 \
             confirmed_age_ms=28880 answered_age_ms=28880 worker_ms=29420 \
             granted_until_ms=6117 "
        ),
        "{lines:?}"
    );

    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 3, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    scheduler.on_other_worker(key, "127.0.0.1:2000", ms(1140), ms(1150));
    let lines = take("run_given_up");
    assert!(
        lines[0].contains("reason=other_worker is_stopping=false evidence_age_ms=10 "),
        "{lines:?}"
    );

    let (mut scheduler, _) = recorded();
    let orders = start_task(&mut scheduler, 4, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    for requested_at in [5000, 5100] {
        scheduler.on_instances(Vec::new(), ms(requested_at), ms(requested_at + 20));
    }
    let lines = take("run_given_up");
    assert!(
        lines[0].contains("reason=ended_by_list is_stopping=false evidence_age_ms=20 "),
        "{lines:?}"
    );
}

/// Guards against an acknowledgement of which the log does not tell for which life it was
/// sent, or that another life answered it and may have discarded ends that were not read.
#[test]
fn acknowledgement_for_another_life_is_told() {
    let (mut scheduler, key) = recorded();
    let orders = start_task(&mut scheduler, 1, 1100);
    confirm(&mut scheduler, &orders, ms(1120));
    let mut status = status_with_end(1200, 1, 1, RunOutcome::Stopped);
    status
        .ended
        .push(ended(2, task(9, 0, 0), 1, RunOutcome::Done));
    scheduler.on_worker_status(key, &status, ms(1200));
    let sent = scheduler.acknowledgement(key);
    assert_eq!(
        sent,
        Acknowledgement {
            started_unix_ms: 1,
            number: 2
        }
    );
    scheduler.acknowledgement(key);
    assert_eq!(
        take("acknowledgement_raised"),
        ["INFO acknowledgement_raised worker=w0 born=1 sent=0 number=2"]
    );
    scheduler.check_acknowledgement(key, &sent, 1);
    scheduler.check_acknowledgement(key, &sent, 0);
    scheduler.check_acknowledgement(key, &Acknowledgement::default(), 5);
    assert_eq!(take("request_reached_other_life"), [""; 0]);
    scheduler.check_acknowledgement(key, &sent, 5);
    assert_eq!(
        take("request_reached_other_life"),
        ["WARN request_reached_other_life worker=w0 number=2 born=1 answered_by=5"]
    );
    let restarted = WorkerStatus {
        started_unix_ms: 5,
        ..status_at(ms(1300))
    };
    scheduler.on_worker_status(key, &restarted, ms(1300));
    assert_eq!(
        take("worker_born_again"),
        ["INFO worker_born_again worker=w0 runs=0 born=5 earlier=1 processed=2 acknowledged=2"]
    );
}

/// Guards against a takeover after which the log does not tell what the first status of a
/// worker contained, or which tasks may have run before.
#[test]
fn takeover_tells_the_first_status_and_starts() {
    let (mut scheduler, _) = recorded();
    assert_eq!(take("first_status_read"), [""; 0], "it lists nothing");
    for id in [1, 2] {
        let record = record("urgent", 6, vec![step(1, 1000)]);
        scheduler
            .restore(JobId(id), &record, None, ms(1050))
            .expect("the job is usable");
    }
    let (key, _) = scheduler.on_report(report(1, "dc"), ms(1100));
    let status = WorkerStatus {
        running: vec![running(task(1, 0, 0), 6145, 50)],
        ended: vec![ended(4, task(9, 0, 0), 1, RunOutcome::Done)],
        ..status_at(ms(1200))
    };
    scheduler.on_worker_status(key, &status, ms(1200));
    scheduler.on_worker_status(key, &status, ms(1210));
    assert_eq!(
        take("first_status_read"),
        [
            "INFO first_status_read worker=w1 born=1 token=7 ends=1 processed=4 runs=1 adopted=1 \
          is_expected=false"
        ]
    );
    scheduler.open_due_jobs(ms(1250));
    let orders = scheduler.plan(ms(1300));
    assert_eq!(starts(&orders).len(), 1, "{orders:?}");
    let lines = take("restored_task_started");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].starts_with("INFO restored_task_started task=0000000000000002.0.0.0 "),
        "{lines:?}"
    );
    assert!(lines[0].ends_with(" token=7"), "{lines:?}");
}
