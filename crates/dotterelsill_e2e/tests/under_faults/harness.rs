//! Fleet with callers for tests of single faults.

use std::{
    future::Future,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    violations,
    Answer,
    Fleet,
    Observer,
    Run,
    Work, //
};
use dotterelsill_rpc::Tasks;
use futures_lite::future::or;

/// Teams and the limits of their concurrent requests in the configuration of the
/// fleet.
const LIMITS: [(&str, usize); 2] = [("red", 4), ("blue", 8)];

/// A fleet with API keys for both teams, and an observer of its answers.
pub(crate) struct Harness {
    pub(crate) fleet: Fleet,
    pub(crate) observer: Observer,
    tasks: Tasks,
}

impl Harness {
    pub(crate) async fn start(data_centres: usize, isolation_limit_s: u32, tasks: &Tasks) -> Self {
        let fleet = Fleet::start(data_centres, 1, tasks);
        fleet
            .apply(0, &fleet.configuration(isolation_limit_s))
            .await;
        fleet.give_key(0, "red", "key-of-red").await;
        let given = fleet.give_key(0, "blue", "key-of-blue").await;
        fleet.await_revision(given.revision).await;
        // Entries list members, leases and credits within two rounds.
        Timer::after(Duration::from_secs(4)).await;
        Self {
            fleet,
            observer: Observer::default(),
            tasks: tasks.clone(),
        }
    }

    pub(crate) async fn send(&self, index: usize, work: &Work) -> Answer {
        let address = self.fleet.entries[index].process.address("listen_callers");
        self.observer.send(address, work, &self.tasks).await
    }

    /// Sends work repeatedly from several callers, distributed over the entries, until
    /// a future completes.
    pub(crate) async fn load_until<T>(
        &self,
        callers: usize,
        work: &Work,
        until: impl Future<Output = T>,
    ) -> T {
        let entries = self.fleet.entries.len();
        let entries: Vec<usize> = (0..callers).map(|caller| caller % entries).collect();
        self.load_at(&entries, work, until).await
    }

    /// Sends work repeatedly until a future completes, from one caller for each element
    /// of `entries`, which holds indexes of entries.
    pub(crate) async fn load_at<T>(
        &self,
        entries: &[usize],
        work: &Work,
        until: impl Future<Output = T>,
    ) -> T {
        let loads = entries.iter().map(|entry| async move {
            loop {
                self.send(*entry, work).await;
                Timer::after(Duration::from_millis(30)).await;
            }
        });
        let loads = futures_util::future::join_all(loads);
        let loads = async {
            loads.await;
            unreachable!("callers never stop")
        };
        or(until, loads).await
    }

    /// Checks the properties P3 to P8 and returns all runs.
    pub(crate) fn check(&self) -> Vec<Run> {
        let runs = self.fleet.logged_runs();
        let found = violations(&self.observer, &runs, &LIMITS);
        assert!(found.is_empty(), "{found:#?}");
        runs
    }

    /// Returns the number of attempts with an outcome.
    pub(crate) fn outcome_count(&self, outcome: &str) -> usize {
        let sent = self.observer.sent();
        sent.iter().filter(|sent| sent.outcome == outcome).count()
    }
}

pub(crate) fn keyed(team: &'static str, service_time_ms: u64) -> Work {
    Work {
        queue: "keyed",
        team,
        key: format!("key-of-{team}"),
        service_time: Duration::from_millis(service_time_ms),
        ..Work::default()
    }
}

pub(crate) fn once(identifier: &str, service_time_ms: u64) -> Work {
    Work {
        queue: "once",
        identifier: identifier.to_owned(),
        ..keyed("blue", service_time_ms)
    }
}

pub(crate) fn pause_ms(ms: u64) -> Timer {
    Timer::after(Duration::from_millis(ms))
}
