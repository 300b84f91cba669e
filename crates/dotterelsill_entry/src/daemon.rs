//! Starts the daemon's tasks and listeners, and shuts them down in order.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration, //
};

use async_io::Timer;
use bytes::Bytes;

use dotterelsill_proto::{
    peer::{
        operator_server::OperatorServer,
        peer_server::PeerServer, //
    },
    settings::EntrySettings, //
};
use dotterelsill_rpc::{
    serve_grpc,
    serve_http1,
    termination_signal,
    timeout,
    ListenError,
    Listener,
    ServicePair,
    Tasks, //
};
use dotterelsill_store::Client;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    Request,
    Response, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    admin,
    burn,
    callers,
    instances,
    limits,
    maintain,
    members,
    metrics::Metrics,
    operator,
    peer,
    register,
    shared::Shared,
    sync, //
};

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub(crate) enum StartError {
    #[snafu(display("{name}: {source}"))]
    Listen {
        name: &'static str,
        source: ListenError,
    },
    #[snafu(display("store: {address:?} is not a socket address; write it as 10.0.0.1:2379"))]
    StoreAddress {
        address: String,
        source: std::net::AddrParseError,
    },
    #[snafu(display("platform: {address:?} is not a socket address; write it as 10.0.0.1:80"))]
    PlatformAddress {
        address: String,
        source: std::net::AddrParseError,
    },
    #[snafu(display("metrics: {source}"))]
    Metrics { source: prometheus::Error },
    #[snafu(display("signal handlers: {source}"))]
    Signal { source: std::io::Error },
}

/// Runs the daemon until it receives a termination signal, then drains the
/// requests in flight, returns credits and deletes its registration.
pub(crate) async fn run(settings: EntrySettings, tasks: Tasks) -> Result<(), StartError> {
    let address = &settings.store;
    let store: SocketAddr = address.parse().context(StoreAddressSnafu { address })?;
    let platform = match settings.platform.as_str() {
        "" => None,
        address => Some(address.parse().context(PlatformAddressSnafu { address })?),
    };
    let callers = bind("listen_callers", &settings.listen_callers)?;
    let peers = bind("listen_peers", &settings.listen_peers)?;
    let admin = bind("listen_admin", &settings.listen_admin)?;
    let store = Client::new(store, &tasks);
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let peer_address = match settings.advertise_peers.as_str() {
        "" => peers.address().to_string(),
        address => address.to_owned(),
    };
    let shared = Shared::new(settings, peer_address, store, tasks.clone(), metrics);

    tasks.spawn_until_stop(register::run(shared.clone()));
    tasks.spawn_until_stop(sync::run(shared.clone()));
    shared.buckets.start(&shared);
    tasks.spawn_until_stop(limits::run(shared.clone()));
    if let Some(platform) = platform {
        tasks.spawn_until_stop(instances::run(shared.clone(), platform));
    }
    tasks.spawn_until_stop(burn::run(shared.clone()));
    tasks.spawn_until_stop(maintain::run(shared.clone()));
    tasks.spawn_until_stop(members::run(shared.clone()));
    let services = ServicePair::new(
        OperatorServer::new(operator::Service::new(shared.clone())),
        PeerServer::new(peer::Service::new(shared.clone())),
    );
    tasks.spawn(serve_grpc(peers, tasks.clone(), services));
    spawn_http(&shared.requests, callers, &shared, callers::serve);
    spawn_http(&tasks, admin, &shared, admin::serve);
    termination_signal().await.context(SignalSnafu)?;
    drain(&shared).await;
    limits::release_credits(&shared).await;
    register::deregister(&shared).await;
    tasks.stop();
    tasks.join().await;
    log::logger().flush();
    Ok(())
}

/// Serves HTTP/1 on a listener as a task of `tasks`.
fn spawn_http<F>(
    tasks: &Tasks,
    listener: Listener,
    shared: &Arc<Shared>,
    serve: impl Fn(Arc<Shared>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let shared = shared.clone();
    tasks.spawn(serve_http1(listener, tasks.clone(), move |request| {
        serve(shared.clone(), request)
    }));
}

/// Fails the readiness check, gives the load balancer `balancer_grace_ms` to stop
/// sending callers here, then waits for the requests in flight for at most
/// `shutdown_timeout_ms`.
async fn drain(shared: &Shared) {
    let requests = &shared.requests;
    shared.is_leaving.store(true, Ordering::SeqCst);
    log::info!("leaving");
    let grace_ms = shared.settings.balancer_grace_ms;
    Timer::after(Duration::from_millis(grace_ms.into())).await;
    requests.stop();
    let limit = Duration::from_millis(shared.settings.shutdown_timeout_ms.into());
    if let Err(elapsed) = timeout(limit, requests.join()).await {
        log::error!(reason:% = elapsed; "requests_cut_by_shutdown");
    }
}

/// Binds one of the listeners; `name` is the setting that holds its address.
fn bind(name: &'static str, address: &str) -> Result<Listener, StartError> {
    let listener = Listener::bind(address).context(ListenSnafu { name })?;
    log::info!(name, address:% = listener.address(); "listening");
    Ok(listener)
}
