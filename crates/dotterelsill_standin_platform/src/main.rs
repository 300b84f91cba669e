//! Stand-in for the platform and its instances, for tests.
//!
//! The gate of each instance rejects orders and queries whose stamp is older than the
//! newest one. Completed orders are recorded, and tests read them through the
//! `StandinPlatformControl` service.

mod control;
mod instance;
mod record;
mod service;
mod state;

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc, //
};

use argh::FromArgs;
use dotterelsill_proto::{
    platform::{
        platform_server::PlatformServer,
        standin_platform_control_server::StandinPlatformControlServer, //
    },
    settings::StandinPlatformSettings, //
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

/// Stand-in for the platform and its instances, for tests only.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = dotterelsill_rpc::run(1, |tasks| serve(args, tasks));
    exit_code("dotterelsill-standin-platform", result)
}

async fn serve(args: Args, tasks: Tasks) -> Result<(), Whatever> {
    let settings = init_daemon(&args.settings, |settings: &StandinPlatformSettings| {
        &settings.log_level
    })
    .whatever_context("start")?;
    let listener = Listener::bind(&settings.listen).whatever_context("listen")?;
    log::info!(address:% = listener.address(); "listening");

    let shared = Arc::new(service::Shared::new(&settings));
    let services = ServicePair::new(
        PlatformServer::new(service::Service::new(shared.clone())),
        StandinPlatformControlServer::new(control::Control::new(shared.clone())),
    );
    tasks.spawn(serve_grpc(listener, tasks.clone(), services));
    tasks.spawn_until_stop(service::refresh_list(shared));
    termination_signal().await.whatever_context("signal")?;
    tasks.stop();
    tasks.join().await;
    Ok(())
}
