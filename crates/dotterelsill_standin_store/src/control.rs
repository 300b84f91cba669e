//! Service with which tests set faults and read the numbers of calls.

use std::sync::{
    atomic::Ordering,
    Arc, //
};

use dotterelsill_proto::store::{
    standin_control_server::StandinControl,
    CountsRequest,
    CountsResponse,
    SetFaultsRequest,
    SetFaultsResponse, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::service::Shared;

/// Implementation of the gRPC service `StandinControl`.
pub(crate) struct Control {
    shared: Arc<Shared>,
}

impl Control {
    /// Creates the service on the state that it shares with the store.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl StandinControl for Control {
    async fn set_faults(
        &self,
        request: Request<SetFaultsRequest>,
    ) -> Result<Response<SetFaultsResponse>, Status> {
        let request = request.into_inner();
        let faults = &self.shared.faults;
        faults.delay_ms.store(request.delay_ms, Ordering::SeqCst);
        faults.outage.store(request.outage, Ordering::SeqCst);
        faults
            .lose_write_answers
            .store(request.lose_write_answers, Ordering::SeqCst);
        Ok(Response::new(SetFaultsResponse {}))
    }

    async fn counts(
        &self,
        _request: Request<CountsRequest>,
    ) -> Result<Response<CountsResponse>, Status> {
        let counts = &self.shared.counts;
        Ok(Response::new(CountsResponse {
            reads: counts.reads.load(Ordering::Relaxed),
            writes: counts.writes.load(Ordering::Relaxed),
            watches: counts.watches.load(Ordering::Relaxed),
        }))
    }
}
