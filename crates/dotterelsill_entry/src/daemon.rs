//! Starts and stops the parts of the daemon.

use std::net::SocketAddr;

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
    ListenError,
    Listener,
    Pair,
    Tasks, //
};
use dotterelsill_store::Client;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    callers,
    operator,
    peer,
    shared::Shared,
    sync, //
};

/// The daemon cannot start.
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
    #[snafu(display("signal handlers: {source}"))]
    Signal { source: std::io::Error },
}

/// Runs the daemon until it is told to stop.
pub(crate) async fn run(settings: EntrySettings, tasks: Tasks) -> Result<(), StartError> {
    let address = &settings.store;
    let store: SocketAddr = address.parse().context(StoreAddressSnafu { address })?;
    let callers = bind("listen_callers", &settings.listen_callers)?;
    let peers = bind("listen_peers", &settings.listen_peers)?;
    let store = Client::new(store, &tasks);
    let shared = Shared::new(settings, store, tasks.clone());

    tasks.spawn_until_stop(sync::run(shared.clone()));
    let services = Pair::new(
        OperatorServer::new(operator::Service::new(shared.clone())),
        PeerServer::new(peer::Service::new(shared.clone())),
    );
    tasks.spawn(serve_grpc(peers, tasks.clone(), services));
    tasks.spawn(serve_http1(callers, tasks.clone(), move |request| {
        callers::serve(shared.clone(), request)
    }));
    termination_signal().await.context(SignalSnafu)?;
    tasks.stop();
    tasks.join().await;
    Ok(())
}

fn bind(name: &'static str, address: &str) -> Result<Listener, StartError> {
    let listener = Listener::bind(address).context(ListenSnafu { name })?;
    log::info!(name, address:% = listener.address(); "listening");
    Ok(listener)
}
