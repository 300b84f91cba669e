//! Entry daemon: accepts callers' HTTP requests, applies admission control,
//! routes each request to an upstream and returns the upstream's answer.

mod access;
mod admin;
mod at_most_once;
mod attempt;
mod authority;
mod buckets;
mod burn;
mod callers;
mod change;
mod claim_store;
mod confirmation;
mod daemon;
mod edit;
mod escrow_reader;
mod forward;
mod hedge;
mod incoming;
mod instances;
mod ledgers;
mod limits;
mod maintain;
mod members;
mod metrics;
mod operator;
mod outcome;
mod peer;
mod peers;
mod plan;
mod pool;
mod reclaim;
mod register;
mod run;
mod service;
mod shared;
mod snapshot;
mod start;
mod sync;

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use argh::FromArgs;
use dotterelsill_proto::settings::EntrySettings;
use dotterelsill_telemetry::{
    exit_code,
    init_daemon, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// Takes callers' requests, admits, routes and forwards them.
#[derive(FromArgs)]
struct Args {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    exit_code("dotterelsill-entry", run(&args))
}

/// The daemon could not start.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Settings {
        source: dotterelsill_telemetry::StartError,
    },
    #[snafu(display("{source}"))]
    Daemon { source: daemon::StartError },
}

fn run(args: &Args) -> Result<(), Error> {
    let settings = init_daemon(&args.settings, |settings: &EntrySettings| {
        &settings.log_level
    })
    .context(SettingsSnafu)?;
    dotterelsill_rpc::run(settings.threads, |tasks| daemon::run(settings, tasks))
        .context(DaemonSnafu)
}
