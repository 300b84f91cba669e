//! Calls of other entry instances.

use std::sync::Arc;

use dotterelsill_proto::peer::{
    peer_server::Peer,
    DocumentRequest,
    DocumentResponse,
    RelayRequest,
    RelayResponse, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::shared::Shared;

/// Implements `Peer`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn relay(
        &self,
        _request: Request<RelayRequest>,
    ) -> Result<Response<RelayResponse>, Status> {
        Ok(Response::new(RelayResponse::default()))
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
