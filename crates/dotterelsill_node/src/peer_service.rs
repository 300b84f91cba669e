//! gRPC services for the other instances.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use dotterelsill_jobs::{
    JobId,
    JobSpec, //
};
use dotterelsill_proto::jobs::{
    node_server::Node,
    scheduler_server::Scheduler,
    CancelRequest,
    CancelResponse,
    DispatchRequest,
    EntriesRequest,
    EntriesResponse,
    ExplainRequest,
    ExplainResponse,
    Outcome,
    PendingRequest,
    PendingResponse,
    PingRequest,
    PingResponse,
    RelayRequest,
    RelayResponse,
    StateRequest,
    StateResponse,
    SubmitRequest,
    SubmitResponse,
    WhereRequest,
    WhereResponse, //
};
use dotterelsill_store::Operations;
use tonic::{
    Request,
    Response,
    Status,
    Streaming, //
};

use crate::{
    clock,
    dispatch::{
        DispatchStream,
        Dispatcher, //
    },
    election::Leader,
    leadership::Leadership,
    operators::OperatorState,
    relay,
    requests, //
};

/// Longest time that a call waits for a write to the store.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(2200);

/// Serves the calls for the scheduler; refuses them unless this instance schedules.
#[derive(Clone)]
pub(crate) struct SchedulerService {
    pub(crate) leadership: Arc<ArcSwapOption<Leadership>>,
}

#[tonic::async_trait]
impl Scheduler for SchedulerService {
    async fn submit(
        &self,
        request: Request<SubmitRequest>,
    ) -> Result<Response<SubmitResponse>, Status> {
        let SubmitRequest { job, record } = request.into_inner();
        if let Some(Err(error)) = record.as_ref().map(JobSpec::from_submission) {
            return Err(Status::invalid_argument(error.to_string()));
        }
        let mut response = SubmitResponse::default();
        response.set_outcome(Outcome::Refused);
        if let Some(leadership) = self.leadership.load_full() {
            let id = JobId(job);
            let outcome = match record {
                Some(record) => requests::submit(&leadership, id, record, CALL_TIMEOUT).await,
                None => requests::earlier_submission(&leadership, id),
            };
            response.set_outcome(outcome);
            response.refused_percent = leadership.refused_percent();
        }
        Ok(Response::new(response))
    }

    async fn state(
        &self,
        request: Request<StateRequest>,
    ) -> Result<Response<StateResponse>, Status> {
        let id = JobId(request.into_inner().job);
        let (outcome, state) = match self.leadership.load_full() {
            Some(leadership) => requests::state(&leadership, id).await,
            None => (Outcome::Refused, None),
        };
        let mut response = StateResponse {
            outcome: outcome.into(),
            ..StateResponse::default()
        };
        if let Some(state) = state {
            response.phase = state.phase.into();
            response.has_begun = state.has_begun;
        }
        Ok(Response::new(response))
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelResponse>, Status> {
        let id = JobId(request.into_inner().job);
        let outcome = match self.leadership.load_full() {
            Some(leadership) => requests::cancel(&leadership, id, CALL_TIMEOUT).await,
            None => Outcome::Refused,
        };
        Ok(Response::new(CancelResponse {
            outcome: outcome.into(),
        }))
    }

    async fn pending(
        &self,
        request: Request<PendingRequest>,
    ) -> Result<Response<PendingResponse>, Status> {
        let request = request.into_inner();
        let leadership = self.leadership.load_full();
        let count = leadership.and_then(|leadership| requests::pending(&leadership, &request));
        let response = match count {
            Some(count) => PendingResponse {
                outcome: Outcome::Done.into(),
                pending: count.jobs,
                age_ms: count.age.as_millis() as u64,
            },
            None => PendingResponse {
                outcome: Outcome::Refused.into(),
                ..PendingResponse::default()
            },
        };
        Ok(Response::new(response))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<ExplainResponse>, Status> {
        let id = JobId(request.into_inner().job);
        let (outcome, text) = match self.leadership.load_full() {
            Some(leadership) => match leadership.scheduler().explain(id, clock::now()) {
                Some(text) => (Outcome::Done, text),
                None => (Outcome::Absent, String::new()),
            },
            None => (Outcome::Refused, String::new()),
        };
        Ok(Response::new(ExplainResponse {
            outcome: outcome.into(),
            text,
        }))
    }
}

/// Serves the calls that every instance answers.
#[derive(Clone)]
pub(crate) struct NodeService {
    pub(crate) leader: Arc<ArcSwapOption<Leader>>,
    pub(crate) leadership: Arc<ArcSwapOption<Leadership>>,
    /// The store without relaying over peers, so that calls cannot loop.
    pub(crate) direct: Arc<Operations>,
    /// Returns whether this instance could take over from the scheduler.
    pub(crate) could_schedule: Arc<dyn Fn() -> bool + Send + Sync>,
    pub(crate) operators: Arc<OperatorState>,
    pub(crate) dispatcher: Arc<Dispatcher>,
}

#[tonic::async_trait]
impl Node for NodeService {
    type DispatchStream = DispatchStream;

    async fn dispatch(
        &self,
        request: Request<Streaming<DispatchRequest>>,
    ) -> Result<Response<DispatchStream>, Status> {
        self.dispatcher
            .serve(request.into_inner())
            .map(Response::new)
    }

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingResponse>, Status> {
        let PingRequest { address, entries } = request.into_inner();
        if let (Ok(peer), Some(entries)) = (address.parse(), entries) {
            // No proof of age: the transit time of the request is unknown.
            self.operators.on_summary(peer, &entries, None);
        }
        let leadership = self.leadership.load();
        let leadership = leadership.as_ref();
        let is_scheduling = leadership
            .is_some_and(|leadership| leadership.authority.is_recently_renewed(clock::now()));
        Ok(Response::new(PingResponse {
            is_scheduling,
            refused_percent: leadership.map_or(0, |leadership| leadership.refused_percent()),
            could_schedule: (self.could_schedule)(),
            entries: Some(self.operators.summary()),
            entries_age_us: self.operators.age_us(clock::now()),
        }))
    }

    async fn entries(
        &self,
        _: Request<EntriesRequest>,
    ) -> Result<Response<EntriesResponse>, Status> {
        Ok(Response::new(self.operators.response()))
    }

    async fn r#where(&self, _: Request<WhereRequest>) -> Result<Response<WhereResponse>, Status> {
        let leader = self.leader.load();
        let address = leader.as_ref().map(|leader| leader.address.to_string());
        Ok(Response::new(WhereResponse {
            address: address.unwrap_or_default(),
        }))
    }

    async fn relay(
        &self,
        request: Request<RelayRequest>,
    ) -> Result<Response<RelayResponse>, Status> {
        let call = request.into_inner().call;
        let call = call.ok_or_else(|| Status::invalid_argument("no call is named"))?;
        Ok(Response::new(relay::serve(&self.direct, call).await))
    }
}
