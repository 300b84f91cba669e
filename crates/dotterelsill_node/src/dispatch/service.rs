//! The dispatcher's side of the stream: makes the scheduler's calls to workers.

use std::{
    pin::Pin,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_channel::Sender;
use dotterelsill_jobs::{
    Answer,
    HeartbeatClock,
    PayloadCache, //
};
use dotterelsill_proto::jobs::{
    DispatchRequest,
    DispatchResponse,
    WorkerAnswer,
    WorkerCall, //
};
use dotterelsill_rpc::Tasks;
use futures_lite::{
    FutureExt as _,
    Stream, //
};
use tonic::{
    Status,
    Streaming, //
};

use super::{
    called_workers::{
        CalledWorker,
        CalledWorkers, //
    },
    make_call,
    messages,
    Call,
    CallAnswer,
    CallFailure, //
};
use crate::{
    clock,
    metrics::Metrics, //
};

/// Age of the heartbeat that a call carries beyond which the call is not made. It is
/// part of the time within which the scheduler expects late orders.
pub(super) const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(2);

/// Number of batches that are handed to the connection before it has sent them.
const MAX_QUEUED_BATCHES: usize = 4;

/// Responses of one stream.
pub(crate) type DispatchStream =
    Pin<Box<dyn Stream<Item = Result<DispatchResponse, Status>> + Send>>;

/// Makes calls to workers for schedulers.
pub(crate) struct Dispatcher {
    tasks: Tasks,
    /// Group that stops when this instance begins to shut down.
    shutdown: Tasks,
    metrics: Arc<Metrics>,
    /// Highest fencing token of a scheduler that has sent calls.
    highest_token: Arc<AtomicU64>,
}

impl Dispatcher {
    /// Creates a dispatcher whose streams end with `tasks`; once `shutdown` stops, it
    /// tells the scheduler that it is leaving.
    pub(crate) fn new(tasks: &Tasks, shutdown: &Tasks, metrics: &Arc<Metrics>) -> Self {
        Self {
            tasks: tasks.clone(),
            shutdown: shutdown.clone(),
            metrics: metrics.clone(),
            highest_token: Arc::default(),
        }
    }

    /// Makes the calls of a stream until either side ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance is shutting down.
    pub(crate) fn serve(
        &self,
        requests: Streaming<DispatchRequest>,
    ) -> Result<DispatchStream, Status> {
        if self.shutdown.is_stopping() {
            return Err(Status::unavailable("the instance is shutting down"));
        }
        let (answers, answered) = async_channel::unbounded();
        let (responses, outgoing) = async_channel::bounded(MAX_QUEUED_BATCHES);
        let session = Arc::new(Session {
            answers,
            heartbeats: Mutex::new(HeartbeatClock::new(MAX_HEARTBEAT_AGE)),
            highest_token: self.highest_token.clone(),
            metrics: self.metrics.clone(),
            group: self.tasks.new_group(),
        });
        let shutdown = self.shutdown.clone();
        self.tasks.spawn_until_stop(async move {
            let receiving = session.receive(requests);
            let sending = session.send(&answered, &responses, &shutdown);
            receiving.or(sending).await;
            session.group.stop();
            session.group.join().await;
        });
        Ok(Box::pin(outgoing))
    }
}

/// State of one stream.
pub(super) struct Session {
    pub(super) answers: Sender<WorkerAnswer>,
    heartbeats: Mutex<HeartbeatClock>,
    highest_token: Arc<AtomicU64>,
    metrics: Arc<Metrics>,
    group: Tasks,
}

impl Session {
    async fn receive(self: &Arc<Self>, mut requests: Streaming<DispatchRequest>) {
        let mut workers = CalledWorkers::default();
        let mut payloads = PayloadCache::default();
        loop {
            let request = match requests.message().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    log::info!(error:% = error.message(); "dispatch_stream_broken");
                    return;
                }
            };
            self.highest_token
                .fetch_max(request.token, Ordering::SeqCst);
            workers.drop_unused(clock::now());
            for worker in &request.workers {
                workers.introduce(worker, &self.group);
            }
            for call in request.calls {
                let called = workers.get(call.worker, clock::now());
                self.start_call(
                    call,
                    called,
                    request.token,
                    request.heartbeat,
                    &mut payloads,
                );
            }
        }
    }

    /// Makes a call in a task of its own.
    fn start_call(
        self: &Arc<Self>,
        call: WorkerCall,
        called: Option<Arc<CalledWorker>>,
        token: u64,
        heartbeat: u64,
        payloads: &mut PayloadCache,
    ) {
        let number = call.call;
        let decoded = messages::decode_call(call.body, token, payloads);
        let prepared = match (decoded, called) {
            (Ok(call), Some(called)) => Ok((call, called)),
            (Err(reason), _) => Err(reason),
            (_, None) => Err("the worker is not known to the dispatcher".to_owned()),
        };
        match prepared {
            Ok((call, called)) => {
                let session = self.clone();
                self.group.spawn_until_stop(async move {
                    let result = session.make_call(&called, &call, token, heartbeat).await;
                    session.answer(number, result);
                });
            }
            Err(reason) => self.answer(number, Err(not_made(reason))),
        }
    }

    async fn make_call(
        &self,
        called: &CalledWorker,
        call: &Call,
        token: u64,
        heartbeat: u64,
    ) -> Result<CallAnswer, CallFailure> {
        // Orders to a worker are sent one after the other, so that they use one
        // connection.
        let _turn = match call {
            Call::Order { .. } => Some(called.orders.lock().await),
            Call::Status { .. } => None,
        };
        if token < self.highest_token.load(Ordering::SeqCst) {
            return Ok(CallAnswer::Answer(Answer::Fenced));
        }
        let valid_until = self.heartbeats().valid_until(heartbeat);
        // The clock is read last: this process may be paused at any time before.
        if clock::now() >= valid_until {
            return Err(not_made("the scheduler's call is too old".to_owned()));
        }
        make_call(&called.client, call).await
    }

    fn answer(&self, call: u64, result: Result<CallAnswer, CallFailure>) {
        self.metrics.on_dispatched_call(match &result {
            Ok(_) => "answered",
            Err(failure) if failure.was_sent => "unanswered",
            Err(_) => "not_made",
        });
        // The receiver is gone only when the stream has ended.
        let _ = self.answers.try_send(WorkerAnswer {
            call,
            result: Some(messages::encode_result(result)),
        });
    }

    pub(super) fn heartbeats(&self) -> MutexGuard<'_, HeartbeatClock> {
        self.heartbeats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the failure of a call that was not sent to the worker.
fn not_made(reason: String) -> CallFailure {
    CallFailure {
        was_sent: false,
        is_unconnected: false,
        is_not_kept: false,
        time_limit: None,
        reason,
    }
}
