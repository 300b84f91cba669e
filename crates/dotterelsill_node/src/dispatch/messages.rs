//! Conversion between calls to workers and the messages of a stream to a dispatcher.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Acknowledgement,
    Answer,
    JobId,
    Order,
    PayloadCache,
    ProcessedEnds,
    Recipient,
    StepId,
    TaskId, //
};
use dotterelsill_platform::WorkerStatusRequest;
use dotterelsill_proto::jobs::{
    worker_answer,
    worker_call,
    OrderAnswer,
    PaceCall,
    StartCall,
    StatusCall,
    StopCall,
    TaskName,
    Unanswered, //
};

use super::{
    status_messages::{
        decode_status,
        encode_status, //
    },
    Call,
    CallAnswer,
    CallFailure, //
};

/// Encodes a call. The payload of a start is left out if the stream has carried it.
pub(super) fn encode_call(call: &Call, payloads: &mut PayloadCache) -> worker_call::Body {
    match call {
        Call::Status { request, processed } => worker_call::Body::Status(StatusCall {
            started_unix_ms: processed.started_unix_ms,
            processed: processed.number,
            lease_end_ms: request.lease_end_ms,
            acknowledged: request.acknowledged.number,
            wait_ms: request.wait.map(|wait| wait.as_millis() as u32),
        }),
        Call::Order {
            order,
            lease_end_ms,
            recipient,
            needs_connection,
            ..
        } => {
            let body = encode_order(order, payloads);
            with_terms(body, *lease_end_ms, *recipient, *needs_connection)
        }
    }
}

/// Adds to an encoded start what its order does not say.
fn with_terms(
    body: worker_call::Body,
    lease_end_ms: u64,
    recipient: Recipient,
    needs_connection: bool,
) -> worker_call::Body {
    match body {
        worker_call::Body::Start(start) => worker_call::Body::Start(StartCall {
            lease_end_ms,
            needs_connection,
            recipient_started_unix_ms: match recipient {
                Recipient::AnyLife => None,
                Recipient::Life { started_unix_ms } => Some(started_unix_ms),
            },
            ..start
        }),
        body => body,
    }
}

fn encode_order(order: &Order, payloads: &mut PayloadCache) -> worker_call::Body {
    match order {
        Order::Start {
            task,
            attempt,
            text,
            checkpoint,
            ticket,
        } => worker_call::Body::Start(StartCall {
            task: Some(encode_task(*task)),
            attempt: *attempt,
            checkpoint: checkpoint.clone(),
            ticket: ticket.to_string(),
            payload: payloads.add(task.step.job, text).then(|| text.to_string()),
            ..StartCall::default()
        }),
        Order::Stop { task, attempt } => worker_call::Body::Stop(StopCall {
            task: Some(encode_task(*task)),
            attempt: *attempt,
        }),
        Order::Pace {
            task,
            attempt,
            percent,
        } => worker_call::Body::Pace(PaceCall {
            task: Some(encode_task(*task)),
            attempt: *attempt,
            percent: *percent,
        }),
    }
}

/// Decodes a call; returns the reason if it cannot be made.
pub(super) fn decode_call(
    body: Option<worker_call::Body>,
    token: u64,
    payloads: &mut PayloadCache,
) -> Result<Call, String> {
    let order = |order| Call::Order {
        order,
        token,
        lease_end_ms: 0,
        recipient: Recipient::AnyLife,
        needs_connection: false,
    };
    match body.ok_or("the call is of an unknown kind")? {
        worker_call::Body::Status(status) => Ok(Call::Status {
            request: WorkerStatusRequest {
                fencing_token: token,
                lease_end_ms: status.lease_end_ms,
                acknowledged: Acknowledgement {
                    started_unix_ms: status.started_unix_ms,
                    number: status.acknowledged,
                },
                wait: status.wait_ms.map(|ms| Duration::from_millis(ms.into())),
            },
            processed: ProcessedEnds {
                started_unix_ms: status.started_unix_ms,
                number: status.processed,
            },
        }),
        worker_call::Body::Start(start) => {
            let task = decode_task(start.task)?;
            if let Some(payload) = start.payload {
                payloads.add(task.step.job, &Arc::from(payload));
            }
            let text = payloads.get(task.step.job);
            let recipient = match start.recipient_started_unix_ms {
                None => Recipient::AnyLife,
                Some(started_unix_ms) => Recipient::Life { started_unix_ms },
            };
            let start_order = Order::Start {
                task,
                attempt: start.attempt,
                text: text.ok_or("the payload of the job is not known")?.clone(),
                checkpoint: start.checkpoint,
                ticket: start.ticket.into(),
            };
            Ok(Call::Order {
                order: start_order,
                token,
                lease_end_ms: start.lease_end_ms,
                recipient,
                needs_connection: start.needs_connection,
            })
        }
        worker_call::Body::Stop(stop) => {
            let stop_order = Order::Stop {
                task: decode_task(stop.task)?,
                attempt: stop.attempt,
            };
            Ok(order(stop_order))
        }
        worker_call::Body::Pace(pace) => {
            let pace_order = Order::Pace {
                task: decode_task(pace.task)?,
                attempt: pace.attempt,
                percent: pace.percent,
            };
            Ok(order(pace_order))
        }
    }
}

/// Encodes the result of a call.
pub(super) fn encode_result(result: Result<CallAnswer, CallFailure>) -> worker_answer::Result {
    match result {
        Ok(CallAnswer::Status(status)) => worker_answer::Result::Status(encode_status(&status)),
        Ok(CallAnswer::Answer(answer)) => {
            worker_answer::Result::Answer(encode_answer(answer).into())
        }
        Err(failure) => worker_answer::Result::Unanswered(Unanswered {
            was_sent: failure.was_sent,
            time_limit_ms: failure
                .time_limit
                .map_or(0, |limit| limit.as_millis() as u32),
            reason: failure.reason,
            is_not_kept: failure.is_not_kept,
        }),
    }
}

/// Decodes the result of a call. The caller sets the times of a status.
pub(super) fn decode_result(
    result: Option<worker_answer::Result>,
) -> Result<CallAnswer, CallFailure> {
    match result {
        Some(worker_answer::Result::Status(status)) => {
            Ok(CallAnswer::Status(decode_status(status)))
        }
        Some(worker_answer::Result::Answer(answer)) => {
            let answer = OrderAnswer::try_from(answer).unwrap_or(OrderAnswer::Unclear);
            Ok(CallAnswer::Answer(decode_answer(answer)))
        }
        Some(worker_answer::Result::Unanswered(unanswered)) => Err(CallFailure {
            was_sent: unanswered.was_sent,
            is_unconnected: false,
            is_not_kept: unanswered.is_not_kept,
            time_limit: (unanswered.time_limit_ms > 0)
                .then(|| Duration::from_millis(unanswered.time_limit_ms.into())),
            reason: unanswered.reason,
        }),
        None => Err(CallFailure {
            was_sent: true,
            is_unconnected: false,
            is_not_kept: false,
            time_limit: None,
            reason: "the dispatcher's answer is of an unknown kind".to_owned(),
        }),
    }
}

fn encode_answer(answer: Answer) -> OrderAnswer {
    match answer {
        Answer::Done => OrderAnswer::Done,
        Answer::Fenced => OrderAnswer::Fenced,
        Answer::Old => OrderAnswer::Old,
        Answer::Late => OrderAnswer::Late,
        Answer::NoRoom => OrderAnswer::NoRoom,
        Answer::Ticket => OrderAnswer::Ticket,
        Answer::Unhealthy => OrderAnswer::Unhealthy,
        Answer::OtherWorker => OrderAnswer::OtherWorker,
        Answer::Unclear => OrderAnswer::Unclear,
    }
}

fn decode_answer(answer: OrderAnswer) -> Answer {
    match answer {
        OrderAnswer::Done => Answer::Done,
        OrderAnswer::Fenced => Answer::Fenced,
        OrderAnswer::Old => Answer::Old,
        OrderAnswer::Late => Answer::Late,
        OrderAnswer::NoRoom => Answer::NoRoom,
        OrderAnswer::Ticket => Answer::Ticket,
        OrderAnswer::Unhealthy => Answer::Unhealthy,
        OrderAnswer::OtherWorker => Answer::OtherWorker,
        OrderAnswer::Unclear => Answer::Unclear,
    }
}

pub(super) fn encode_task(task: TaskId) -> TaskName {
    TaskName {
        job: task.step.job.0,
        occurrence: task.step.occurrence,
        step: task.step.step,
        index: task.index,
    }
}

pub(super) fn decode_task(task: Option<TaskName>) -> Result<TaskId, &'static str> {
    let task = task.ok_or("the call names no task")?;
    let step = StepId {
        job: JobId(task.job),
        occurrence: task.occurrence,
        step: task.step,
    };
    Ok(step.task(task.index))
}
