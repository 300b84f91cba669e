//! Implementation of the platform's service.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_fleet::{
    Stamp,
    Token, //
};
use dotterelsill_proto::{
    platform::{
        platform_server::Platform,
        AskRequest,
        AskResponse,
        ListInstancesRequest,
        ListInstancesResponse,
        OrderRequest,
        OrderResponse,
        Stamp as StampMessage, //
    },
    settings::StandinPlatformSettings, //
};
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::state::State;

/// Time between two snapshots of the list of instances.
const LIST_INTERVAL: Duration = Duration::from_millis(20);

/// State of the platform, shared by the platform's service and its control service.
pub(crate) struct Shared {
    state: Mutex<State>,
}

impl Shared {
    /// Creates the platform with the instances of the settings.
    pub(crate) fn new(settings: &StandinPlatformSettings) -> Self {
        Self {
            state: Mutex::new(State::new(settings, Instant::now())),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Completes orders and takes snapshots of the list until the program stops.
pub(crate) async fn refresh_list(shared: Arc<Shared>) {
    loop {
        shared.lock().advance(Instant::now());
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Implementation of the gRPC service `Platform`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service on the shared state.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl Platform for Service {
    async fn list_instances(
        &self,
        _request: Request<ListInstancesRequest>,
    ) -> Result<Response<ListInstancesResponse>, Status> {
        let mut state = self.shared.lock();
        state.advance(Instant::now());
        let instances = state.list();
        Ok(Response::new(ListInstancesResponse { instances }))
    }

    async fn order(
        &self,
        request: Request<OrderRequest>,
    ) -> Result<Response<OrderResponse>, Status> {
        let request = request.into_inner();
        let stamp = stamp(request.stamp)?;
        let name = &request.instance;
        let started = {
            let mut state = self.shared.lock();
            state.start(name, request.kind(), &request.pool, stamp, Instant::now())?
        };
        let Some(ends_at) = started else {
            return Ok(Response::new(OrderResponse { carried: false }));
        };
        Timer::at(ends_at).await;
        let carried = self.shared.lock().end(name, stamp, Instant::now())?;
        Ok(Response::new(OrderResponse { carried }))
    }

    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<AskResponse>, Status> {
        let request = request.into_inner();
        let stamp = stamp(request.stamp)?;
        let mut state = self.shared.lock();
        let answer = state.ask(&request.instance, stamp, Instant::now())?;
        Ok(Response::new(answer))
    }
}

fn stamp(stamp: Option<StampMessage>) -> Result<Stamp, Status> {
    let stamp = stamp.ok_or_else(|| Status::invalid_argument("stamp: missing"))?;
    Ok(Stamp {
        token: Token(stamp.token),
        version: stamp.version,
    })
}
