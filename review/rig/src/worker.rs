//! Stand-in for a runner and the machine that it runs on.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use crate::{
    http::{
        Reply,
        Request,
        Server, //
    },
    json::Json,
    record::Record,
    store::Store, //
};

/// `holdMaxMs` of the settings: a longer lease is shortened to it.
pub const MAX_LEASE_MS: u64 = 10_000;

/// Time that a stop takes; the pages allow `stopTimeoutMs`, 200.
const STOP_TIME: Duration = Duration::from_millis(30);

/// Capacity of each worker.
pub const CPU_MILLI: u64 = 16_000;

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub begin_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
}

/// `gangTimeoutMs` of the settings: how long a member waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

/// `checkpointIntervalS` of the settings.
const CHECKPOINT_MS: u64 = 1000;

/// The members of one run of a gang that carry one checkpoint.
struct Gang {
    count: usize,
    present: BTreeSet<String>,
    /// Time since which all members are present.
    begun: Option<Instant>,
    /// Work that the checkpoint holds.
    from_ms: u64,
    /// How the run has ended for all members.
    over: Option<&'static str>,
}

impl Gang {
    fn progress_ms(&self) -> u64 {
        let worked = self.begun.map_or(0, |begun| begun.elapsed().as_millis());
        self.from_ms + worked as u64
    }

    /// Returns the checkpoint of the work so far.
    fn checkpoint(&self) -> String {
        match self.progress_ms() / CHECKPOINT_MS * CHECKPOINT_MS {
            0 => String::new(),
            saved_ms => format!("{saved_ms:016}"),
        }
    }
}

/// All runs on all workers, in the order of their starts, and the gangs by step,
/// attempt and checkpoint.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Arc<Mutex<BTreeMap<String, Gang>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("no writer panics").clone()
    }

    /// Returns the runs that go on now.
    pub fn going_on(&self) -> Vec<Run> {
        let runs = self.all();
        runs.into_iter()
            .filter(|run| run.end_ms.is_none())
            .collect()
    }
}

struct Active {
    attempt: u64,
    begin: Instant,
    ends_at: Instant,
    fails: bool,
    stops_at: Option<Instant>,
    percent: u64,
    /// Key of its gang.
    gang: Option<String>,
    checkpoint: String,
    /// Index in `Runs`.
    index: usize,
}

/// What a runner knows in one life.
struct Life {
    begin: Instant,
    born_ms: u64,
    highest_token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Active>,
    /// Highest attempt of each task that was stopped or has ended.
    ended_attempts: BTreeMap<String, u64>,
    /// Ends that `lastSeen` has not reached.
    finished: Vec<(u64, Json)>,
    next_end: u64,
    sequence: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }
}

struct Shared {
    id: String,
    machine: String,
    pool: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    store: Store,
    record: Record,
    runs: Runs,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    is_cut: AtomicBool,
    is_unhealthy: AtomicBool,
}

#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    /// Starts a runner, which registers in the store.
    pub fn start(
        index: usize,
        pool: &str,
        zone: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
        runs: &Runs,
    ) -> Self {
        let worker = Self(Arc::new(Shared {
            id: format!("i-{index:010x}"),
            machine: format!("m-{index:05x}"),
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            rack: format!("r-{zone}"),
            address,
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            life: Mutex::new(None),
            server: Mutex::new(None),
            is_cut: AtomicBool::new(false),
            is_unhealthy: AtomicBool::new(false),
        }));
        worker.begin_life();
        let ticking = worker.clone();
        thread::spawn(move || {
            let mut reported_at = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(10));
                ticking.tick();
                if reported_at.elapsed() >= Duration::from_millis(1500) {
                    reported_at = Instant::now();
                    ticking.report();
                }
            }
        });
        worker
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Cuts the runner off from the machines of the system, or ends the cut. It goes
    /// on running and reaches the store.
    pub fn set_cut(&self, is_cut: bool) {
        self.0.is_cut.store(is_cut, Ordering::SeqCst);
        let what = if is_cut {
            "is cut off"
        } else {
            "is reachable again"
        };
        self.0.record.write(&format!("runner {} {what}", self.id()));
    }

    /// Makes the runner refuse starts as an unhealthy one does, or take them again.
    pub fn set_unhealthy(&self, is_unhealthy: bool) {
        self.0.is_unhealthy.store(is_unhealthy, Ordering::SeqCst);
        let what = if is_unhealthy {
            "refuses starts"
        } else {
            "takes starts again"
        };
        self.0.record.write(&format!("runner {} {what}", self.id()));
    }

    /// Crashes the runner: all that it runs and knows is lost.
    pub fn crash(&self) {
        if let Some(server) = self.0.server.lock().expect("no panic").take() {
            server.close();
        }
        let mut life = self.lock();
        let now_ms = self.0.record.now_ms();
        if let Some(life) = life.take() {
            for (task, active) in life.running {
                self.leave_gang(&task, &active, "crashed");
                self.end_record(active.index, now_ms, "crashed");
            }
        }
        drop(life);
        self.0
            .record
            .write(&format!("runner {} crashes", self.id()));
    }

    /// Starts the crashed runner again under its identifier and address.
    pub fn restart(&self) {
        self.begin_life();
        let line = format!("runner {} starts again, same id", self.id());
        self.0.record.write(&line);
    }

    fn begin_life(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = unix.map_or(0, |unix| unix.as_millis() as u64);
        *self.lock() = Some(Life {
            begin: Instant::now(),
            born_ms,
            highest_token: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            ended_attempts: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 0,
            sequence: 0,
        });
        let answering = self.clone();
        let server = Server::start(self.0.address, move |request| answering.answer(request));
        *self.0.server.lock().expect("no panic") = Some(server);
        self.report();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.0.life.lock().expect("no writer panics")
    }

    fn end_record(&self, index: usize, now_ms: u64, how: &'static str) {
        let mut runs = self.0.runs.0.lock().expect("no writer panics");
        let run = &mut runs[index];
        run.end_ms = Some(now_ms);
        run.how = how;
        let line = format!(
            "run {} #{} ends {how} on {}",
            run.task, run.attempt, run.worker
        );
        self.0.record.write(&line);
    }

    /// Returns the entry of the machine in the platform's list.
    pub fn machine(&self) -> Json {
        let is_up = self.lock().is_some();
        Json::object(&[
            ("machine", Json::text(&self.0.machine)),
            ("pool", Json::text(&self.0.pool)),
            ("state", Json::text(if is_up { "up" } else { "down" })),
            ("zone", Json::text(&self.0.zone)),
            ("labels", self.labels()),
            ("capacity", capacity()),
            ("id", Json::text(&self.0.id)),
        ])
    }

    fn labels(&self) -> Json {
        let kind = if self.0.zone == "rvk" { "b" } else { "a" };
        Json::List(vec![Json::text(kind), Json::text(&self.0.rack)])
    }

    /// Writes the runner's entry in the store.
    fn report(&self) {
        let mut guard = self.lock();
        let Some(life) = guard.as_mut() else {
            return;
        };
        life.sequence += 1;
        let report = Json::object(&[
            ("service", Json::text(&self.0.pool)),
            ("address", Json::text(&self.0.address.to_string())),
            ("zone", Json::text(&self.0.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("coldRemainingMs", Json::number(0)),
            ("capacity", capacity()),
            ("labels", self.labels()),
            ("clockMs", Json::number(life.clock_ms())),
            ("sequence", Json::number(life.sequence)),
            ("born", Json::number(life.born_ms)),
        ]);
        drop(guard);
        self.0.store.put(&format!("servers/{}", self.0.id), &report);
    }

    /// Takes a member out of its gang; the others end with it.
    fn leave_gang(&self, task: &str, active: &Active, how: &'static str) {
        let Some(key) = &active.gang else {
            return;
        };
        let mut gangs = self.0.runs.1.lock().expect("no writer panics");
        if let Some(gang) = gangs.get_mut(key) {
            gang.present.remove(task);
            if gang.begun.is_some() && how != "done" {
                gang.over.get_or_insert("broken");
            }
        }
    }

    /// Returns how a member of a gang ends now, if it does, and its checkpoint.
    fn gang_state(&self, active: &Active) -> Option<(Option<&'static str>, String, u64)> {
        let mut gangs = self.0.runs.1.lock().expect("no writer panics");
        let gang = gangs.get_mut(active.gang.as_ref()?)?;
        if gang.begun.is_none() {
            let is_alone = active.begin.elapsed() >= GANG_TIMEOUT;
            return Some((is_alone.then_some("alone"), active.checkpoint.clone(), 0));
        }
        let whole_ms = (active.ends_at - active.begin).as_millis() as u64;
        if gang.over.is_none() && gang.progress_ms() >= whole_ms {
            gang.over = Some("done");
        }
        let percent = (gang.progress_ms() * 100 / whole_ms.max(1)).min(99);
        Some((gang.over, gang.checkpoint(), percent))
    }

    /// Ends the runs whose time is over, and all when the lease has lapsed.
    fn tick(&self) {
        let mut guard = self.lock();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let (now, now_ms) = (Instant::now(), life.clock_ms());
        let has_lapsed = now_ms >= life.lease_end_ms;
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, active) in &mut life.running {
            let passed = active.begin.elapsed().as_millis() as u64;
            let whole = (active.ends_at - active.begin).as_millis() as u64;
            active.percent = (passed * 100 / whole.max(1)).min(99);
            let member = self.gang_state(active);
            if let Some((_, checkpoint, percent)) = &member {
                active.checkpoint.clone_from(checkpoint);
                active.percent = *percent;
            }
            let how = if active.stops_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if let Some((over, _, _)) = member {
                match over {
                    Some(how) => how,
                    None if has_lapsed => "lapsed",
                    None => continue,
                }
            } else if now >= active.ends_at && active.fails {
                "failed"
            } else if now >= active.ends_at {
                "done"
            } else if has_lapsed {
                "lapsed"
            } else {
                continue;
            };
            over.push((task.clone(), how));
        }
        for (task, how) in over {
            let Some(active) = life.running.remove(&task) else {
                continue;
            };
            self.leave_gang(&task, &active, how);
            life.next_end += 1;
            let row = Json::List(vec![
                Json::number(life.next_end),
                Json::text(&task),
                Json::number(active.attempt),
                Json::text(how),
                Json::text(&active.checkpoint),
            ]);
            life.finished.push((life.next_end, row));
            life.ended_attempts.insert(task, active.attempt);
            self.end_record(active.index, self.0.record.now_ms(), how);
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.0.is_cut.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        let reply = self.carry_out(request);
        if self.0.is_cut.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        reply
    }

    /// Carries out a call, whenever it arrives.
    pub fn carry_out(&self, request: &Request) -> Reply {
        if request.expected != self.0.id {
            return Reply::Answer(421, Json::Object(Vec::new()));
        }
        let mut guard = self.lock();
        let Some(life) = guard.as_mut() else {
            return Reply::Close;
        };
        let refuse = |clock_ms: u64, reason: &str| {
            let fields = [
                ("clockMs", Json::number(clock_ms)),
                ("reason", Json::text(reason)),
            ];
            Reply::Answer(409, Json::object(&fields))
        };
        let body = &request.body;
        let token = body.get("fencingToken").as_u64().unwrap_or(0);
        if token < life.highest_token {
            return refuse(life.clock_ms(), "fence");
        }
        life.highest_token = token;
        let clock_ms = life.clock_ms();
        let deadline_ms = body.get("deadlineMs").as_u64().unwrap_or(0);
        let task = body.get("task").as_str().to_owned();
        let attempt = body.get("attempt").as_u64().unwrap_or(0);
        let lease_end_ms = deadline_ms.min(clock_ms + MAX_LEASE_MS);
        life.lease_end_ms = life.lease_end_ms.max(lease_end_ms);
        let clock = Json::object(&[("clockMs", Json::number(clock_ms))]);
        match request.path.as_str() {
            "/run-start" if self.0.is_unhealthy.load(Ordering::SeqCst) => {
                Reply::Answer(503, Json::Object(Vec::new()))
            }
            "/run-start" => {
                let running = life.running.get(&task).map(|active| active.attempt);
                if running == Some(attempt) {
                    return Reply::Answer(200, clock);
                }
                let ended = life.ended_attempts.get(&task).copied();
                if running.is_some() || ended.is_some_and(|ended| attempt <= ended) {
                    return refuse(clock_ms, "old");
                }
                if deadline_ms <= clock_ms {
                    return refuse(clock_ms, "late");
                }
                let spec = body.get("spec").as_str();
                let (ms, fails) = spec.split_once(' ').unwrap_or((spec, ""));
                let checkpoint = body.get("checkpoint").as_str().to_owned();
                let gang = fails.strip_prefix("gang ").and_then(|count| {
                    let step = task.rsplit_once('.')?.0;
                    let key = format!("{step} #{attempt} {checkpoint}");
                    let mut gangs = self.0.runs.1.lock().expect("no writer panics");
                    let gang = gangs.entry(key.clone()).or_insert(Gang {
                        count: count.parse().ok()?,
                        present: BTreeSet::new(),
                        begun: None,
                        from_ms: checkpoint.parse().unwrap_or(0),
                        over: None,
                    });
                    gang.present.insert(task.clone());
                    if gang.present.len() == gang.count {
                        gang.begun.get_or_insert(Instant::now());
                    }
                    Some(key)
                });
                let time = Duration::from_millis(ms.parse().unwrap_or(500));
                let run = Run {
                    task: task.clone(),
                    attempt,
                    worker: self.0.id.clone(),
                    begin_ms: self.0.record.now_ms(),
                    end_ms: None,
                    how: "",
                };
                let line = format!(
                    "run {task} #{attempt} begins on {} under token {token}, checkpoint \"{checkpoint}\"",
                    self.0.id
                );
                self.0.record.write(&line);
                let mut runs = self.0.runs.0.lock().expect("no writer panics");
                runs.push(run);
                let active = Active {
                    attempt,
                    begin: Instant::now(),
                    ends_at: Instant::now() + time,
                    fails: fails == "fails",
                    stops_at: None,
                    percent: 0,
                    gang,
                    checkpoint: checkpoint.clone(),
                    index: runs.len() - 1,
                };
                life.running.insert(task, active);
                Reply::Answer(200, clock)
            }
            "/run-stop" => {
                match life.running.get_mut(&task) {
                    Some(active) if active.attempt <= attempt => {
                        active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    _ => {
                        let ended = life.ended_attempts.entry(task).or_default();
                        *ended = attempt.max(*ended);
                    }
                }
                Reply::Answer(200, clock)
            }
            "/pace" => Reply::Answer(200, clock),
            "/hold" => {
                let seen = body.get("lastSeen").as_u64().unwrap_or(0);
                life.finished.retain(|(number, _)| *number > seen);
                drop(guard);
                self.status(body.get("waitMs").as_u64().unwrap_or(0))
            }
            _ => Reply::Answer(400, clock),
        }
    }

    /// Answers a status call when an end is listed or the wait is over.
    fn status(&self, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(2000));
        loop {
            let guard = self.lock();
            let Some(life) = guard.as_ref() else {
                return Reply::Close;
            };
            if life.finished.is_empty() && Instant::now() < until {
                drop(guard);
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let row = |(task, active): (&String, &Active)| {
                Json::List(vec![
                    Json::text(task),
                    Json::number(active.attempt),
                    Json::text(&active.checkpoint),
                    Json::number(active.percent),
                    Json::number(1000),
                ])
            };
            let finished = life.finished.iter().take(500);
            let fields = [
                ("clockMs", Json::number(life.clock_ms())),
                ("born", Json::number(life.born_ms)),
                (
                    "running",
                    Json::List(life.running.iter().map(row).collect()),
                ),
                (
                    "finished",
                    Json::List(finished.map(|(_, row)| row.clone()).collect()),
                ),
            ];
            return Reply::Answer(200, Json::object(&fields));
        }
    }
}

fn capacity() -> Json {
    Json::object(&[
        ("cpu", Json::number(CPU_MILLI)),
        ("memMb", Json::number(64_000)),
        ("gpu", Json::number(0)),
    ])
}
