//! Client of the current scheduler, on this instance or on another one.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use dotterelsill_jobs::{
    JobId,
    JobState,
    PendingCount,
    Queue, //
};
use dotterelsill_proto::jobs::{
    scheduler_client::SchedulerClient,
    CancelRequest,
    JobRecord,
    Outcome,
    PendingRequest,
    StateRequest,
    SubmitRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Channel,
    Lateness,
    Tasks, //
};

use tonic::{
    Response,
    Status, //
};

use crate::{
    admission::Admission,
    call_times::CallTimes,
    clock,
    election::Leader,
    leadership::Leadership,
    requests, //
};

/// Timeout for connecting to the scheduler.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Forwards requests to the scheduler: by a function call if this instance
/// schedules, and by gRPC otherwise.
pub(crate) struct LeaderLink {
    pub(crate) leader: Arc<ArcSwapOption<Leader>>,
    pub(crate) leadership: Arc<ArcSwapOption<Leadership>>,
    admission: Arc<Admission>,
    channel: Mutex<Option<(SocketAddr, Channel)>>,
    lateness: Arc<Lateness>,
    tasks: Tasks,
}

impl LeaderLink {
    /// Creates a link that connects on its first call.
    pub(crate) fn new(
        leader: Arc<ArcSwapOption<Leader>>,
        leadership: Arc<ArcSwapOption<Leadership>>,
        admission: Arc<Admission>,
        lateness: Arc<Lateness>,
        tasks: &Tasks,
    ) -> Self {
        Self {
            leader,
            leadership,
            admission,
            channel: Mutex::default(),
            lateness,
            tasks: tasks.clone(),
        }
    }

    /// Counts a new job and returns whether to admit it. Without a scheduler every job
    /// is admitted, and the intake keeps it for the next scheduler.
    pub(crate) fn admit_job(&self) -> bool {
        let has_scheduler = self.leadership.load().is_some() || self.leader.load().is_some();
        !has_scheduler || self.admission.admit_job()
    }

    /// Submits a job.
    pub(crate) async fn submit(&self, id: JobId, record: &JobRecord, limit: Duration) -> Outcome {
        if let Some(leadership) = self.leadership.load_full() {
            return requests::submit(&leadership, id, record.clone(), limit).await;
        }
        let Some(mut client) = self.client() else {
            return Outcome::Refused;
        };
        let request = SubmitRequest {
            job: id.0,
            record: Some(record.clone()),
        };
        match self.await_response(limit, client.submit(request)).await {
            Ok(response) => {
                self.admission.set_refused(response.refused_percent);
                response.outcome()
            }
            Err(error) => log_failure("submit", id, &error),
        }
    }

    /// Queries whether an earlier submission of a job was accepted.
    pub(crate) async fn earlier_submission(&self, id: JobId, limit: Duration) -> Outcome {
        if let Some(leadership) = self.leadership.load_full() {
            return requests::earlier_submission(&leadership, id);
        }
        let Some(mut client) = self.client() else {
            return Outcome::Unknown;
        };
        let request = SubmitRequest {
            job: id.0,
            record: None,
        };
        match self.await_response(limit, client.submit(request)).await {
            Ok(response) => {
                self.admission.set_refused(response.refused_percent);
                response.outcome()
            }
            Err(error) => log_failure("earlier_try", id, &error),
        }
    }

    /// Queries the state of a job.
    pub(crate) async fn state(&self, id: JobId, limit: Duration) -> (Outcome, Option<JobState>) {
        if let Some(leadership) = self.leadership.load_full() {
            return requests::state(&leadership, id).await;
        }
        let Some(mut client) = self.client() else {
            return (Outcome::Refused, None);
        };
        let request = StateRequest { job: id.0 };
        match self.await_response(limit, client.state(request)).await {
            Ok(response) => {
                let state = JobState {
                    phase: response.phase(),
                    has_begun: response.has_begun,
                };
                (response.outcome(), Some(state))
            }
            Err(error) => (log_failure("state", id, &error), None),
        }
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, id: JobId, limit: Duration) -> Outcome {
        if let Some(leadership) = self.leadership.load_full() {
            return requests::cancel(&leadership, id, limit).await;
        }
        let Some(mut client) = self.client() else {
            return Outcome::Refused;
        };
        let request = CancelRequest { job: id.0 };
        match self.await_response(limit, client.cancel(request)).await {
            Ok(response) => response.outcome(),
            Err(error) => log_failure("cancel", id, &error),
        }
    }

    /// Queries how many jobs of a queue have not started; `None` if that is not known.
    pub(crate) async fn pending(&self, queue: &Queue, limit: Duration) -> Option<u64> {
        let request = PendingRequest {
            queue: queue.name.clone(),
            queue_path: queue.path(),
        };
        let queue = queue.name.as_str();
        if let Some(leadership) = self.leadership.load_full() {
            return requests::pending(&leadership, &request).map(|count| count.jobs);
        }
        let mut client = self.client()?;
        let sent_at = clock::now();
        match self.await_response(limit, client.pending(request)).await {
            Ok(response) if response.outcome() == Outcome::Done => {
                let count = PendingCount {
                    jobs: response.pending,
                    age: Duration::from_millis(response.age_ms),
                };
                let took = clock::now().saturating_sub(sent_at);
                match count.after(took) {
                    Ok(count) => Some(count.jobs),
                    Err(_) => {
                        log::info!(
                            queue, age_ms = response.age_ms, took_ms = took.as_millis() as u64;
                            "pending_too_old"
                        );
                        None
                    }
                }
            }
            Ok(_) => None,
            Err(CallFailure {
                error,
                limit_ms,
                times,
            }) => {
                log::warn!(
                    call = "pending", queue, limit_ms, took_ms = times.took_ms,
                    loop_late_ms = times.loop_late_ms, error; "scheduler_unanswered"
                );
                None
            }
        }
    }

    fn client(&self) -> Option<SchedulerClient<Channel>> {
        let leader = self.leader.load_full()?;
        let mut cached = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        let channel = match &*cached {
            Some((address, channel)) if *address == leader.address => channel.clone(),
            _ => {
                let channel = Channel::new(leader.address, CONNECT_TIMEOUT, &self.tasks);
                *cached = Some((leader.address, channel.clone()));
                channel
            }
        };
        Some(SchedulerClient::with_origin(
            channel,
            dotterelsill_rpc::origin(leader.address),
        ))
    }

    /// Waits for the response to a call, for at most `limit`.
    async fn await_response<T>(
        &self,
        limit: Duration,
        pending_response: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, CallFailure> {
        let sent_at = clock::now();
        let error = match timeout(limit, pending_response).await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        Err(CallFailure {
            error,
            limit_ms: limit.as_millis() as u64,
            times: CallTimes::until_now(sent_at, &self.lateness),
        })
    }
}

/// Error and timing of a call that got no answer.
struct CallFailure {
    error: String,
    limit_ms: u64,
    times: CallTimes,
}

/// Logs a call that failed, and returns `Unknown` as its outcome.
fn log_failure(call: &str, id: JobId, failure: &CallFailure) -> Outcome {
    let CallFailure {
        error,
        limit_ms,
        times,
    } = failure;
    log::warn!(
        call, job:% = id, limit_ms, took_ms = times.took_ms, loop_late_ms = times.loop_late_ms,
        error; "scheduler_unanswered"
    );
    Outcome::Unknown
}
