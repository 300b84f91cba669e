//! Waits for the fleet to recover after a fault.

use std::time::{
    Duration,
    Instant, //
};

use async_io::Timer;
use dotterelsill_proto::peer::StatusRequest;

use crate::{
    fault::Fault,
    harness::Harness,
    load::{
        blue,
        open, //
    },
    step::Step, //
};

/// Maximum time until a fleet serves again after a fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);

impl Harness {
    /// Starts new entries in place of those that have exited; after a graceful
    /// shutdown, waits for the entry to exit first (P10).
    pub(crate) async fn restart_ended(&mut self, step: Step) {
        if step == Step::GracefulShutdown {
            let begin = Instant::now();
            while self.fleet.entries[2].process.exit_status().is_none() {
                assert!(
                    begin.elapsed() < RECOVERY_LIMIT,
                    "P10: the shutdown does not end"
                );
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        for index in 0..3 {
            if let Some(status) = self.fleet.entries[index].process.exit_status() {
                let is_leaving = step == Step::GracefulShutdown && index == 2;
                assert!(!is_leaving || status.success(), "P10: {status}");
                self.replace_entry(index);
            }
        }
    }

    /// Waits until all entries are fresh, have the same revision in force and answer
    /// requests.
    pub(crate) async fn recover(&self, step: Step, fault: Fault) {
        let begin = Instant::now();
        let mut reason = self.obstacle_to_recovery().await;
        while let Some(found) = &reason {
            let is_late = begin.elapsed() > RECOVERY_LIMIT;
            assert!(!is_late, "{step:?} x {fault:?}: not recovered: {found}");
            Timer::after(Duration::from_millis(100)).await;
            reason = self.obstacle_to_recovery().await;
        }
    }

    /// Returns why the fleet has not recovered yet, or `None` if it has.
    async fn obstacle_to_recovery(&self) -> Option<String> {
        let mut revisions = Vec::new();
        for index in 0..3 {
            let mut client = self.fleet.operator(index);
            let status = match client.status(StatusRequest {}).await {
                Ok(status) => status.into_inner(),
                Err(error) => return Some(error.to_string()),
            };
            if status.authority != "fresh" {
                return Some(format!("entry {index}: {}", status.authority));
            }
            revisions.push(status.revision);
        }
        if revisions.iter().any(|revision| *revision != revisions[0]) {
            return Some(format!("{revisions:?}"));
        }
        for index in 0..3 {
            for work in [open(5), blue("key-of-blue", 5), self.callers.once(5)] {
                let answer = self.callers.send(index, &work).await;
                if answer.outcome != "answered" {
                    return Some(format!("entry {index}: {} {answer:?}", work.queue));
                }
            }
        }
        None
    }

    /// Checks that all entries refuse a key if its withdrawal was reported in force
    /// (P3).
    pub(crate) async fn check_withdrawn(&self, key: &str) {
        if !self.callers.observer.withdrawn().iter().any(|k| k.0 == key) {
            return;
        }
        for index in 0..3 {
            let answer = self.callers.send(index, &blue(key, 5)).await;
            assert_eq!(
                answer.status, 401,
                "P3: entry {index} accepts {key}: {answer:?}"
            );
        }
    }
}
