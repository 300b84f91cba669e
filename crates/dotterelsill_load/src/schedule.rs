//! Schedules requests and distributes them over the connections.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_channel::Receiver;
use async_io::Timer;
use dotterelsill_rpc::Tasks;

use crate::{
    report::Report,
    worker::Worker,
    Args, //
};

/// Sends all requests and returns the report of all connections.
pub(crate) async fn run(args: Args, tasks: Tasks) -> Report {
    let total = Arc::new(Mutex::new(Report::new()));
    let workers = tasks.new_group();
    let (schedule, intended) = async_channel::unbounded();
    let begin = Instant::now();
    for index in 0..args.connections as u64 {
        let worker = Worker::new(args.clone(), tasks.clone(), index);
        let total = total.clone();
        let intended = intended.clone();
        workers.spawn(async move {
            let report = send_all(worker, begin, intended).await;
            total
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .merge(&report);
        });
    }
    drop(intended);
    if args.rate > 0.0 {
        let interval = Duration::from_secs_f64(1.0 / args.rate);
        let mut next = begin;
        while next < begin + args.duration() {
            Timer::at(next).await;
            // Cannot fail while a worker holds the receiver, which it drops only after
            // the channel is closed.
            let _ = schedule.try_send(next);
            next += interval;
        }
    }
    drop(schedule);
    workers.join().await;
    tasks.stop();
    tasks.join().await;
    let mut report = std::mem::replace(
        &mut *total.lock().unwrap_or_else(PoisonError::into_inner),
        Report::new(),
    );
    report.set_elapsed(begin.elapsed());
    report
}

/// Sends requests on one connection: at the scheduled times, or one after the other in
/// a closed loop.
async fn send_all(mut worker: Worker, begin: Instant, intended: Receiver<Instant>) -> Report {
    if worker.is_closed_loop() {
        while begin.elapsed() < worker.duration() {
            worker.send(Instant::now()).await;
        }
    } else {
        while let Ok(intended) = intended.recv().await {
            worker.send(intended).await;
        }
    }
    worker.report
}
