//! Stand-in for an upstream, for tests; it serves a fixed number of requests at once.

mod service;

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc, //
};

use argh::FromArgs;
use dotterelsill_proto::settings::StandinUpstreamSettings;
use dotterelsill_rpc::{
    serve_http1,
    termination_signal,
    Listener,
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

/// Stand-in for an upstream, for tests only.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = dotterelsill_rpc::run(1, |tasks| serve(args, tasks));
    exit_code("dotterelsill-standin-upstream", result)
}

async fn serve(args: Args, tasks: Tasks) -> Result<(), Whatever> {
    let settings = init_daemon(&args.settings, |settings: &StandinUpstreamSettings| {
        &settings.log_level
    })
    .whatever_context("start")?;
    let listener = Listener::bind(&settings.listen).whatever_context("listen")?;
    log::info!(address:% = listener.address(); "listening");

    let upstream = Arc::new(service::Upstream::new(&settings));
    tasks.spawn(serve_http1(listener, tasks.clone(), move |request| {
        let upstream = upstream.clone();
        async move { upstream.answer(request).await }
    }));
    termination_signal().await.whatever_context("signal")?;
    tasks.stop();
    tasks.join().await;
    Ok(())
}
