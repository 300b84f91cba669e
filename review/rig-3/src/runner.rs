//! Stand-in for a runner.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use serde_json::{
    json,
    Value, //
};

use crate::{
    http::{
        serve,
        Reply,
        Request, //
    },
    store::Store,
    Record, //
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_LEASE_MS: u64 = 10_000;

struct Run {
    task: String,
    attempt: u64,
    ends_at: Instant,
    begun_at: Instant,
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    running: Vec<Run>,
    /// Number, task, run, how.
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run that was stopped or has ended, by task.
    over: Vec<(String, u64)>,
    is_cut: bool,
    is_gone: bool,
    /// Whether the process is down after a crash.
    is_down: bool,
    /// Whether each connection is closed after its answer.
    closes: bool,
    /// Time for which the next start is held up on its way.
    held_start: Option<Duration>,
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub service: String,
    zone: String,
    cpu: u64,
    labels: Vec<String>,
    /// Start of the present process on the steady clock, and in Unix milliseconds.
    process: Mutex<(Instant, u64)>,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    address: Mutex<Option<SocketAddr>>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu,
            labels: vec!["a".to_owned(), format!("rack-{zone}")],
            process: Mutex::new((Instant::now(), unix_ms())),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            address: Mutex::default(),
        });
        let serving = runner.clone();
        let address = serve(move |request| serving.serve(request));
        *runner.address.lock().unwrap() = Some(address);
        let ending = runner.clone();
        thread::spawn(move || ending.end_runs());
        let (beating, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                if beating.state.lock().unwrap().is_gone {
                    store.remove(&format!("servers/{}", beating.id));
                    return;
                }
                // A runner that is cut off from the system still reaches the store.
                if !beating.state.lock().unwrap().is_down {
                    store.put(
                        &format!("servers/{}", beating.id),
                        beating.report(sequence).as_bytes(),
                    );
                }
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    fn report(&self, sequence: u64) -> String {
        let address = self
            .address
            .lock()
            .unwrap()
            .expect("set at the start")
            .to_string();
        json!({"service": self.service, "address": address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "born": self.process.lock().unwrap().1,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": self.labels,
            "clockMs": self.clock_ms(), "sequence": sequence})
        .to_string()
    }

    /// Returns the entry of a machine on which the runner runs.
    pub fn machine(&self, name: &str) -> Value {
        json!({"machine": name, "pool": self.service, "state": "up",
            "zone": self.zone, "labels": self.labels,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "id": self.id})
    }

    /// Ends for good, and with it all that runs here.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_gone = true;
        for run in std::mem::take(&mut state.running) {
            self.record.ended(&self.id, &run.task, run.attempt, "lost");
        }
        self.changed.notify_all();
    }

    /// Crashes, and starts again under the same id after a while: it holds and knows
    /// nothing of before.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        self.record.note(format!("crash  {}", self.id));
        {
            let mut state = self.state.lock().unwrap();
            for run in std::mem::take(&mut state.running) {
                self.record.ended(&self.id, &run.task, run.attempt, "lost");
            }
            *state = State {
                is_down: true,
                closes: state.closes,
                ..State::default()
            };
            self.changed.notify_all();
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            *runner.process.lock().unwrap() = (Instant::now(), unix_ms());
            runner.state.lock().unwrap().is_down = false;
            runner.record.note(format!("again  {} is back", runner.id));
        });
    }

    /// Closes each connection after its answer from now on.
    pub fn set_closes(&self) {
        self.state.lock().unwrap().closes = true;
    }

    /// Holds up the next start on its way for a time. It gets no answer, and is then
    /// carried out by the process that the runner has at that time.
    pub fn hold_next_start(&self, time: Duration) {
        self.state.lock().unwrap().held_start = Some(time);
    }

    /// Starts the next runner on the same machine.
    pub fn successor(&self, id: &str, store: &Arc<Store>) -> Arc<Self> {
        Self::start(id, &self.service, &self.zone, self.cpu, store, &self.record)
    }

    fn clock_ms(&self) -> u64 {
        let begin = self.process.lock().unwrap().0;
        begin.elapsed().as_millis() as u64 + 1000
    }

    /// Cuts the runner off from the system, or ends that. What it runs goes on.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.lock().unwrap().is_cut = is_cut;
        self.changed.notify_all();
    }

    pub fn runs(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Holds up a call or an answer while the runner is cut off; what a partition holds
    /// up is lost, as its sender resets the connection.
    fn is_lost(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let was_cut = state.is_cut;
        while state.is_cut && !state.is_gone {
            state = self.changed.wait(state).unwrap();
        }
        was_cut || state.is_gone || state.is_down
    }

    fn serve(self: &Arc<Self>, request: &Request) -> Reply {
        if request.path == "/run-start" {
            let held = self.state.lock().unwrap().held_start.take();
            if let Some(time) = held {
                return self.hold_up(request, time);
            }
        }
        if self.is_lost() {
            return Reply::Close;
        }
        let process = *self.process.lock().unwrap();
        let (status, mut body) = self.answer(request);
        let is_other = process != *self.process.lock().unwrap();
        if self.is_lost() || is_other {
            return Reply::Close;
        }
        body["clockMs"] = json!(self.clock_ms());
        body["born"] = json!(process.1);
        if self.state.lock().unwrap().closes {
            Reply::Last(status, body.to_string())
        } else {
            Reply::Json(status, body.to_string())
        }
    }

    fn hold_up(self: &Arc<Self>, request: &Request, time: Duration) -> Reply {
        self.record
            .note(format!("a start for {} is held up", self.id));
        let (runner, held) = (self.clone(), request.clone());
        thread::spawn(move || {
            thread::sleep(time);
            let id = &runner.id;
            if runner.is_lost() {
                runner.record.note(format!("the start for {id} is lost"));
                return;
            }
            runner.record.note(format!("the start arrives at {id}"));
            let (status, body) = runner.answer(&held);
            runner
                .record
                .note(format!("{id} answers it {status} {body}"));
        });
        // The caller gives up before.
        thread::sleep(Duration::from_secs(2));
        Reply::Close
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        if request.path == "/healthz" {
            return (200, json!({}));
        }
        let expected = request.header("dotterelsill-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            return (421, json!({}));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return (400, json!({}));
        };
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            return (409, json!({"reason": "fence"}));
        }
        state.fence = token;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, &body, task, attempt),
            "/run-stop" => {
                let now = Instant::now();
                let of_task = |run: &&mut Run| run.task == task && run.attempt <= attempt;
                for run in state.running.iter_mut().filter(of_task) {
                    run.stops_at.get_or_insert(now + Duration::from_millis(50));
                }
                state.over.push((task, attempt));
                (200, json!({}))
            }
            "/hold" => self.hold(state, &body),
            "/pace" => (200, json!({})),
            _ => (404, json!({})),
        }
    }

    fn extend(&self, state: &mut State, body: &Value) {
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let most = self.clock_ms() + MAX_LEASE_MS;
            state.lease_until_ms = state.lease_until_ms.max(deadline.min(most));
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        body: &Value,
        task: String,
        attempt: u64,
    ) -> (u16, Value) {
        let is_it = |run: &Run| run.task == task && run.attempt == attempt;
        if state.running.iter().any(is_it) {
            self.extend(state, body);
            return (200, json!({}));
        }
        let is_over = |(other, run): &(String, u64)| *other == task && *run >= attempt;
        let is_old = state.over.iter().any(is_over);
        self.extend(state, body);
        if is_old || state.running.iter().any(|run| run.task == task) {
            return (409, json!({"reason": "old"}));
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock_ms() {
            return (409, json!({"reason": "late"}));
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let work_ms = spec.strip_prefix("work ").and_then(|ms| ms.parse().ok());
        let now = Instant::now();
        self.record.started(&self.id, &self.service, &task, attempt);
        state.running.push(Run {
            task,
            attempt,
            begun_at: now,
            ends_at: now + Duration::from_millis(work_ms.unwrap_or(1000)),
            stops_at: None,
        });
        (200, json!({}))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> (u16, Value) {
        self.extend(&mut state, body);
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        for (_, task, attempt, how) in state.finished.iter().filter(|row| row.0 <= last_seen) {
            self.record.noted(&self.id, task, *attempt, how);
        }
        state.finished.retain(|row| row.0 > last_seen);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.finished.is_empty()
                || left.is_zero()
                || state.is_cut
                || state.is_gone
                || state.is_down
            {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let percent = |run: &Run| {
            let whole = run.ends_at.duration_since(run.begun_at).as_millis().max(1);
            (run.begun_at.elapsed().as_millis() * 100 / whole).min(99) as u64
        };
        let running = state.running.iter();
        let running: Vec<Value> = running
            .map(|run| json!([run.task, run.attempt, "", percent(run), 500]))
            .collect();
        let finished = state.finished.iter().take(500);
        let finished: Vec<Value> = finished
            .map(|(number, task, attempt, how)| json!([number, task, attempt, how, ""]))
            .collect();
        (200, json!({"running": running, "finished": finished}))
    }

    /// Ends runs that are done, stopped or without a lease, until the process ends.
    fn end_runs(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            let has_lapsed = self.clock_ms() > state.lease_until_ms;
            let how_of = |run: &Run| {
                if run.stops_at.is_some_and(|at| now >= at) {
                    Some("stopped")
                } else if now >= run.ends_at {
                    Some("done")
                } else {
                    has_lapsed.then_some("lapsed")
                }
            };
            let mut index = 0;
            while index < state.running.len() {
                match how_of(&state.running[index]) {
                    Some(how) => {
                        let run = state.running.remove(index);
                        self.record.ended(&self.id, &run.task, run.attempt, how);
                        state.next_end += 1;
                        let number = state.next_end;
                        state.over.push((run.task.clone(), run.attempt));
                        state.finished.push((number, run.task, run.attempt, how));
                        self.changed.notify_all();
                    }
                    None => index += 1,
                }
            }
        }
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
