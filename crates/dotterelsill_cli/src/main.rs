//! Command-line tool for operators of a fleet.

mod args;
mod client;
mod commands;
mod jobs;
mod print;

use std::process::ExitCode;

use args::Args;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = dotterelsill_rpc::run(1, |tasks| async move {
        let result = commands::run(args, &tasks).await;
        tasks.stop();
        tasks.join().await;
        result
    });
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("dotterelsill: {error}");
            ExitCode::from(2)
        }
    }
}
