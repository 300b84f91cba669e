//! Entry point of the planner daemon.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use argh::FromArgs;
use dotterelsill_proto::settings::PlannerSettings;
use dotterelsill_telemetry::{
    exit_code,
    init_daemon, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// Executor threads. Two are enough, as the planner is idle most of the time.
const THREADS: u32 = 2;

/// Manages capacity and maintenance.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

/// Failure to start the daemon.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Settings {
        source: dotterelsill_telemetry::StartError,
    },
    #[snafu(display("{source}"))]
    Daemon {
        source: dotterelsill_planner::StartError,
    },
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    exit_code("dotterelsill-planner", run(&args))
}

fn run(args: &Args) -> Result<(), Error> {
    let settings = init_daemon(&args.settings, |settings: &PlannerSettings| {
        &settings.log_level
    })
    .context(SettingsSnafu)?;
    dotterelsill_rpc::run(THREADS, |tasks| dotterelsill_planner::run(settings, tasks))
        .context(DaemonSnafu)
}
