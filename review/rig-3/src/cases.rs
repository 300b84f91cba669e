//! The cases.

use std::{
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::json;

use crate::{
    fleet::{
        Fleet,
        HOST,
        KEY, //
    },
    http::{
        serve,
        Reply, //
    },
    Outcome,
    Record, //
};

const ZONES: [&str; 3] = ["rvk", "hfj", "ake"];

pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> Outcome {
    match case {
        "repointed" => repointed(has_trouble, record),
        "odd-key" => odd_key(has_trouble, record),
        "vacated" => vacated(has_trouble, record),
        "next-life" => next_life(has_trouble, record),
        "renamed" => renamed(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns a configuration whose queue `/work/` is run by a service.
fn configuration(version: u64, service: &str) -> String {
    configuration_with(version, Some(("r-work", service)))
}

/// Returns a configuration whose queue `/work/` has a name and a service, or is not there.
fn configuration_with(version: u64, queue: Option<(&str, &str)>) -> String {
    let pool = |name: &str| {
        json!({"name": name, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1",
            "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "enforcesLimits": false,
            "standby": false})
    };
    let route = |(name, service): (&str, &str)| {
        json!({"name": name, "host": HOST, "pathPrefix": "/work/",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetCompletionMs": 600,
            "priority": 0, "service": service, "maxAttempts": 4, "slackFactor": 1.6,
            "anonymous": false})
    };
    let routes: Vec<_> = queue.into_iter().map(route).collect();
    json!({"version": version,
        "routes": routes,
        "services": [pool("alpha"), pool("beta")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1, "weight": 1,
            "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}]})
    .to_string()
}

fn runners() -> Vec<(&'static str, &'static str, &'static str, u64)> {
    vec![
        ("i-alpha-1", "alpha", "rvk", 16000),
        ("i-alpha-2", "alpha", "hfj", 16000),
        ("i-alpha-3", "alpha", "ake", 16000),
        ("i-beta-1", "beta", "rvk", 16000),
        ("i-beta-2", "beta", "hfj", 16000),
        ("i-beta-3", "beta", "ake", 16000),
    ]
}

/// A queue gets another service while a job of it runs. Then the runner that runs its tasks
/// is cut off, and the node that schedules is stopped and started in order. Without the
/// disruption only the runner is not cut off.
///
/// `REPOINT=again` removes the queue and adds it again with the other service, and
/// `REPOINT=kept` leaves it with its service.
fn repointed(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let way = std::env::var("REPOINT").unwrap_or_default();
    let mut fleet = Fleet::start(record, &runners(), &ZONES, &configuration(1, "alpha"));
    if !fleet.wait_until_ready() {
        return Err("the nodes do not serve".to_owned());
    }
    let job = json!({"spec": "work 9000",
        "steps": [{"count": 4, "cpu": 1000, "memMb": 256, "estimatedMs": 9000}]});
    let path = "/work/00000000000a0001";
    if !fleet.submit(path, &job.to_string()) {
        return Err("the job was not accepted".to_owned());
    }
    let runs = |fleet: &Fleet| {
        fleet
            .runners
            .iter()
            .map(|runner| runner.runs())
            .sum::<usize>()
    };
    if !fleet.wait(Duration::from_secs(5), |fleet| runs(fleet) == 4) {
        return Err("the tasks did not start".to_owned());
    }
    if way == "again" {
        let removed = configuration_with(2, None);
        fleet.store.put("op/config", removed.as_bytes());
        record.note("operator: version 2, the queue is removed");
        thread::sleep(Duration::from_millis(500));
    }
    let service = if way == "kept" { "alpha" } else { "beta" };
    let changed = configuration(3, service);
    fleet.store.put("op/config", changed.as_bytes());
    record.note(format!(
        "operator: version 3, the queue is run by {service}"
    ));
    thread::sleep(Duration::from_millis(2500));
    let begin = Instant::now();
    if has_trouble {
        // One of six runners.
        let holder = fleet.runners.iter().find(|runner| runner.runs() == 4);
        let holder = holder.ok_or("the tasks are on several runners")?;
        record.note(format!("cut    {}", holder.id));
        holder.set_cut(true);
    }
    let leader = fleet.leader().ok_or("nobody schedules")?;
    fleet.signal(leader, "TERM");
    let mut is_cut = has_trouble;
    while begin.elapsed() < Duration::from_secs(25) {
        thread::sleep(Duration::from_millis(500));
        fleet.restart_ended();
        if is_cut && begin.elapsed() > Duration::from_millis(5500) {
            is_cut = false;
            for runner in &fleet.runners {
                runner.set_cut(false);
            }
            record.note("the cut ends");
        }
        let answer = fleet.client(0, "GET", path, "");
        if !is_cut && answer.is_some_and(|(_, body)| body.contains("completed")) {
            break;
        }
    }
    thread::sleep(Duration::from_secs(2));
    Ok(record.twice())
}

/// Another writer leaves an entry beside those of the runners: one that cannot be read, or
/// with `ODD=service` one of a service that no configuration names. With `ODD=token` there
/// is no such entry; the list of machines has two pages, and the token has a space.
fn odd_key(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let mut fleet = Fleet::start(record, &runners(), &ZONES, &configuration(1, "alpha"));
    if !fleet.wait_until_ready() {
        return Err("the nodes do not serve".to_owned());
    }
    let job = json!({"spec": "work 500",
        "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500}]});
    let path = |number: u32| format!("/work/00000000000b{number:04x}");
    if !fleet.submit(&path(0), &job.to_string()) {
        return Err("the first job was not accepted".to_owned());
    }
    let is_over = |fleet: &Fleet, number: u32| {
        let answer = fleet.client(0, "GET", &path(number), "");
        answer.is_some_and(|(_, body)| body.contains("completed"))
    };
    if !fleet.wait(Duration::from_secs(8), |fleet| is_over(fleet, 0)) {
        return Err("the first job did not complete".to_owned());
    }
    let way = std::env::var("ODD").unwrap_or_default();
    if has_trouble && way == "service" {
        let address = serve(|_| Reply::Json(404, "{}".to_owned())).to_string();
        let report = json!({"service": "gamma", "address": address, "zone": "rvk",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "born": 1,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0}, "labels": ["a", "r1"],
            "clockMs": 1000, "sequence": 1});
        let key = "servers/i-old-1\n";
        fleet.store.put(key, report.to_string().as_bytes());
        record.note(format!("another writer: {key:?}, of service gamma"));
    } else if has_trouble && way == "token" {
        fleet.cloud.set_page_token("after m-i-alpha-3");
    } else if has_trouble {
        let key = "servers/copy of i-alpha-1";
        fleet.store.put(key, &vec![0xff; 900_000]);
        record.note(format!(
            "another writer: {key:?}, 900000 bytes that cannot be read"
        ));
    }
    let mut accepted = Vec::new();
    let begin = Instant::now();
    let mut number = 1;
    while begin.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(1000));
        fleet.restart_ended();
        let node = number as usize % fleet.nodes.len();
        let answer = fleet.client(node, "POST", &path(number), &job.to_string());
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(number);
        }
        number += 1;
    }
    record.note(format!(
        "the traffic ends, {} jobs were accepted",
        accepted.len()
    ));
    let finish = Instant::now();
    while finish.elapsed() < Duration::from_secs(14) {
        thread::sleep(Duration::from_millis(500));
        fleet.restart_ended();
    }
    let mut found = Vec::new();
    let ends: Vec<u32> = fleet.nodes.iter().map(|node| node.own_ends).collect();
    if ends.iter().filter(|ends| **ends >= 3).count() >= 2 {
        found.push(format!(
            "fault: processes ended by themselves, by node: {ends:?}"
        ));
    }
    let open: Vec<u32> = accepted
        .into_iter()
        .filter(|&job| !is_over(&fleet, job))
        .collect();
    if !open.is_empty() {
        let all = open.len();
        found.push(format!(
            "LOST: {all} accepted jobs have nothing running 14 s later"
        ));
    }
    Ok(found)
}

/// The node that schedules is stopped and started in order while the runner that runs a
/// job is cut off, and so is the next one. In between a wave of upkeep comes for the
/// runner's machine, while the interface for machines does not answer. Without the
/// disruption the runner is not cut off and the interface answers.
fn vacated(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let mut fleet = Fleet::start(record, &runners(), &ZONES, &configuration(1, "alpha"));
    if !fleet.wait_until_ready() {
        return Err("the nodes do not serve".to_owned());
    }
    let job = json!({"spec": "work 9000",
        "steps": [{"count": 4, "cpu": 1000, "memMb": 256, "estimatedMs": 9000}]});
    if !fleet.submit("/work/00000000000c0001", &job.to_string()) {
        return Err("the job was not accepted".to_owned());
    }
    let runs = |fleet: &Fleet| {
        fleet
            .runners
            .iter()
            .map(|runner| runner.runs())
            .sum::<usize>()
    };
    if !fleet.wait(Duration::from_secs(5), |fleet| runs(fleet) == 4) {
        return Err("the tasks did not start".to_owned());
    }
    thread::sleep(Duration::from_millis(1500));
    let holder = fleet.runners.iter().find(|runner| runner.runs() == 4);
    let holder = holder.ok_or("the tasks are on several runners")?.clone();
    let begin = Instant::now();
    if has_trouble {
        record.note(format!("cut    {}", holder.id));
        holder.set_cut(true);
    }
    let first = fleet.leader().ok_or("nobody schedules")?;
    fleet.signal(first, "TERM");
    let has_next = |fleet: &Fleet| fleet.leader().is_some_and(|leader| leader != first);
    if !fleet.wait(Duration::from_secs(2), has_next) {
        return Err("no other node schedules".to_owned());
    }
    let second = fleet.leader().ok_or("nobody schedules")?;
    let next = Instant::now();
    record.note(format!("node   {} schedules", fleet.nodes[second].name));
    let wave = json!({"wave": 1, "machines": [format!("m-{}", holder.id)], "durationS": 20,
        "cap": 1});
    fleet.store.put("op/wave/1", wave.to_string().as_bytes());
    record.note(format!("operator: wave 1 of the machine of {}", holder.id));
    sleep_until(next + Duration::from_millis(1000));
    if has_trouble {
        fleet.cloud.set_down(true);
    }
    sleep_until(next + Duration::from_millis(3000));
    fleet.signal(second, "TERM");
    sleep_until(begin + Duration::from_millis(5500));
    if has_trouble {
        holder.set_cut(false);
        record.note("the cut ends");
        sleep_until(next + Duration::from_millis(6000));
        fleet.cloud.set_down(false);
    }
    while begin.elapsed() < Duration::from_secs(14) {
        thread::sleep(Duration::from_millis(200));
        fleet.restart_ended();
    }
    Ok(record.twice())
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A start is held up on its way, its repetition runs and ends, and the runner crashes
/// once. The runners close each connection after its answer.
fn next_life(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let fleet = Fleet::start(record, &runners(), &ZONES, &configuration(1, "alpha"));
    fleet.runners.iter().for_each(|runner| runner.set_closes());
    if !fleet.wait_until_ready() {
        return Err("the nodes do not serve".to_owned());
    }
    let job = json!({"spec": "work 500",
        "steps": [{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500}]});
    let path = |number: u32| format!("/work/00000000000d{number:04x}");
    let is_completed = |fleet: &Fleet, number: u32| {
        fleet.wait(Duration::from_secs(8), |fleet| {
            thread::sleep(Duration::from_millis(200));
            let answer = fleet.client(0, "GET", &path(number), "");
            answer.is_some_and(|(_, body)| body.contains("completed"))
        })
    };
    // From these jobs the nodes learn that the runners keep no connection.
    for number in 0..6 {
        if !fleet.submit(&path(number), &job.to_string()) {
            return Err("a first job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    if !(0..6).all(|number| is_completed(&fleet, number)) {
        return Err("a first job did not complete".to_owned());
    }
    thread::sleep(Duration::from_millis(1000));
    let alpha = || {
        fleet
            .runners
            .iter()
            .filter(|runner| runner.service == "alpha")
    };
    if has_trouble {
        let used = alpha().find(|runner| record.runs().iter().any(|run| run.runner == runner.id));
        let used = used.ok_or("no runner was used")?.clone();
        used.hold_next_start(Duration::from_millis(7000));
    }
    if !fleet.submit(&path(6), &job.to_string()) {
        return Err("the job was not accepted".to_owned());
    }
    if !is_completed(&fleet, 6) {
        return Err("the job did not complete".to_owned());
    }
    // With the next job on the runner, the end of the one before is taken note of.
    if !fleet.submit(&path(7), &job.to_string()) || !is_completed(&fleet, 7) {
        return Err("the next job did not complete".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        let task = format!("{}.0.0.0", &path(6)[6..]);
        let run = record.runs().into_iter().find(|run| run.task == task);
        let run = run.ok_or("the task did not run")?;
        let runner = alpha().find(|runner| runner.id == run.runner);
        runner
            .ok_or("the runner is not known")?
            .crash(Duration::from_millis(1000));
    }
    thread::sleep(Duration::from_secs(6));
    Ok(record.twice())
}

/// A version of the configuration gives the route of a queue another name and changes
/// nothing else, while the first step of a job runs.
fn renamed(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let mut fleet = Fleet::start(record, &runners(), &ZONES, &configuration(1, "alpha"));
    if !fleet.wait_until_ready() {
        return Err("the nodes do not serve".to_owned());
    }
    let step = |after: &[u32]| json!({"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 2000, "after": after});
    let job = json!({"spec": "work 2000", "steps": [step(&[]), step(&[0])]});
    let path = "/work/00000000000e0001";
    if !fleet.submit(path, &job.to_string()) {
        return Err("the job was not accepted".to_owned());
    }
    let runs = |fleet: &Fleet| {
        fleet
            .runners
            .iter()
            .map(|runner| runner.runs())
            .sum::<usize>()
    };
    if !fleet.wait(Duration::from_secs(5), |fleet| runs(fleet) == 2) {
        return Err("the first step did not start".to_owned());
    }
    if has_trouble {
        let changed = configuration_with(2, Some(("r-work-2", "alpha")));
        fleet.store.put("op/config", changed.as_bytes());
        record.note("operator: version 2, the route has another name");
    }
    thread::sleep(Duration::from_millis(2500));
    // A job that is handed in under the new version shows that there is room.
    let other = "/work/00000000000e0002";
    if !fleet.submit(other, &job.to_string()) {
        return Err("the second job was not accepted".to_owned());
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(1000));
        fleet.restart_ended();
        fleet.client(1, "GET", path, "");
    }
    let is_completed = |path: &str| {
        let answer = fleet.client(1, "GET", path, "");
        answer.is_some_and(|(_, body)| body.contains("completed"))
    };
    if !is_completed(other) {
        return Err("the second job did not complete".to_owned());
    }
    let mut found = Vec::new();
    if !is_completed(path) && runs(&fleet) == 0 {
        found.push("LOST: the second step has not begun 20 s later, all is idle".to_owned());
    }
    Ok(found)
}
