//! Planner daemon: manages capacity and maintenance.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use argh::FromArgs;
use dotterelsill_proto::settings::PlannerSettings;
use dotterelsill_telemetry::{
    init_logs,
    load_settings, //
};
use snafu::{
    ResultExt,
    Whatever, //
};

/// Executor threads; the planner is rarely busy.
const THREADS: u32 = 2;

/// Manages capacity and maintenance.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match start(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dotterelsill-planner: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), Whatever> {
    let settings: PlannerSettings = load_settings(&args.settings).whatever_context("settings")?;
    init_logs(&settings.log_level).whatever_context("log")?;
    dotterelsill_rpc::run(THREADS, |tasks| dotterelsill_planner::run(settings, tasks))
        .whatever_context("planner")
}
