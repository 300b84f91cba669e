//! The cases.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    fleet::{
        configuration,
        free,
        Fleet,
        HOST,
        KEY,
        OPEN_QUEUE,
        QUEUE, //
    },
    http,
    proxy::{
        self,
        Holder, //
    },
    record::Record,
    runner::Run, //
};

/// What broke the rule, if anything did, or why the case could not run.
pub type Verdict = Result<Option<String>, String>;

const START_LIMIT: Duration = Duration::from_secs(20);

/// Identifier of the first job, which shows that the deployment serves.
const FIRST_JOB: &str = "00000000000000aa";

/// Machines of the system, memory of a process on them (`memoryMb`), jobs of the traffic
/// of the site file, and hours before, in the case of old jobs.
const NODES: usize = 3;
const MEMORY_MB: u64 = 260;
const JOBS_PER_10_S: u64 = 135;
const HOURS: u64 = 8;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn job(work_ms: u64, count: u32, cpu: u32, more: &str) -> String {
    format!(
        r#"{{"spec":"{work_ms}","steps":[{{"count":{count},"cpu":{cpu},"memMb":256,"estimatedMs":{work_ms}{more}}}]}}"#
    )
}

/// Returns a job of two steps, of two tasks each.
fn two_steps(work_ms: u64) -> String {
    let step = format!(r#""count":2,"cpu":500,"memMb":256,"estimatedMs":{work_ms}"#);
    format!(r#"{{"spec":"{work_ms}","steps":[{{{step}}},{{{step},"after":[0]}}]}}"#)
}

/// Starts the machines of the system and waits until a first job is done.
fn start_nodes(fleet: &mut Fleet, count: usize) -> Result<(), String> {
    fleet.store.put("op/config", &configuration(7, &[KEY]));
    (0..count).for_each(|_| fleet.add_node());
    let path = format!("{QUEUE}{FIRST_JOB}");
    if !fleet.submit(&path, KEY, &job(100, 1, 500, ""), START_LIMIT)
        || !fleet.wait_for(&path, KEY, "completed", START_LIMIT)
    {
        return Err("the deployment does not serve".to_owned());
    }
    sleep_ms(500);
    Ok(())
}

/// TWICE: returns two runs of one task that were active at the same time, or a run that
/// began after one of the same task had ended done.
fn twice(runs: &[Run]) -> Option<String> {
    let now = Instant::now();
    for (number, first) in runs.iter().enumerate() {
        for second in &runs[number + 1..] {
            if first.task != second.task {
                continue;
            }
            let (first, second) = if first.begin <= second.begin {
                (first, second)
            } else {
                (second, first)
            };
            let first_end = first.end.unwrap_or(now);
            if second.begin < first_end {
                let both = first_end.min(second.end.unwrap_or(now)) - second.begin;
                return Some(format!(
                    "task {} ran twice at the same time for {} ms: attempt {} on runner {}, \
                     attempt {} on runner {}",
                    first.task,
                    both.as_millis(),
                    first.attempt,
                    first.runner,
                    second.attempt,
                    second.runner
                ));
            }
            if first.how == "done" && first.is_noted {
                return Some(format!(
                    "task {} began again as attempt {} on runner {} after attempt {} had \
                     ended done on runner {}",
                    first.task, second.attempt, second.runner, first.attempt, first.runner
                ));
            }
        }
    }
    None
}

/// A start gets no answer and is carried out 4 s later; meanwhile its runner crashes and
/// starts again under its id.
pub fn late_start(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    let holder = Holder::new(false);
    for number in 1..=3 {
        let address = free("127.0.0.1");
        let registered = proxy::start(free("127.0.0.1"), address, &holder);
        fleet.add_runner_at(number, &["a", "r-1"], address, registered);
    }
    start_nodes(&mut fleet, 2)?;
    // A runner that has had no order: the connection for its orders is opened for the
    // start that is held.
    let used = fleet.runs.lock().expect("lock")[0].runner.clone();
    record.add(format!("the first job ran on {used}"));
    if has_trouble {
        holder.arm();
    }
    let path = format!("{QUEUE}00000000000000bb");
    if !fleet.submit(
        &path,
        KEY,
        &job(6000, 2, 1000, r#","antiAffinity":1"#),
        START_LIMIT,
    ) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        let Some(address) = holder.wait(Duration::from_secs(5)) else {
            return Err("no start was sent".to_owned());
        };
        let runners = fleet.runners.lock().expect("lock").clone();
        let runner = runners.iter().find(|runner| runner.address == address);
        let runner = runner.ok_or("the start is for no runner")?;
        record.add(format!("a start to runner {} is held", runner.id));
        sleep_ms(300);
        runner.crash();
        sleep_ms(2500);
        runner.restart(None, Duration::ZERO);
        sleep_ms(1200);
        record.add("the start is delivered");
        holder.deliver();
    }
    let is_done = fleet.wait_for(&path, KEY, "completed", Duration::from_secs(30));
    record.add(format!("the job is completed: {is_done}"));
    let runs = fleet.runs.lock().expect("lock").clone();
    Ok(twice(&runs))
}

/// Time from the start of a runner to its first report, within `heartbeatMs` (1,500).
const FIRST_REPORT: Duration = Duration::from_millis(1000);

/// A runner crashes and starts again under its id as one of another kind.
pub fn other_kind(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    let kinds = ["a", "a", "b", "b"];
    let runners: Vec<_> = (1..)
        .zip(kinds)
        .map(|(number, kind)| fleet.add_runner(number, &[kind, "r-1"]))
        .collect();
    start_nodes(&mut fleet, 2)?;
    let body = job(400, 2, 7000, r#","requirements":"b""#);
    for number in 0..60_u64 {
        if number == 20 && has_trouble {
            runners[2].crash();
            sleep_ms(400);
            runners[2].restart(Some(&["a", "r-1"]), FIRST_REPORT);
        }
        let path = format!("{QUEUE}{:016x}", 0x1000 + number);
        fleet.call(0, "POST", &path, KEY, &body);
        sleep_ms(100);
    }
    sleep_ms(5000);
    let runs = fleet.runs.lock().expect("lock").clone();
    let is_wrong = |run: &&Run| {
        let is_required = run.task.starts_with("0000000000001");
        is_required && !run.labels.iter().any(|label| label == "b")
    };
    let wrong: Vec<&Run> = runs.iter().filter(is_wrong).collect();
    Ok(wrong.first().map(|run| {
        format!(
            "{} tasks that require kind b began on a runner of kind a, such as {} on {}",
            wrong.len(),
            run.task,
            run.runner
        )
    }))
}

/// A key is taken away, and used again on a queue that is anonymous.
pub fn withdrawn_key(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    fleet.add_runner(1, &["a", "r-1"]);
    fleet.add_runner(2, &["a", "r-1"]);
    start_nodes(&mut fleet, 2)?;
    let version = if has_trouble {
        configuration(9, &["another-key"])
    } else {
        configuration(9, &[KEY, "another-key"])
    };
    fleet.store.put("op/config", &version);
    record.add("operator: version 9 is acknowledged");
    // configApplyMs is 2,000.
    sleep_ms(4000);
    let mut broken = Vec::new();
    for number in 0..2 {
        let path = format!("{OPEN_QUEUE}{:016x}", 0xc0 + number);
        let answer = fleet.call(number, "POST", &path, KEY, &job(2000, 4, 1500, ""));
        let is_served = matches!(answer, Some((200, _)));
        if is_served && has_trouble {
            broken.push(path);
        } else if !is_served && !has_trouble {
            return Err("the valid key is refused".to_owned());
        }
    }
    sleep_ms(3000);
    let runs = fleet.runs.lock().expect("lock").len();
    Ok((!broken.is_empty()).then(|| {
        format!("{broken:?} were answered 200 with a key that was taken away; {runs} runs")
    }))
}

/// The settings files change and each process gets SIGHUP: the store has another address.
pub fn moved_store(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    fleet.add_runner(1, &["a", "r-1"]);
    fleet.add_runner(2, &["a", "r-1"]);
    start_nodes(&mut fleet, 2)?;
    let store = fleet.store.clone();
    let second = store.serve(free("127.0.0.1"));
    let path = format!("{QUEUE}00000000000000bb");
    if !fleet.submit(&path, KEY, &two_steps(4000), START_LIMIT) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        fleet.store_address = second.address;
        for number in 0..2 {
            fleet.write_settings(number);
            fleet.reload_node(number);
        }
        record.add("the settings name another address of the store; SIGHUP");
        sleep_ms(5000);
        if let Some(first) = fleet.store_server.take() {
            first.stop();
        }
        record.add("the store no longer listens at the old address");
    }
    sleep_ms(10_000);
    let is_done = fleet.wait_for(&path, KEY, "completed", Duration::from_secs(30));
    Ok((!is_done).then(|| "an accepted job gets no answer and is not completed".to_owned()))
}

/// Jobs that have ended remain in the store; then the scheduler is killed.
pub fn old_jobs(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    fleet.add_runner(1, &["a", "r-1"]);
    fleet.add_runner(2, &["a", "r-1"]);
    start_nodes(&mut fleet, NODES)?;
    // What the system has left in the store of the first job, once for each job of the
    // hours before.
    let left = fleet.store.items("");
    let left = left.into_iter().find(|(key, _)| key.ends_with(FIRST_JOB));
    record.add(format!("the first job has ended and left {left:?}"));
    if let Some((key, value)) = left {
        let prefix = key.trim_end_matches(FIRST_JOB);
        let mut id = 1_u64;
        let count = HOURS * 3600 * JOBS_PER_10_S / 10;
        let items = (0..count).map(|_| {
            // Any identifiers that do not repeat.
            id = id
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (format!("{prefix}{id:016x}"), value.clone())
        });
        record.add(format!("so have {} jobs of the last {HOURS} h", count));
        fleet.store.put_encoded(items);
    }
    let path = format!("{QUEUE}00000000000000bb");
    if !fleet.submit(&path, KEY, &two_steps(3000), START_LIMIT) {
        return Err("the job was not accepted".to_owned());
    }
    let mut restart_at: Vec<Option<Instant>> = vec![None; NODES];
    if has_trouble {
        let leader = fleet.leader().ok_or("no node schedules")?;
        fleet.kill_node(leader);
        restart_at[leader] = Some(Instant::now() + Duration::from_secs(2));
    }
    let is_done = Arc::new(AtomicBool::new(false));
    ask_until_done(&fleet, &path, &is_done);
    let until = Instant::now() + Duration::from_secs(60);
    let mut ends = [0; NODES];
    let mut most_kib = 0;
    while Instant::now() < until && !is_done.load(Ordering::SeqCst) {
        for number in 0..NODES {
            if restart_at[number].is_some_and(|at| at <= Instant::now()) {
                restart_at[number] = None;
                fleet.start_node(number);
            }
            let used_kib = memory_kib(fleet.pid(number));
            most_kib = most_kib.max(used_kib);
            if used_kib > MEMORY_MB * 1024 {
                // The platform kills a process that exceeds `memoryMb`, and starts it again.
                let name = &fleet.nodes[number].name;
                record.add(format!("{name} uses {used_kib} KiB: it exceeds memoryMb"));
                fleet.kill_node(number);
                ends[number] += 1;
                restart_at[number] = Some(Instant::now() + Duration::from_secs(1));
            }
        }
        sleep_ms(5);
    }
    let is_done = is_done.load(Ordering::SeqCst);
    record.add(format!(
        "most memory of a process: {most_kib} KiB; processes that exceeded it, by machine: \
         {ends:?}; the accepted job is completed: {is_done}"
    ));
    let machines = ends.iter().filter(|ends| **ends >= 3).count();
    Ok((machines >= 2).then(|| {
        format!(
            "processes ended by themselves, by machine {ends:?}; an accepted job of 6 s is \
             completed: {is_done}"
        )
    }))
}

/// Asks the machines of the system in turn, until a job is completed.
fn ask_until_done(fleet: &Fleet, path: &str, is_done: &Arc<AtomicBool>) {
    let callers: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
    let (record, path, is_done) = (fleet.record.clone(), path.to_owned(), is_done.clone());
    thread::spawn(move || {
        for address in callers.iter().cycle() {
            thread::sleep(Duration::from_secs(1));
            let headers = [("Host", HOST), ("Dotterelsill-Credential", KEY)];
            let limit = Duration::from_secs(3);
            let answer = http::call(*address, "GET", &path, &headers, "", limit);
            record.add(format!("client: GET {path} to {address}: {answer:?}"));
            if answer.is_some_and(|(_, body)| body.contains("completed")) {
                is_done.store(true, Ordering::SeqCst);
                return;
            }
        }
    });
}

/// Returns the most memory that a process has used.
fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Random faults; not a case.
pub fn soak(record: &Record, seed: u64) -> Verdict {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = move |below: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) % below
    };
    let mut fleet = Fleet::start(record);
    let holder = Holder::new(false);
    for number in 1..=6 {
        let address = free("127.0.0.1");
        let registered = proxy::start(free("127.0.0.1"), address, &holder);
        fleet.add_runner_at(number, &["a", "r-1"], address, registered);
    }
    start_nodes(&mut fleet, 3)?;
    let seconds: u64 = std::env::var("SECONDS_")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(60);
    let kinds = std::env::var("KINDS").unwrap_or_else(|_| "ckfslbr".to_owned());
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut due: Vec<(Instant, char, usize)> = Vec::new();
    let mut next_fault = Instant::now() + Duration::from_secs(1);
    let mut next_job = Instant::now();
    let mut paths = Vec::new();
    let mut number = 0_u64;
    while Instant::now() < until || !due.is_empty() {
        let now = Instant::now();
        if now >= next_job && now < until {
            next_job = now + Duration::from_millis(100 + draw(200));
            number += 1;
            let path = format!("{QUEUE}{:016x}", 0x1000 + number);
            let body = format!(
                r#"{{"spec":"{}","steps":[{{"count":{},"cpu":1500,"memMb":256,"estimatedMs":500}},{{"count":2,"cpu":1500,"memMb":256,"estimatedMs":500,"after":[0]}}]}}"#,
                50 + draw(1500),
                1 + draw(4)
            );
            let to = draw(3) as usize;
            if let Some((200, _)) = fleet.call(to, "POST", &path, KEY, &body) {
                paths.push(path);
            }
        }
        if now >= next_fault && now < until {
            next_fault = now + Duration::from_millis(300 + draw(2500));
            let kind = kinds.as_bytes()[draw(kinds.len() as u64) as usize] as char;
            let later = |ms: u64| now + Duration::from_millis(ms);
            match kind {
                'c' => {
                    let which = draw(6) as usize;
                    let runner = fleet.runners.lock().expect("lock")[which].clone();
                    if runner.is_up() && !due.iter().any(|(_, k, w)| *k == 'c' && *w == which) {
                        runner.crash();
                        due.push((later(50 + draw(3000)), 'c', which));
                    }
                }
                'k' => {
                    let which = fleet.leader().unwrap_or(draw(3) as usize);
                    if due
                        .iter()
                        .all(|(_, k, w)| !("kf".contains(*k) && *w == which))
                    {
                        fleet.kill_node(which);
                        due.push((later(500 + draw(2000)), 'k', which));
                    }
                }
                'f' => {
                    let which = fleet.leader().unwrap_or(draw(3) as usize);
                    if due
                        .iter()
                        .all(|(_, k, w)| !("kf".contains(*k) && *w == which))
                    {
                        fleet.freeze_node(which);
                        due.push((later(300 + draw(5000)), 'f', which));
                    }
                }
                's' | 'l' | 'b' => {
                    if due.iter().all(|(_, k, _)| *k != 's') {
                        let fault = match kind {
                            's' => crate::store::Fault::Silent,
                            'l' => crate::store::Fault::Late,
                            _ => crate::store::Fault::Busy,
                        };
                        *fleet.store.fault.lock().expect("lock") = fault;
                        record.add(format!("the store fails: {fault:?}"));
                        due.push((later(200 + draw(3500)), 's', 0));
                    }
                }
                _ => {
                    if due.iter().all(|(_, k, _)| *k != 'r') {
                        holder.arm();
                        due.push((later(2000 + draw(4000)), 'r', 0));
                    }
                }
            }
        }
        let (ready, left): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _, _)| *at <= now);
        due = left;
        for (_, kind, which) in ready {
            match kind {
                'c' => {
                    let runner = fleet.runners.lock().expect("lock")[which].clone();
                    runner.restart(None, Duration::ZERO);
                }
                'k' => fleet.start_node(which),
                'f' => fleet.thaw_node(which),
                's' => {
                    *fleet.store.fault.lock().expect("lock") = crate::store::Fault::None;
                    record.add("the store is back");
                }
                _ => {
                    holder.deliver();
                    record.add("what was held is delivered");
                }
            }
        }
        sleep_ms(5);
    }
    sleep_ms(14_000);
    let mut unfinished = Vec::new();
    for path in &paths {
        let answer = (0..3).find_map(|n| fleet.call(n, "GET", path, KEY, ""));
        if !matches!(&answer, Some((200, body)) if body.contains("completed")) {
            unfinished.push(format!("{path} {answer:?}"));
        }
    }
    let ends: Vec<String> = (0..3).filter_map(|n| fleet.ended(n)).collect();
    let runs = fleet.runs.lock().expect("lock").clone();
    let twice = twice(&runs);
    let summary = format!(
        "{} jobs, {} runs, ended {ends:?}, unfinished {unfinished:?}, twice {twice:?}",
        paths.len(),
        runs.len()
    );
    record.add(&summary);
    println!("seed {seed}: {summary}");
    let is_bad = twice.is_some() || !unfinished.is_empty() || !ends.is_empty();
    Ok(is_bad.then_some(summary))
}
