//! Calls the scheduler, here or on another instance.

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
    JobState, //
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
    lead::Lead,
    requests, //
};

/// Time within which a connection to the scheduler is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Handles of the scheduler.
pub(crate) struct LeaderLink {
    pub(crate) leader: Arc<ArcSwapOption<Leader>>,
    pub(crate) leading: Arc<ArcSwapOption<Lead>>,
    admission: Arc<Admission>,
    channel: Mutex<Option<(SocketAddr, Channel)>>,
    lateness: Arc<Lateness>,
    tasks: Tasks,
}

impl LeaderLink {
    /// Creates a link that connects with its first call.
    pub(crate) fn new(
        leader: Arc<ArcSwapOption<Leader>>,
        leading: Arc<ArcSwapOption<Lead>>,
        admission: Arc<Admission>,
        lateness: Arc<Lateness>,
        tasks: &Tasks,
    ) -> Self {
        Self {
            leader,
            leading,
            admission,
            channel: Mutex::default(),
            lateness,
            tasks: tasks.clone(),
        }
    }

    /// Returns whether the next new job is taken; without a scheduler all are,
    /// which the intake keeps for the next one.
    pub(crate) fn takes_job(&self) -> bool {
        let has_scheduler = self.leading.load().is_some() || self.leader.load().is_some();
        !has_scheduler || self.admission.takes_job()
    }

    /// Hands in a job.
    pub(crate) async fn submit(&self, id: JobId, record: &JobRecord, limit: Duration) -> Outcome {
        if let Some(lead) = self.leading.load_full() {
            return requests::submit(&lead, id, record.clone(), limit).await;
        }
        let Some(mut client) = self.client() else {
            return Outcome::Refused;
        };
        let request = SubmitRequest {
            job: id.0,
            record: Some(record.clone()),
        };
        match self.answer(limit, client.submit(request)).await {
            Ok(response) => {
                self.admission.set_refused(response.refused_percent);
                response.outcome()
            }
            Err(error) => unanswered("submit", id, &error),
        }
    }

    /// Asks whether an earlier try to hand in a job was taken.
    pub(crate) async fn earlier_try(&self, id: JobId, limit: Duration) -> Outcome {
        if let Some(lead) = self.leading.load_full() {
            return requests::earlier_try(&lead, id);
        }
        let Some(mut client) = self.client() else {
            return Outcome::Unknown;
        };
        let request = SubmitRequest {
            job: id.0,
            record: None,
        };
        match self.answer(limit, client.submit(request)).await {
            Ok(response) => {
                self.admission.set_refused(response.refused_percent);
                response.outcome()
            }
            Err(error) => unanswered("earlier_try", id, &error),
        }
    }

    /// Asks for the state of a job.
    pub(crate) async fn state(&self, id: JobId, limit: Duration) -> (Outcome, Option<JobState>) {
        if let Some(lead) = self.leading.load_full() {
            return requests::state(&lead, id).await;
        }
        let Some(mut client) = self.client() else {
            return (Outcome::Refused, None);
        };
        let request = StateRequest { job: id.0 };
        match self.answer(limit, client.state(request)).await {
            Ok(response) => {
                let state = JobState {
                    phase: response.phase(),
                    has_begun: response.has_begun,
                };
                (response.outcome(), Some(state))
            }
            Err(error) => (unanswered("state", id, &error), None),
        }
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, id: JobId, limit: Duration) -> Outcome {
        if let Some(lead) = self.leading.load_full() {
            return requests::cancel(&lead, id, limit).await;
        }
        let Some(mut client) = self.client() else {
            return Outcome::Refused;
        };
        let request = CancelRequest { job: id.0 };
        match self.answer(limit, client.cancel(request)).await {
            Ok(response) => response.outcome(),
            Err(error) => unanswered("cancel", id, &error),
        }
    }

    /// Asks how many jobs of a queue have not begun.
    pub(crate) async fn pending(&self, queue: &str, limit: Duration) -> (Outcome, u64) {
        if let Some(lead) = self.leading.load_full() {
            return requests::pending(&lead, queue);
        }
        let Some(mut client) = self.client() else {
            return (Outcome::Refused, 0);
        };
        let request = PendingRequest {
            queue: queue.to_owned(),
        };
        match self.answer(limit, client.pending(request)).await {
            Ok(response) => (response.outcome(), response.pending),
            Err(Unanswered {
                error,
                limit_ms,
                times,
            }) => {
                log::warn!(
                    call = "pending", queue, limit_ms, took_ms = times.took_ms,
                    loop_late_ms = times.loop_late_ms, error; "scheduler_unanswered"
                );
                (Outcome::Unknown, 0)
            }
        }
    }

    fn client(&self) -> Option<SchedulerClient<Channel>> {
        let leader = self.leader.load_full()?;
        let mut known = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        let channel = match &*known {
            Some((address, channel)) if *address == leader.address => channel.clone(),
            _ => {
                let channel = Channel::new(leader.address, CONNECT_TIMEOUT, &self.tasks);
                *known = Some((leader.address, channel.clone()));
                channel
            }
        };
        Some(SchedulerClient::with_origin(
            channel,
            dotterelsill_rpc::origin(leader.address),
        ))
    }

    /// Waits for the answer to a call, or returns why none came.
    async fn answer<T>(
        &self,
        limit: Duration,
        answer: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Unanswered> {
        let sent_at = clock::now();
        let error = match timeout(limit, answer).await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        Err(Unanswered {
            error,
            limit_ms: limit.as_millis() as u64,
            times: CallTimes::until_now(sent_at, &self.lateness),
        })
    }
}

/// Why no answer came, and when.
struct Unanswered {
    error: String,
    limit_ms: u64,
    times: CallTimes,
}

/// Logs a call whose outcome is not known.
fn unanswered(call: &str, id: JobId, unanswered: &Unanswered) -> Outcome {
    let Unanswered {
        error,
        limit_ms,
        times,
    } = unanswered;
    log::warn!(
        call, job:% = id, limit_ms, took_ms = times.took_ms, loop_late_ms = times.loop_late_ms,
        error; "scheduler_unanswered"
    );
    Outcome::Unknown
}
