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
    json::Json,
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

/// A runner crashes and starts again under its id. Its socket listens at once, and it
/// serves 3 s later.
pub fn slow_restart(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    let runners: Vec<_> = (1..=7)
        .map(|number| fleet.add_runner(number, &["a", "r-1"]))
        .collect();
    start_nodes(&mut fleet, 2)?;
    let used = fleet.runs.lock().expect("lock")[0].runner.clone();
    let idle = runners.iter().rfind(|runner| runner.id != used);
    let runner = idle.ok_or("no runner is idle")?.clone();
    let restarting = has_trouble.then(|| {
        // The next list of machines is asked for about a second after the last one.
        let before = fleet.lists.load(Ordering::SeqCst);
        while fleet.lists.load(Ordering::SeqCst) == before {
            sleep_ms(2);
        }
        sleep_ms(50);
        runner.crash();
        sleep_ms(100);
        let runner = runner.clone();
        let start_time = Duration::from_secs(3);
        thread::spawn(move || runner.restart_slowly(None, Duration::ZERO, start_time))
    });
    sleep_ms(100);
    // A task for each runner.
    let path = format!("{QUEUE}00000000000000bb");
    if !fleet.submit(&path, KEY, &job(600, 7, 10_000, ""), START_LIMIT) {
        return Err("the job was not accepted".to_owned());
    }
    let is_done = fleet.wait_for(&path, KEY, "completed", Duration::from_secs(2));
    record.add(format!("{path} is shown as completed: {is_done}"));
    if let Some(restarting) = restarting {
        let _ = restarting.join();
    }
    // Each runner is asked again for a later job, so that earlier ends are taken note of.
    let later = format!("{QUEUE}00000000000000cc");
    fleet.submit(&later, KEY, &job(600, 7, 10_000, ""), START_LIMIT);
    for path in [&path, &later] {
        let is_done = fleet.wait_for(path, KEY, "completed", Duration::from_secs(20));
        record.add(format!("{path} is completed: {is_done}"));
    }
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

/// The scheduler is killed while the cheap reads of the store are 6 s old.
pub fn waiting_jobs(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::start(record);
    fleet.add_runner(1, &["a", "r-1"]);
    fleet.add_runner(2, &["a", "r-1"]);
    *fleet.store.stale_age.lock().expect("lock") = Duration::from_secs(6);
    start_nodes(&mut fleet, 3)?;
    // The processes know each other by the same reads.
    sleep_ms(8000);
    let leader = fleet.leader().ok_or("no node schedules")?;
    if has_trouble {
        fleet.kill_node(leader);
    }
    let mut back_at = has_trouble.then(|| Instant::now() + Duration::from_secs(3));
    let others: Vec<usize> = (0..NODES).filter(|number| *number != leader).collect();
    let mut accepted = 0;
    let mut last = Instant::now();
    for number in 0..10_usize {
        let path = format!("{QUEUE}{:016x}", 0x2000 + number);
        // More than one of them can run at a time.
        let body = job(20_000, 2, 9000, "");
        let to = others[number % others.len()];
        if let Some((200, _)) = fleet.call(to, "POST", &path, KEY, &body) {
            accepted += 1;
            last = Instant::now();
        }
        sleep_ms(20);
    }
    record.add(format!("{accepted} jobs are accepted"));
    if accepted < 5 {
        return Err("too few jobs were accepted".to_owned());
    }
    // visible_ms is 3,000, and the rule leaves 2 s more.
    let mut broken = None;
    for _ in 0..40 {
        let asked_at = Instant::now();
        if back_at.is_some_and(|at| at <= asked_at) {
            back_at = None;
            fleet.start_node(leader);
        }
        let answer = fleet.call(others[0], "GET", QUEUE, KEY, "");
        let Some((200, body)) = answer else {
            sleep_ms(100);
            continue;
        };
        let runs = fleet.runs.lock().expect("lock").clone();
        let begun = runs
            .iter()
            .map(|run| run.task.split('.').next().unwrap_or_default());
        let begun: std::collections::BTreeSet<&str> = begun
            .filter(|job| job.starts_with("0000000000002"))
            .collect();
        let waiting = accepted - begun.len() as u64;
        let pending = Json::parse(&body).map_or(0, |body| body.get("pending").number());
        let is_late = asked_at > last + Duration::from_millis(5000);
        if is_late && pending * 2 < waiting {
            broken = Some(format!(
                "pending is {pending}, and {waiting} jobs that were accepted 5 s before and \
                 more have not begun"
            ));
        }
        sleep_ms(200);
    }
    Ok(broken)
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
        // Where a key is needed, this one is refused: the version is in force.
        let path = format!("{QUEUE}{:016x}", 0xd0 + number);
        let answer = fleet.call(number, "POST", &path, KEY, &job(100, 1, 500, ""));
        if has_trouble != matches!(answer, Some((401, _))) {
            return Err(format!("on the other queue the answer is {answer:?}"));
        }
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
    start_nodes(&mut fleet, 4)?;
    let store = fleet.store.clone();
    let second = store.serve(free("127.0.0.1"));
    let path = format!("{QUEUE}00000000000000bb");
    if !fleet.submit(&path, KEY, &two_steps(4000), START_LIMIT) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        fleet.store_address = second.address;
        (0..4).for_each(|number| fleet.write_settings(number));
        // A share of 0.25; the others' files change without any signal.
        fleet.reload_node(0);
        record.add("the settings name another address of the store; one process gets SIGHUP");
        sleep_ms(5000);
        if let Some(first) = fleet.store_server.take() {
            first.stop();
        }
        record.add("the store no longer listens at the old address");
    }
    // finish_s is 14.
    sleep_ms(15_000);
    let is_done = fleet.wait_for(&path, KEY, "completed", Duration::from_secs(20));
    Ok((!is_done).then(|| {
        "no machine tells the state of an accepted job, 20 to 40 s after it was accepted".to_owned()
    }))
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
    let mut back_at = None;
    if has_trouble {
        let leader = fleet.leader().ok_or("no node schedules")?;
        fleet.kill_node(leader);
        let at = Instant::now() + Duration::from_secs(2);
        restart_at[leader] = Some(at);
        back_at = Some((leader, at));
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
                // Not one within a second of the disruption on its machine.
                if back_at.is_none_or(|(killed, at)| {
                    killed != number || Instant::now() > at + Duration::from_secs(1)
                }) {
                    ends[number] += 1;
                }
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
