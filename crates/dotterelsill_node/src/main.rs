//! Node daemon: takes jobs, schedules their tasks and maintains instances.

mod admission;
mod advice;
mod authority;
mod bodies;
mod call_times;
mod callers;
mod clock;
mod daemon;
mod dependency;
mod dispatch;
mod election;
mod event_loop;
mod expired_records;
mod guarded;
mod handover;
mod instance_orders;
mod intake;
mod keys;
mod leader_link;
mod leadership;
mod load;
mod metrics;
mod operators;
mod peer_service;
mod peers;
mod reach;
mod relay;
mod requests;
mod restore;
mod scheduling;
mod signal;
mod submission;
mod worker_loops;
mod worker_registry;
mod writer;

use std::{
    panic,
    process::ExitCode, //
};

use argh::FromArgs;
use dotterelsill_telemetry::{
    exit_code,
    init_request_logs, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// Takes jobs, schedules their tasks and maintains instances.
#[derive(FromArgs)]
struct Args {
    /// log level, such as info or info,dotterelsill_jobs=debug
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
    /// defer jobs that cost callers least when a pool gets no room for its work
    #[argh(switch)]
    defer_jobs: bool,
}

/// Failure that ends the daemon.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Log {
        source: dotterelsill_telemetry::LogError,
    },
    #[snafu(display("{source}"))]
    Settings {
        source: dotterelsill_platform::SettingsError,
    },
    #[snafu(display("{source}"))]
    Daemon { source: daemon::StartError },
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    exit_code("dotterelsill-node", run(&args))
}

/// Aborts the process when a task panics. Otherwise the other threads would keep
/// serving callers from data that the failed task no longer updates.
fn abort_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

fn run(args: &Args) -> Result<(), Error> {
    abort_on_panic();
    init_request_logs(&args.log_level).context(LogSnafu)?;
    let settings = dotterelsill_platform::load_settings().context(SettingsSnafu)?;
    dotterelsill_rpc::run(settings.cores, |tasks| {
        daemon::run(settings, args.defer_jobs, tasks)
    })
    .context(DaemonSnafu)
}
