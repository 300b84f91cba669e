//! Fleet with callers and operators that runs the cells of the matrix.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    peak_concurrency,
    violations,
    Fleet, //
};
use dotterelsill_proto::peer::{
    ChangeState,
    GiveKeyRequest,
    SetDataCentreRequest,
    StatusRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Tasks, //
};
use futures_lite::future::zip;
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    fault::Fault,
    load::Callers,
    operators::{
        Operators,
        OPERATOR_TIMEOUT, //
    },
    step::Step, //
};

/// Teams and the limits of their concurrent requests in the configuration of the
/// fleet.
const LIMITS: [(&str, usize); 2] = [("red", 4), ("blue", 8)];

/// A fleet of three data centres under background load.
pub(crate) struct Harness {
    pub(crate) fleet: Fleet,
    pub(crate) callers: Callers,
    tasks: Tasks,
    random: StdRng,
    /// Number of cells that have been run.
    cells_run: u32,
    /// Flags that end the monitors of the entries.
    monitor_ends: Vec<Arc<AtomicBool>>,
    /// Decreases of a revision in force, which violate P11.
    decreases: Arc<Mutex<Vec<String>>>,
    /// Violations found so far, each with the cell that first showed it.
    found: Vec<String>,
}

impl Harness {
    pub(crate) async fn start(seed: u64, tasks: &Tasks) -> Self {
        let fleet = Fleet::start(3, 20, tasks);
        fleet.apply(0, &fleet.configuration(1)).await;
        fleet.give_key(0, "red", "key-of-red").await;
        fleet.give_key(0, "blue", "key-of-blue").await;
        let given = fleet.give_key(0, "blue", "key-0").await;
        fleet.await_revision(given.revision).await;
        // Entries list members, leases and credits within two rounds.
        Timer::after(Duration::from_secs(3)).await;
        let mut harness = Self {
            fleet,
            callers: Callers::new(tasks),
            tasks: tasks.clone(),
            random: StdRng::seed_from_u64(seed),
            cells_run: 0,
            monitor_ends: Vec::new(),
            decreases: Arc::default(),
            found: Vec::new(),
        };
        harness.set_targets();
        harness.callers.add_key("key-of-blue");
        harness.callers.add_key("key-0");
        for index in 0..3 {
            let monitor = harness.monitor(index);
            harness.monitor_ends.push(monitor);
        }
        harness.callers.start(seed);
        harness
    }

    /// Runs one cell: exercises a step while a fault is injected, waits until the
    /// fleet serves again, and checks all properties.
    pub(crate) async fn run_cell(&mut self, step: Step, fault: Fault) {
        let begin = Instant::now();
        let key = format!("key-{}", self.cells_run);
        let callers = self.callers.clone();
        step.prepare(self);
        let operators = Operators::new(self, &key);
        let fault_delay = step.fault_delay(self.random.random_range(0..200));
        let is_long = self.cells_run % 2 == 1;
        let injection = async {
            Timer::after(fault_delay).await;
            fault.inject(self, step.target(fault), is_long).await;
        };
        zip(step.exercise(&callers, &operators), injection).await;
        self.restart_ended(step).await;
        self.recover(step, fault).await;
        if step == Step::Change {
            self.check_withdrawn(&key).await;
        }
        self.check(step, fault);
        self.cells_run += 1;
        self.reset_configuration(&key).await;
        println!("{step:?} x {fault:?}: {} ms", begin.elapsed().as_millis());
    }

    /// Checks all properties once more, and that there was enough load.
    pub(crate) fn end(&mut self, fault: Fault) {
        self.check(Step::GracefulShutdown, fault);
        let sent = self.callers.observer.sent();
        let count = |outcome| sent.iter().filter(|sent| sent.outcome == outcome).count();
        println!(
            "{fault:?}: {} attempts, {} answered, {} not run, {} unknown, {} failed, {} broken",
            sent.len(),
            count("answered"),
            count("not_run"),
            count("unknown"),
            count("failed"),
            count("broken"),
        );
        assert!(count("answered") > 300, "too few requests were answered");
        let runs = self.fleet.logged_runs();
        let peaks = LIMITS.map(|(team, limit)| (team, peak_concurrency(&sent, &runs, team), limit));
        let observer = &self.callers.observer;
        let withdrawn = observer.withdrawn().len();
        let exclusions = observer.exclusions().len();
        println!("{fault:?}: peaks {peaks:?}, {withdrawn} keys withdrawn, {exclusions} exclusions");
        // Peaks above the limit are reported as violations below.
        assert!(peaks[0].1 >= 4, "team red never reached its limit");
        assert!(
            withdrawn > 2 && exclusions > 0,
            "too few changes came into force"
        );
        assert!(self.found.is_empty(), "{:#?}", self.found);
    }

    /// Kills an entry, given by its index, and starts a new one in its place.
    pub(crate) fn replace_entry(&mut self, index: usize) {
        self.fleet.entries[index].process.kill();
        self.fleet.entries[index] = self.fleet.start_entry(index);
        self.monitor_ends[index].store(true, Ordering::SeqCst);
        self.monitor_ends[index] = self.monitor(index);
        self.set_targets();
    }

    /// Has two operators change the configuration concurrently.
    pub(crate) async fn race_operators(&mut self) {
        let mut first = self.fleet.operator(0);
        let mut second = self.fleet.operator(1);
        let number: u64 = self.random.random();
        let out = SetDataCentreRequest {
            write_id: self.fleet.write_id(),
            data_centre: "b".to_owned(),
            out: true,
        };
        let give = GiveKeyRequest {
            write_id: self.fleet.write_id(),
            team: "blue".to_owned(),
            sha256: Sha256::digest(number.to_le_bytes()).to_vec(),
        };
        let changes = zip(first.set_data_centre(out), second.give_key(give));
        let (out, give) = timeout(OPERATOR_TIMEOUT, changes)
            .await
            .expect("both operators are answered within 25 s");
        let out = out.expect("the entry answers").into_inner();
        let give = give.expect("the entry answers").into_inner();
        assert_ne!(out.state(), ChangeState::Unknown, "{out:?}");
        assert_ne!(give.state(), ChangeState::Unknown, "{give:?}");
        if out.state() == ChangeState::InForce {
            self.callers.observer.on_excluded(1);
        }
    }

    /// Records the violations that previous cells did not have. The column continues
    /// after a violation, so that the cells below are tested too.
    fn check(&mut self, step: Step, fault: Fault) {
        let runs = self.fleet.logged_runs();
        let mut found = violations(&self.callers.observer, &runs, &LIMITS);
        let decreases = self
            .decreases
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        found.extend(decreases.iter().cloned());
        for line in found {
            if !self.found.iter().any(|known| known.ends_with(&line)) {
                self.found.push(format!("{step:?} x {fault:?}: {line}"));
            }
        }
    }

    /// Readmits all data centres, withdraws the key of the last cell and gives a new
    /// key for the next one. Callers keep using the old key, and in every fourth cell
    /// a data centre is excluded again.
    async fn reset_configuration(&mut self, old_key: &str) {
        let excluded = self.fleet.status(0).await.data_centres_out;
        for (index, name) in [(1, "b"), (2, "c")] {
            if !excluded.iter().any(|out| out == name) {
                continue;
            }
            self.callers.observer.on_readmitted(index);
            let back = self.fleet.set_data_centre(0, name, false).await;
            assert_ne!(back.state(), ChangeState::Refused, "{back:?}");
        }
        let withdrawn = self.fleet.withdraw_key(0, old_key).await;
        if withdrawn.state() == ChangeState::InForce {
            self.callers.observer.on_withdrawn(old_key);
        }
        if self.cells_run % 4 == 2 {
            let out = self.fleet.set_data_centre(0, "c", true).await;
            if out.state() == ChangeState::InForce {
                self.callers.observer.on_excluded(2);
            }
        }
        let key = format!("key-{}", self.cells_run);
        let given = self.fleet.give_key(0, "blue", &key).await;
        assert_ne!(given.state(), ChangeState::Refused, "{given:?}");
        self.fleet.await_revision(given.revision).await;
        self.callers.add_key(&key);
    }

    fn set_targets(&self) {
        let address = |entry: &dotterelsill_e2e::Entry| entry.process.address("listen_callers");
        let targets = self.fleet.entries.iter().map(address).collect();
        self.callers.set_targets(targets);
    }

    /// Checks until the returned flag is set that the revision in force on an entry
    /// never decreases (P11).
    fn monitor(&self, index: usize) -> Arc<AtomicBool> {
        let ended = Arc::new(AtomicBool::new(false));
        let until = ended.clone();
        let mut client = self.fleet.operator(index);
        let decreases = self.decreases.clone();
        self.tasks.spawn_until_stop(async move {
            let mut last = 0;
            while !until.load(Ordering::SeqCst) {
                if let Ok(status) = client.status(StatusRequest {}).await {
                    let revision = status.into_inner().revision;
                    if revision < last && !until.load(Ordering::SeqCst) {
                        let line = format!(
                            "P11: revision of entry {index} went from {last} to {revision}"
                        );
                        let mut lines = decreases.lock().unwrap_or_else(PoisonError::into_inner);
                        lines.push(line);
                    }
                    last = revision;
                }
                Timer::after(Duration::from_millis(100)).await;
            }
        });
        ended
    }
}
