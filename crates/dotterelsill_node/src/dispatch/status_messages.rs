//! Conversion of the status of a worker.

use dotterelsill_jobs::{
    ListedEnd,
    ListedRun,
    RunOutcome,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    DispatchedEnd,
    DispatchedRun,
    DispatchedStatus,
    EndOutcome, //
};

use super::messages::{
    decode_task,
    encode_task, //
};

pub(super) fn encode_status(status: &WorkerStatus) -> DispatchedStatus {
    DispatchedStatus {
        worker_ms: status.worker_ms,
        started_unix_ms: status.started_unix_ms,
        running: status.running.iter().map(encode_run).collect(),
        ended: status.ended.iter().map(encode_end).collect(),
        has_unreadable_rows: status.has_unreadable_rows,
        unreadable_end: status.unreadable_end,
    }
}

pub(super) fn decode_status(status: DispatchedStatus) -> WorkerStatus {
    let mut decoded = WorkerStatus {
        worker_ms: status.worker_ms,
        started_unix_ms: status.started_unix_ms,
        has_unreadable_rows: status.has_unreadable_rows,
        unreadable_end: status.unreadable_end,
        ..WorkerStatus::default()
    };
    for run in status.running {
        match decode_run(run) {
            Some(run) => decoded.running.push(run),
            None => decoded.has_unreadable_rows = true,
        }
    }
    for end in status.ended {
        let number = end.number;
        match decode_end(end) {
            Some(end) => decoded.ended.push(end),
            None => decoded.on_unreadable_end(number),
        }
    }
    decoded
}

fn encode_run(run: &ListedRun) -> DispatchedRun {
    DispatchedRun {
        task: Some(encode_task(run.task)),
        attempt: run.attempt,
        checkpoint: run.checkpoint.clone(),
        percent: run.percent,
        measure: run.measure,
    }
}

fn decode_run(run: DispatchedRun) -> Option<ListedRun> {
    Some(ListedRun {
        task: decode_task(run.task).ok()?,
        attempt: run.attempt,
        checkpoint: run.checkpoint,
        percent: run.percent,
        measure: run.measure,
    })
}

fn encode_end(end: &ListedEnd) -> DispatchedEnd {
    let outcome = match end.outcome {
        RunOutcome::Done => EndOutcome::Done,
        RunOutcome::Failed => EndOutcome::Failed,
        RunOutcome::Stopped => EndOutcome::Stopped,
        RunOutcome::Lapsed => EndOutcome::Lapsed,
        RunOutcome::Broken => EndOutcome::Broken,
        RunOutcome::Alone => EndOutcome::Alone,
    };
    DispatchedEnd {
        number: end.number,
        task: Some(encode_task(end.task)),
        attempt: end.attempt,
        outcome: outcome.into(),
        checkpoint: end.checkpoint.clone(),
    }
}

fn decode_end(end: DispatchedEnd) -> Option<ListedEnd> {
    let outcome = match end.outcome() {
        EndOutcome::Unknown => return None,
        EndOutcome::Done => RunOutcome::Done,
        EndOutcome::Failed => RunOutcome::Failed,
        EndOutcome::Stopped => RunOutcome::Stopped,
        EndOutcome::Lapsed => RunOutcome::Lapsed,
        EndOutcome::Broken => RunOutcome::Broken,
        EndOutcome::Alone => RunOutcome::Alone,
    };
    Some(ListedEnd {
        number: end.number,
        task: decode_task(end.task).ok()?,
        attempt: end.attempt,
        outcome,
        checkpoint: end.checkpoint,
    })
}
