//! Stand-in for the platform's key-value store, for tests.
//!
//! It keeps all data in memory. Tests inject delays, outages and lost answers of
//! writes through the `StandinControl` service.

mod control;
mod faults;
mod service;
mod state;

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc, //
};

use argh::FromArgs;
use dotterelsill_proto::{
    settings::StandinStoreSettings,
    store::{
        standin_control_server::StandinControlServer,
        store_server::StoreServer, //
    }, //
};
use dotterelsill_rpc::{
    serve_grpc,
    termination_signal,
    Listener,
    ServicePair,
    Tasks, //
};
use dotterelsill_telemetry::{
    exit_code,
    init_daemon, //
};
use snafu::{
    ResultExt,
    Whatever, //
};

/// Stand-in for the platform's key-value store, for tests only.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = dotterelsill_rpc::run(1, |tasks| serve(args, tasks));
    exit_code("dotterelsill-standin-store", result)
}

async fn serve(args: Args, tasks: Tasks) -> Result<(), Whatever> {
    let settings = init_daemon(&args.settings, |settings: &StandinStoreSettings| {
        &settings.log_level
    })
    .whatever_context("start")?;
    let listener = Listener::bind(&settings.listen).whatever_context("listen")?;
    log::info!(address:% = listener.address(); "listening");

    let shared = Arc::new(service::Shared::new(settings.delay_ms));
    let services = ServicePair::new(
        StoreServer::new(service::Service::new(shared.clone())),
        StandinControlServer::new(control::Control::new(shared)),
    );
    tasks.spawn(serve_grpc(listener, tasks.clone(), services));
    termination_signal().await.whatever_context("signal")?;
    tasks.stop();
    tasks.join().await;
    Ok(())
}
