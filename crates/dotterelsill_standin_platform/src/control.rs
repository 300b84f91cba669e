//! Service with which tests set faults and read what was recorded.

use std::sync::Arc;

use dotterelsill_proto::platform::{
    standin_platform_control_server::StandinPlatformControl,
    ObserveRequest,
    ObserveResponse,
    SetInstanceFaultsRequest,
    SetInstanceFaultsResponse, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::service::Shared;

/// Implementation of the gRPC service `StandinPlatformControl`.
pub(crate) struct Control {
    shared: Arc<Shared>,
}

impl Control {
    /// Creates the service on the state that it shares with the platform.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl StandinPlatformControl for Control {
    async fn set_instance_faults(
        &self,
        request: Request<SetInstanceFaultsRequest>,
    ) -> Result<Response<SetInstanceFaultsResponse>, Status> {
        let request = request.into_inner();
        let mut state = self.shared.lock();
        if request.gone {
            state.remove(&request.instance);
            return Ok(Response::new(SetInstanceFaultsResponse {}));
        }
        let instance = state.instance(&request.instance)?;
        instance.fails_reboot = request.fails_reboot;
        instance.lose_order_answers = request.lose_order_answers;
        Ok(Response::new(SetInstanceFaultsResponse {}))
    }

    async fn observe(
        &self,
        _request: Request<ObserveRequest>,
    ) -> Result<Response<ObserveResponse>, Status> {
        Ok(Response::new(self.shared.lock().observe()))
    }
}
