//! Startup, leader election and shutdown of the daemon.

use std::{
    net::{
        AddrParseError,
        SocketAddr, //
    },
    sync::Arc, //
};

use async_io::Timer;
use dotterelsill_proto::{
    planner::planner_server::PlannerServer,
    settings::PlannerSettings, //
};
use dotterelsill_rpc::{
    serve_grpc,
    termination_signal,
    ListenError,
    Listener,
    Tasks, //
};
use dotterelsill_store::Client;
use futures_lite::FutureExt as _;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    error::Error,
    fenced_access::FencedAccess,
    lead,
    lease::{
        self,
        Lease, //
    },
    names::Names,
    platform::Platform,
    service::Service,
    settings::Settings,
    shared::Shared,
    view::View, //
};

/// Failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address for operators' calls cannot be bound.
    #[snafu(display("listen: {source}"))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// An address in the settings cannot be parsed.
    #[snafu(display("{name}: {address:?} is not a socket address; write it as 10.0.0.1:2379"))]
    Address {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        address: String,
        /// Cause.
        source: AddrParseError,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signal handlers: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs the daemon until the process receives a termination signal.
///
/// # Errors
///
/// Returns an error when an address cannot be used or the signal handlers
/// cannot be installed.
pub async fn run(settings: PlannerSettings, tasks: Tasks) -> Result<(), StartError> {
    let store = parse("store", &settings.store)?;
    let platform = parse("platform", &settings.platform)?;
    let listener = Listener::bind(&settings.listen).context(ListenSnafu)?;
    log::info!(address:% = listener.address(); "listening");
    // Stopping a group closes its connections. The connections have their own
    // group, stopped after `tasks`, because releasing the lease is the last call.
    let connections = tasks.new_group();
    let shared = Arc::new(Shared {
        address: listener.address().to_string(),
        incarnation: rand::random(),
        names: Names::default(),
        platform: Platform::new(platform, &connections),
        settings: Settings::new(&settings),
        store: Client::new(store, &connections),
        view: View::default(),
    });
    let service = PlannerServer::new(Service::new(shared.clone()));
    tasks.spawn(serve_grpc(listener, tasks.clone(), service));
    tasks.spawn(contend_for_lease(shared, tasks.clone()));
    termination_signal().await.context(SignalSnafu)?;
    tasks.stop();
    tasks.join().await;
    connections.stop();
    connections.join().await;
    Ok(())
}

fn parse(name: &'static str, address: &str) -> Result<SocketAddr, StartError> {
    address.parse().context(AddressSnafu { name, address })
}

/// Tries to acquire the lease once per tick and acts as the leader while it is
/// held, until the daemon stops.
async fn contend_for_lease(shared: Arc<Shared>, tasks: Tasks) {
    while !tasks.is_stopping() {
        match lease::acquire(&shared).await {
            Ok(Some(lease)) => run_as_leader(&shared, lease, &tasks).await,
            Ok(None) => {}
            Err(error) => log::warn!(error:%; "lease_not_taken"),
        }
        let pause = async {
            Timer::after(shared.settings.tick).await;
        };
        pause.or(tasks.stopped()).await;
    }
}

/// Acts as the leader until the lease may have expired, another planner has
/// taken over or the daemon stops. Then releases the lease.
///
/// A separate task renews the lease, because planning a large fleet takes longer
/// than a renewal may be delayed.
async fn run_as_leader(shared: &Arc<Shared>, lease: Lease, tasks: &Tasks) {
    log::info!(token = lease.token.0; "planner_in_charge");
    let lease = Arc::new(lease);
    let renewal = tasks.new_group();
    renewal.spawn_until_stop(renew_lease(shared.clone(), lease.clone(), renewal.clone()));
    let access = FencedAccess {
        lease: &lease,
        shared,
    };
    let lease_expired = async {
        renewal.stopped().await;
        Err(Error::LeaseExpired)
    };
    let stopped = async {
        tasks.stopped().await;
        Ok(())
    };
    let result: Result<(), Error> = lease_expired.or(stopped).or(lead::run(access)).await;
    shared.view.set(None);
    if let Err(error) = result {
        log::warn!(token = lease.token.0, error:%; "planner_stops_acting");
    }
    renewal.stop();
    renewal.join().await;
    lease::release(shared, &lease).await;
}

/// Renews the lease and stops the group once the lease may have expired.
async fn renew_lease(shared: Arc<Shared>, lease: Arc<Lease>, group: Tasks) {
    lease::keep_alive(&shared, &lease).await;
    group.stop();
}
