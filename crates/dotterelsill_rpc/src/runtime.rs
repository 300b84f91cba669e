//! Executor threads and signals of a program.

use std::{
    future::Future,
    io,
    sync::Arc,
    thread, //
};

use async_executor::Executor;
use async_io::block_on;
use async_signal::{
    Signal,
    Signals, //
};
use futures_lite::StreamExt as _;

use crate::Tasks;

/// Runs a program on an executor with the given number of threads; 0 means one per
/// core.
///
/// `main` receives a new task group. The output of its future is returned after all
/// threads have ended. Tasks that are still running by then are not joined.
pub fn run<F: Future>(threads: u32, main: impl FnOnce(Tasks) -> F) -> F::Output {
    let executor = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::scope(|scope| {
        // The calling thread is one of the executor threads and also runs `main`.
        for _ in 1..thread_count(threads) {
            let executor = executor.clone();
            let stopped = stopped.clone();
            scope.spawn(move || block_on(executor.run(stopped.recv())));
        }
        let output = block_on(executor.run(main(Tasks::new(executor.clone()))));
        drop(stop);
        output
    })
}

fn thread_count(threads: u32) -> usize {
    match threads {
        0 => thread::available_parallelism().map_or(1, usize::from),
        n => n as usize,
    }
}

/// Calls a function on each SIGHUP. Without a handler, SIGHUP terminates the process.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub async fn on_reload_signal(reload: impl Fn()) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    while signals.next().await.is_some() {
        reload();
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn termination_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
