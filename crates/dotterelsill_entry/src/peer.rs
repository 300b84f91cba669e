//! The gRPC service `Peer`, which other entry instances call.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_proto::peer::{
    peer_server::Peer,
    ClaimRequest,
    ClaimResponse,
    CountersRequest,
    CountersResponse,
    DocumentRequest,
    DocumentResponse,
    ForwardRequest,
    ForwardResponse,
    RelayRequest,
    RelayResponse, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::{
    at_most_once,
    claim_store::incarnation_bytes,
    forward,
    shared::Shared, //
};

/// Returns an age in microseconds, rounded up so that it is never too low.
fn age_us(age: Duration) -> u64 {
    age.as_nanos().div_ceil(1000) as u64
}

/// Implements the gRPC service `Peer`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Refuses a call that is meant for another process, which had this address
    /// before. That process may have belonged to another fleet, which uses another
    /// store.
    fn check_process(&self, process: &[u8]) -> Result<(), Status> {
        if process.is_empty() || process == incarnation_bytes(self.shared.process) {
            return Ok(());
        }
        Err(Status::failed_precondition(
            "another process has this address now; list the members again",
        ))
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn relay(
        &self,
        request: Request<RelayRequest>,
    ) -> Result<Response<RelayResponse>, Status> {
        let RelayRequest { lease, process, .. } = request.into_inner();
        self.check_process(&process)?;
        let lease_renewed = match lease {
            0 => false,
            lease => matches!(self.shared.store.lease_keep_alive(lease).await, Ok(true)),
        };
        let update = self.shared.authority.update();
        let Some(instance) = update.as_ref() else {
            return Err(Status::unavailable("not registered yet"));
        };
        let relay = instance.relay(Instant::now());
        let head = self.shared.authority.head();
        let known = relay.head.map_or(0, |head| head.revision);
        Ok(Response::new(RelayResponse {
            // The head with its digest is stored separately from the authority
            // state and may be newer by one revision.
            head: (head.revision > 0 && head.revision >= known).then(|| (*head).clone()),
            proof_age_us: relay.proof_age.map_or(0, age_us),
            has_proof: relay.proof_age.is_some(),
            incarnation: relay.incarnation.to_string(),
            revision_in_force: relay.in_force.unwrap_or(0),
            lease_renewed,
        }))
    }

    async fn counters(
        &self,
        _request: Request<CountersRequest>,
    ) -> Result<Response<CountersResponse>, Status> {
        let counters = self.shared.snapshot.load().counters();
        Ok(Response::new(CountersResponse { counters }))
    }

    async fn claim(
        &self,
        request: Request<ClaimRequest>,
    ) -> Result<Response<ClaimResponse>, Status> {
        self.check_process(&request.get_ref().process)?;
        forward::handle_claim(&self.shared, request.get_ref())
            .await
            .map(Response::new)
            .ok_or_else(|| Status::invalid_argument("malformed key or incarnation"))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardResponse>, Status> {
        let outcome = match forward::decode_request(&self.shared, request.into_inner()) {
            Ok(forwarded) => at_most_once::serve_forwarded(&self.shared, forwarded).await,
            Err(refusal) => Some(refusal.into()),
        };
        Ok(Response::new(forward::encode_outcome(outcome)))
    }

    async fn document(
        &self,
        request: Request<DocumentRequest>,
    ) -> Result<Response<DocumentResponse>, Status> {
        let revision = request.into_inner().revision;
        let snapshot = self.shared.snapshot.load_full();
        let document = (snapshot.revision == revision).then(|| snapshot.document.clone());
        Ok(Response::new(DocumentResponse { document }))
    }
}
