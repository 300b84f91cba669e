//! Open-loop load generator.
//!
//! Requests are sent on a fixed schedule that does not depend on the answers, and
//! latency is measured from the intended send time, so that a stall of the server
//! counts in every request that it delays.

mod report;
mod schedule;
mod worker;

use std::{
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use argh::FromArgs;

/// Sends requests on a fixed schedule and prints outcomes and latencies.
#[derive(Clone, FromArgs)]
struct Args {
    /// socket address of the server
    #[argh(option)]
    target: SocketAddr,
    /// path of the requests, for example /q/scan/
    #[argh(option)]
    path: String,
    /// key of the team; none for open queues
    #[argh(option)]
    key: Option<String>,
    /// requests a second; 0 sends on each connection as soon as it is free
    #[argh(option, default = "1000.0")]
    rate: f64,
    /// duration in seconds
    #[argh(option, default = "5.0")]
    duration_s: f64,
    /// open connections
    #[argh(option, default = "16")]
    connections: usize,
    /// length of the body in bytes
    #[argh(option, default = "64")]
    body_bytes: usize,
    /// longest time to wait for an answer, in milliseconds
    #[argh(option, default = "10000")]
    timeout_ms: u64,
    /// threads; 0 means one per core
    #[argh(option, default = "1")]
    threads: u32,
    /// whether each request carries an idempotency key of its own
    #[argh(switch)]
    idempotency: bool,
}

impl Args {
    fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let report = dotterelsill_rpc::run(args.threads, |tasks| schedule::run(args, tasks));
    println!("{report}");
    if report.answered() > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
