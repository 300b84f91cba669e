//! Plays one case of the review: a small deployment of the project's daemons as
//! processes on loopback, with stand-ins for the platform, its runners and clients.
//!
//! `rig-3 CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod cases;
mod cloud;
mod fleet;
mod http;
mod runner;
mod store;

use std::{
    fs,
    path::PathBuf,
    process::exit,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

/// One run of a task on a runner.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub runner: String,
    pub service: String,
    pub task: String,
    pub attempt: u64,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// Time at which `lastSeen` reached the end.
    pub noted: Option<Duration>,
}

/// What was sent, answered and run.
pub struct Record {
    begin: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<RunRecord>>,
}

impl Record {
    fn new() -> Self {
        Self {
            begin: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let line = format!("{at:8.3} {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn started(&self, runner: &str, service: &str, task: &str, attempt: u64) {
        self.note(format!(
            "start  {task} run {attempt} on {runner} of {service}"
        ));
        self.runs.lock().unwrap().push(RunRecord {
            runner: runner.to_owned(),
            service: service.to_owned(),
            task: task.to_owned(),
            attempt,
            started: self.now(),
            ended: None,
            noted: None,
        });
    }

    pub fn ended(&self, runner: &str, task: &str, attempt: u64, how: &'static str) {
        self.note(format!("end    {task} run {attempt} on {runner}: {how}"));
        let at = self.now();
        self.with_run(runner, task, attempt, |run| run.ended = Some((at, how)));
    }

    pub fn noted(&self, runner: &str, task: &str, attempt: u64, how: &str) {
        self.note(format!("noted  {task} run {attempt} on {runner}: {how}"));
        let at = self.now();
        self.with_run(runner, task, attempt, |run| run.noted = Some(at));
    }

    fn with_run(
        &self,
        runner: &str,
        task: &str,
        attempt: u64,
        change: impl FnOnce(&mut RunRecord),
    ) {
        let mut runs = self.runs.lock().unwrap();
        let is_it = |run: &&mut RunRecord| {
            run.runner == runner && run.task == task && run.attempt == attempt
        };
        // The latest: a runner that comes back may run the same again.
        if let Some(run) = runs.iter_mut().rev().find(is_it) {
            change(run);
        }
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns what breaks the rule TWICE, for steps without `speculative`: two runs of a
    /// task at the same time, and starts after a run has ended `done`, if that end was
    /// taken note of then or later.
    pub fn twice(&self) -> Vec<String> {
        let runs = self.runs();
        let mut found = Vec::new();
        for (index, first) in runs.iter().enumerate() {
            for second in runs
                .iter()
                .skip(index + 1)
                .filter(|run| run.task == first.task)
            {
                let (a, b) = if first.started <= second.started {
                    (first, second)
                } else {
                    (second, first)
                };
                let pair = format!(
                    "{} run {} on {} and run {} on {}",
                    a.task, a.attempt, a.runner, b.attempt, b.runner
                );
                let is_over = a.ended.is_some_and(|(at, _)| at <= b.started);
                let is_done = a.ended.is_some_and(|(_, how)| how == "done");
                if !is_over {
                    let end = a.ended.map_or(self.now(), |(at, _)| at);
                    let end = b.ended.map_or(end, |(at, _)| end.min(at));
                    let together = end.saturating_sub(b.started).as_millis();
                    found.push(format!("at the same time for {together} ms: {pair}"));
                } else if is_done && a.noted.is_some() {
                    found.push(format!("again after a noted end: {pair}"));
                }
            }
        }
        found
    }
}

/// Result of a case: whether it could run, and what breaks the rule.
pub type Outcome = Result<Vec<String>, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = std::sync::Arc::new(Record::new());
    record.note(format!("case {case}, disruption: {has_trouble}"));
    let outcome = cases::play(case, has_trouble, &record);
    let status = match &outcome {
        Ok(found) if found.is_empty() => {
            record.note("result: the rule held");
            0
        }
        Ok(found) => {
            found
                .iter()
                .for_each(|text| record.note(format!("broken: {text}")));
            record.note("result: the rule was broken");
            1
        }
        Err(reason) => {
            record.note(format!("result: the case could not run: {reason}"));
            2
        }
    };
    let lines = record.lines.lock().unwrap().join("\n") + "\n";
    let file = PathBuf::from(folder).join("record.txt");
    if fs::write(&file, &lines).is_err() {
        eprintln!("cannot write {}", file.display());
        exit(2);
    }
    if let Some(last) = lines.lines().last() {
        println!("{last}");
    }
    exit(status);
}
