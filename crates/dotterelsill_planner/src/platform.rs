//! Client of the platform.

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use dotterelsill_fleet::Stamp;
use dotterelsill_proto::platform::{
    platform_client::PlatformClient,
    AskRequest,
    AskResponse,
    Instance,
    ListInstancesRequest,
    OrderKind,
    OrderRequest,
    Stamp as StampMessage, //
};
use dotterelsill_rpc::{
    timeout,
    Channel,
    Tasks, //
};
use snafu::ResultExt;
use tonic::{
    Response,
    Status, //
};

use crate::error::{
    Error,
    PlatformSnafu,
    PlatformTimeoutSnafu, //
};

/// Timeout of one call. An order that takes longer is sent again with the same
/// stamp.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// gRPC client of the platform service, which lists and controls instances.
pub(crate) struct Platform {
    grpc: PlatformClient<Channel>,
}

impl Platform {
    /// Creates a client that connects on its first call.
    pub(crate) fn new(address: SocketAddr, tasks: &Tasks) -> Self {
        let channel = Channel::new(address, CALL_TIMEOUT, tasks);
        let origin = tonic::codegen::http::Uri::from_static("http://platform");
        Self {
            grpc: PlatformClient::with_origin(channel, origin),
        }
    }

    /// Lists all instances. The list lags behind their actual state.
    pub(crate) async fn list(&self) -> Result<Vec<Instance>, Error> {
        let mut grpc = self.grpc.clone();
        let response = call("list", grpc.list_instances(ListInstancesRequest {})).await?;
        Ok(response.instances)
    }

    /// Sends an order to an instance and returns whether it took effect.
    pub(crate) async fn order(
        &self,
        instance: &str,
        kind: OrderKind,
        pool: String,
        stamp: Stamp,
    ) -> Result<bool, Error> {
        let request = OrderRequest {
            instance: instance.to_owned(),
            kind: kind.into(),
            pool,
            stamp: Some(stamp_message(stamp)),
        };
        let mut grpc = self.grpc.clone();
        Ok(call("order", grpc.order(request)).await?.carried)
    }

    /// Queries the actual state of an instance.
    pub(crate) async fn ask(&self, instance: &str, stamp: Stamp) -> Result<AskResponse, Error> {
        let request = AskRequest {
            instance: instance.to_owned(),
            stamp: Some(stamp_message(stamp)),
        };
        let mut grpc = self.grpc.clone();
        call("ask", grpc.ask(request)).await
    }
}

fn stamp_message(stamp: Stamp) -> StampMessage {
    StampMessage {
        token: stamp.token.0,
        version: stamp.version,
    }
}

/// Awaits a response with the timeout and adds the call's name to errors.
async fn call<T>(
    call: &'static str,
    response: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T, Error> {
    let response = timeout(CALL_TIMEOUT, response).await;
    let response = response.context(PlatformTimeoutSnafu { call })?;
    Ok(response.context(PlatformSnafu { call })?.into_inner())
}
