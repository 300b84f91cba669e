//! The scheduler's side of the stream to one dispatcher.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_io::Timer;
use dotterelsill_proto::jobs::{
    node_client::NodeClient,
    DispatchRequest,
    DispatchResponse, //
};
use dotterelsill_rpc::{
    timeout,
    Channel, //
};
use futures_lite::FutureExt as _;
use tonic::{
    Status,
    Streaming, //
};

use super::{
    batch::BatchEncoder,
    messages,
    waiting::{
        closed,
        timed_out,
        CallResult,
        SentOrder,
        WaitingCalls, //
    },
    Call,
    CallFailure,
    WorkerTarget, //
};
use crate::clock;

/// Added to the time that a worker is asked to wait, for the limit of a call. It is
/// above the limit of the dispatcher, which then says what it waited for.
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// Time limit for opening a stream until its first heartbeat.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which calls are gathered for a batch.
const GATHER_TIME: Duration = Duration::from_millis(1);

/// Interval between checks for orders without an answer.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of calls in a batch.
const MAX_BATCH: usize = 64;

/// Number of batches that are handed to the connection before it has sent them.
const MAX_QUEUED_BATCHES: usize = 4;

struct QueuedCall {
    number: u64,
    target: Arc<WorkerTarget>,
    call: Call,
    /// Time after which the call is no longer sent.
    give_up_at: Duration,
}

/// An open stream to one dispatcher.
pub(super) struct Link {
    queue: Sender<QueuedCall>,
    queued: Receiver<QueuedCall>,
    waiting: WaitingCalls,
    next_call: AtomicU64,
    /// Number of the latest heartbeat of the dispatcher.
    heartbeat: AtomicU64,
    token: u64,
}

/// The two halves of a stream that was opened.
pub(super) struct OpenStream {
    requests: Sender<DispatchRequest>,
    responses: Streaming<DispatchResponse>,
}

/// What a dispatcher told besides its answers.
pub(super) enum LinkEvent {
    /// The dispatcher shuts down.
    Leaving,
    /// The stream has ended.
    Ended(String),
}

impl Link {
    /// Creates a link that has no stream yet.
    pub(super) fn new(token: u64) -> Self {
        let (queue, queued) = async_channel::unbounded();
        Self {
            queue,
            queued,
            waiting: WaitingCalls::default(),
            next_call: AtomicU64::new(1),
            heartbeat: AtomicU64::new(0),
            token,
        }
    }

    /// Opens the stream and waits for the first heartbeat.
    pub(super) async fn open(&self, mut client: NodeClient<Channel>) -> Result<OpenStream, Status> {
        let (requests, outgoing) = async_channel::bounded(MAX_QUEUED_BATCHES);
        let opening = async {
            let mut responses = client.dispatch(outgoing).await?.into_inner();
            let first = responses.message().await?;
            let first = first.ok_or_else(|| Status::unavailable("the stream has ended"))?;
            self.heartbeat.store(first.heartbeat, Ordering::Relaxed);
            Ok::<_, Status>(responses)
        };
        let opened = timeout(OPEN_TIMEOUT, opening).await;
        let responses = opened.map_err(|error| Status::deadline_exceeded(error.to_string()))??;
        Ok(OpenStream {
            requests,
            responses,
        })
    }

    /// Sends calls and receives answers until the dispatcher leaves or the stream
    /// ends. `settle` gets the results of orders that no task waits for.
    pub(super) async fn run(
        &self,
        stream: &mut OpenStream,
        settle: &impl Fn(Vec<(SentOrder, CallResult)>),
    ) -> LinkEvent {
        let sending = async {
            self.send(&stream.requests).await;
            LinkEvent::Ended("the stream is closed".to_owned())
        };
        let giving_up = async {
            loop {
                Timer::after(GIVE_UP_INTERVAL).await;
                let overdue = self.waiting.take_overdue(clock::now());
                if !overdue.is_empty() {
                    settle(
                        overdue
                            .into_iter()
                            .map(|sent| timed_out(sent, CALL_MARGIN))
                            .collect(),
                    );
                }
            }
        };
        self.receive(&mut stream.responses, settle)
            .or(sending)
            .or(giving_up)
            .await
    }

    /// Fails all calls that wait for an answer, and all further ones; returns the
    /// orders that no task waits for.
    pub(super) fn close(&self) -> Vec<(SentOrder, CallResult)> {
        self.queue.close();
        let orders = self.waiting.close().into_iter();
        orders.map(|sent| (sent, Err(closed(true)))).collect()
    }

    /// Sends an order without waiting for its answer. Returns whether the link is
    /// open; `settle` gets the result.
    pub(super) fn send_order(&self, sent: SentOrder) -> bool {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let give_up_at = sent.sent_at + CALL_MARGIN;
        let queued = QueuedCall {
            number,
            target: sent.target.clone(),
            call: Call::Order {
                order: sent.order.clone(),
                token: self.token,
                lease_end_ms: sent.terms.lease_end_ms,
                recipient: sent.terms.recipient,
                needs_connection: false,
            },
            give_up_at,
        };
        self.waiting.add_order(number, sent, give_up_at);
        let is_open = self.queue.try_send(queued).is_ok();
        if !is_open {
            self.waiting.remove(number);
        }
        is_open
    }

    /// Makes a call over the dispatcher.
    pub(super) async fn call(&self, target: &Arc<WorkerTarget>, call: Call) -> CallResult {
        let wait = match &call {
            Call::Status { request, .. } => request.wait.unwrap_or_default(),
            Call::Order { .. } => Duration::ZERO,
        };
        let limit = wait + CALL_MARGIN;
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = async_channel::bounded(1);
        self.waiting.add_task(number, sender);
        // Removes the entry also when the future is dropped.
        let _entry = self.waiting.guard(number);
        let queued = QueuedCall {
            number,
            target: target.clone(),
            call,
            give_up_at: clock::now() + limit,
        };
        if self.queue.try_send(queued).is_err() {
            return Err(closed(false));
        }
        match timeout(limit, answer.recv()).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(closed(true)),
            Err(elapsed) => Err(CallFailure {
                was_sent: true,
                is_unconnected: false,
                is_not_kept: false,
                time_limit: Some(limit),
                reason: format!("dispatcher: {elapsed}"),
            }),
        }
    }

    /// Sends queued calls in batches. After a pause of this process the calls from
    /// before are too old.
    async fn send(&self, requests: &Sender<DispatchRequest>) {
        let mut encoder = BatchEncoder::default();
        while let Ok(first) = self.queued.recv().await {
            Timer::after(GATHER_TIME).await;
            let mut batch = DispatchRequest {
                token: self.token,
                heartbeat: self.heartbeat.load(Ordering::Relaxed),
                ..DispatchRequest::default()
            };
            let mut next = Some(first);
            while let Some(queued) = next {
                let now = clock::now();
                if now < queued.give_up_at && self.waiting.contains(queued.number) {
                    encoder.add(&mut batch, queued.number, &queued.target, &queued.call, now);
                }
                next = (batch.calls.len() < MAX_BATCH)
                    .then(|| self.queued.try_recv().ok())
                    .flatten();
            }
            if !batch.calls.is_empty() && requests.send(batch).await.is_err() {
                return;
            }
        }
    }

    async fn receive(
        &self,
        responses: &mut Streaming<DispatchResponse>,
        settle: &impl Fn(Vec<(SentOrder, CallResult)>),
    ) -> LinkEvent {
        loop {
            let response = match responses.message().await {
                Ok(Some(response)) => response,
                Ok(None) => return LinkEvent::Ended("the dispatcher ended the stream".to_owned()),
                Err(error) => return LinkEvent::Ended(error.message().to_owned()),
            };
            self.heartbeat.store(response.heartbeat, Ordering::Relaxed);
            let answers = response.answers.into_iter();
            let settled: Vec<(SentOrder, CallResult)> = answers
                .filter_map(|answer| {
                    let result = messages::decode_result(answer.result);
                    self.waiting.on_answer(answer.call, result)
                })
                .collect();
            if !settled.is_empty() {
                settle(settled);
            }
            if response.is_leaving {
                return LinkEvent::Leaving;
            }
        }
    }
}
