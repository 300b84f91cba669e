//! A runner of the platform: runs tasks under a lease, and may crash and start again
//! under its id.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime, //
    }, //
};

use crate::{
    http::{
        self,
        Answer,
        Request,
        Server, //
    },
    json::{
        quoted,
        Json, //
    },
    record::Record,
    store::Store, //
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
pub const HOLD_MAX_MS: u64 = 10_000;

/// A run as it was seen by its runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub labels: Vec<String>,
    pub task: String,
    pub attempt: u64,
    pub begin: Instant,
    /// `None` while it runs.
    pub end: Option<Instant>,
    pub how: &'static str,
    /// Whether the end was taken note of.
    pub is_noted: bool,
}

struct Active {
    attempt: u64,
    ends_at: Instant,
    /// Place in the list of all runs.
    run: usize,
}

struct Ended {
    run: usize,
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// What one life knows.
struct Life {
    born_ms: u64,
    begin: Instant,
    token: u64,
    lease_ms: u64,
    active: BTreeMap<String, Active>,
    ended: Vec<Ended>,
    ends: u64,
    /// Highest attempt that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    is_up: bool,
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    pub zone: String,
    pub service: String,
    pub labels: Mutex<Vec<String>>,
    pub cpu: u64,
    /// Address at which it listens, and address that it registers.
    pub address: SocketAddr,
    registered: SocketAddr,
    /// Time from a start again to the first report.
    report_delay: Mutex<Duration>,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    store: Arc<Store>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Life {
    fn new() -> Self {
        Self {
            born_ms: unix_ms(),
            begin: Instant::now(),
            token: 0,
            lease_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
            is_up: true,
        }
    }

    fn clock_ms(&self) -> u64 {
        1000 + self.begin.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_ms = self.lease_ms.max(deadline_ms.min(longest));
    }
}

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        machine: &str,
        zone: &str,
        service: &str,
        labels: &[&str],
        address: SocketAddr,
        registered: SocketAddr,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            labels: Mutex::new(labels.iter().map(|label| (*label).to_owned()).collect()),
            cpu: 16_000,
            address,
            registered,
            report_delay: Mutex::default(),
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            runs: runs.clone(),
            record: record.clone(),
            store: store.clone(),
        });
        let serving = runner.clone();
        let server = Server::start(address, move |request| serving.answer(request));
        *runner.server.lock().expect("lock") = Some(server);
        let ticking = runner.clone();
        thread::spawn(move || ticking.tick());
        let beating = runner.clone();
        thread::spawn(move || beating.beat());
        runner
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("lock")
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    /// Ends the process of the runner: nothing runs, and its connections are closed.
    pub fn crash(&self) {
        let mut life = self.lock();
        life.is_up = false;
        let mut runs = self.runs.lock().expect("lock");
        for active in std::mem::take(&mut life.active).into_values() {
            runs[active.run].end = Some(Instant::now());
            runs[active.run].how = "crashed";
        }
        drop((runs, life));
        self.record.add(format!("runner {} crashes", self.id));
        if let Some(server) = self.server.lock().expect("lock").take() {
            server.stop();
        }
        self.changed.notify_all();
    }

    /// Starts the runner again under its id, knowing nothing of before. Its first report
    /// follows after a delay.
    pub fn restart(self: &Arc<Self>, labels: Option<&[&str]>, report_delay: Duration) {
        self.restart_slowly(labels, report_delay, Duration::ZERO);
    }

    /// Does the same with a runner that serves some time after it has begun to listen.
    pub fn restart_slowly(
        self: &Arc<Self>,
        labels: Option<&[&str]>,
        report_delay: Duration,
        start_time: Duration,
    ) {
        *self.report_delay.lock().expect("lock") = report_delay;
        let listener = http::bind(self.address);
        if !start_time.is_zero() {
            self.record
                .add(format!("runner {} listens again and starts up", self.id));
            thread::sleep(start_time);
        }
        if let Some(labels) = labels {
            *self.labels.lock().expect("lock") =
                labels.iter().map(|label| (*label).to_owned()).collect();
        }
        *self.lock() = Life::new();
        let serving = self.clone();
        let server = Server::start_on(listener, move |request| serving.answer(request));
        *self.server.lock().expect("lock") = Some(server);
        let labels = self.labels.lock().expect("lock").clone();
        self.record.add(format!(
            "runner {} has started again under its id, labels {labels:?}",
            self.id
        ));
    }

    fn beat(self: Arc<Self>) {
        let mut sequence = 0;
        let mut born_ms = 0;
        loop {
            let life_born_ms = {
                let life = self.lock();
                if life.is_up {
                    life.born_ms
                } else {
                    0
                }
            };
            if life_born_ms != born_ms {
                sequence = 0;
                born_ms = life_born_ms;
            }
            if life_born_ms != 0 {
                if sequence == 0 {
                    let delay = *self.report_delay.lock().expect("lock");
                    thread::sleep(delay);
                }
                sequence += 1;
                self.register(sequence, life_born_ms);
            }
            // Looked at often, so that a new life registers at once.
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(5));
                let life = self.lock();
                let now_born_ms = if life.is_up { life.born_ms } else { 0 };
                if now_born_ms != born_ms {
                    break;
                }
            }
        }
    }

    fn register(&self, sequence: u64, born_ms: u64) {
        let labels = self.labels_json();
        let registered = self.registered;
        let value = format!(
            r#"{{"service":"{}","address":"{registered}","zone":"{}","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{},"labels":{labels},"clockMs":{},"sequence":{sequence},"born":{born_ms}}}"#,
            self.service,
            self.zone,
            self.capacity_json(),
            self.lock().clock_ms(),
        );
        self.store.put(&format!("servers/{}", self.id), &value);
    }

    fn labels_json(&self) -> String {
        let labels = self.labels.lock().expect("lock");
        let labels: Vec<String> = labels.iter().map(|label| quoted(label)).collect();
        format!("[{}]", labels.join(","))
    }

    fn capacity_json(&self) -> String {
        format!(r#"{{"cpu":{},"memMb":32768,"gpu":0}}"#, self.cpu)
    }

    /// Returns the entry of the list of machines.
    pub fn machine_json(&self) -> String {
        let is_up = self.is_up();
        format!(
            r#"{{"machine":"{}","pool":"{}","state":"{}","zone":"{}","labels":{},"capacity":{},"id":"{}"}}"#,
            self.machine,
            self.service,
            if is_up { "up" } else { "down" },
            self.zone,
            self.labels_json(),
            self.capacity_json(),
            if is_up { &self.id } else { "" },
        )
    }

    /// Ends runs that are done, or all once the lease has ended.
    fn tick(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut life = self.lock();
            let has_lapsed = life.clock_ms() > life.lease_ms;
            let now = Instant::now();
            let ended: Vec<String> = life
                .active
                .iter()
                .filter(|(_, active)| has_lapsed || active.ends_at <= now)
                .map(|(task, _)| task.clone())
                .collect();
            for task in &ended {
                let is_done = life.active[task].ends_at <= now;
                self.end(&mut life, task, if is_done { "done" } else { "lapsed" });
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(active) = life.active.remove(task) else {
            return;
        };
        let mut runs = self.runs.lock().expect("lock");
        runs[active.run].end = Some(Instant::now());
        runs[active.run].how = how;
        drop(runs);
        life.ends += 1;
        life.ended.push(Ended {
            run: active.run,
            number: life.ends,
            task: task.to_owned(),
            attempt: active.attempt,
            how,
        });
        life.closed.insert(task.to_owned(), active.attempt);
        self.record.add(format!(
            "runner {}: run {task} attempt {} ends {how}",
            self.id, active.attempt
        ));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header("dotterelsill-expected-instance") != self.id {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut life = self.lock();
        if !life.is_up {
            return (0, String::new());
        }
        let token = body.get("fencingToken").number();
        if token < life.token {
            return refusal(&life, "fence");
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut life, &body),
            "/run-stop" => {
                let task = body.get("task").text();
                let attempt = body.get("attempt").number();
                self.record
                    .add(format!("runner {}: stop {task} attempt {attempt}", self.id));
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = attempt.max(*closed);
                if life.active.get(task).is_some_and(|a| a.attempt == attempt) {
                    self.end(&mut life, task, "stopped");
                }
                clock(&life)
            }
            "/pace" => clock(&life),
            "/hold" => self.hold(life, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> Answer {
        let task = body.get("task").text();
        let attempt = body.get("attempt").number();
        let deadline_ms = body.get("deadlineMs").number();
        if deadline_ms <= life.clock_ms() {
            return refusal(life, "late");
        }
        life.extend(deadline_ms);
        if life
            .closed
            .get(task)
            .is_some_and(|closed| attempt <= *closed)
        {
            return refusal(life, "old");
        }
        if let Some(active) = life.active.get(task) {
            let reason = if active.attempt == attempt { "" } else { "old" };
            return if reason.is_empty() {
                clock(life)
            } else {
                refusal(life, reason)
            };
        }
        // The text of a job is the time that each of its tasks takes.
        let work_ms = body.get("spec").text().parse().unwrap_or(500);
        let begin = Instant::now();
        let mut runs = self.runs.lock().expect("lock");
        runs.push(Run {
            runner: self.id.clone(),
            labels: self.labels.lock().expect("lock").clone(),
            task: task.to_owned(),
            attempt,
            begin,
            end: None,
            how: "",
            is_noted: false,
        });
        let active = Active {
            attempt,
            ends_at: begin + Duration::from_millis(work_ms),
            run: runs.len() - 1,
        };
        drop(runs);
        life.active.insert(task.to_owned(), active);
        self.record.add(format!(
            "runner {}: run {task} attempt {attempt} begins, token {}",
            self.id, life.token
        ));
        clock(life)
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, body: &Json) -> Answer {
        let born_ms = life.born_ms;
        let has_lapsed = life.clock_ms() > life.lease_ms;
        if body.get("deadlineMs") != &Json::Null {
            life.extend(body.get("deadlineMs").number());
        }
        let seen = body.get("lastSeen").number();
        let mut runs = self.runs.lock().expect("lock");
        for ended in life.ended.iter().filter(|ended| ended.number <= seen) {
            // An end is not noted if the lease has lapsed since.
            runs[ended.run].is_noted = !has_lapsed;
        }
        drop(runs);
        life.ended.retain(|ended| ended.number > seen);
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").number().min(2000));
        while life.ended.is_empty() && life.is_up && life.born_ms == born_ms {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).expect("lock").0;
        }
        if !life.is_up || life.born_ms != born_ms {
            return (0, String::new());
        }
        let running: Vec<String> = life
            .active
            .iter()
            .map(|(task, active)| format!(r#"["{task}",{},"",50,500]"#, active.attempt))
            .collect();
        let finished: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|e| {
                format!(
                    r#"[{},"{}",{},"{}",""]"#,
                    e.number, e.task, e.attempt, e.how
                )
            })
            .collect();
        let body = format!(
            r#"{{"clockMs":{},"born":{born_ms},"running":[{}],"finished":[{}]}}"#,
            life.clock_ms(),
            running.join(","),
            finished.join(",")
        );
        (200, body)
    }
}

fn clock(life: &Life) -> Answer {
    (200, format!(r#"{{"clockMs":{}}}"#, life.clock_ms()))
}

fn refusal(life: &Life, reason: &str) -> Answer {
    let clock_ms = life.clock_ms();
    (
        409,
        format!(r#"{{"clockMs":{clock_ms},"reason":"{reason}"}}"#),
    )
}
