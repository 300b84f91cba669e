//! Measures the time and memory of validating a configuration of the size expected
//! in two years: 26 teams and 58 services with 14 upstreams each.
//!
//! Run with `cargo run --release -p dotterelsill_config --example measure`.

use std::{
    fmt::Write,
    fs,
    time::Instant, //
};

use dotterelsill_config::{
    diff,
    explain,
    parse,
    MAX_TEXT_BYTES, //
};

/// Number of data centres.
const DATA_CENTRES: usize = 8;
/// Number of teams.
const TEAMS: usize = 26;
/// Number of services, each with one queue.
const SERVICES: usize = 58;
/// Number of upstreams per service.
const UPSTREAMS: usize = 14;
/// Number of timed runs per operation.
const RUNS: usize = 101;

/// Generates the configuration text.
fn text() -> String {
    let mut text = String::from("isolation_limit_s: 900\ndata_centres:\n");
    for i in 0..DATA_CENTRES {
        let region = i % 2;
        push(
            &mut text,
            format_args!("  - name: dc-{i}\n    region: region-{region}\n"),
        );
    }
    text.push_str("teams:\n");
    for i in 0..TEAMS {
        push(
            &mut text,
            format_args!(
                "  - name: team-{i}\n    share_percent: 3\n    floor_requests: 10\n    \
                 limit_requests: 200\n"
            ),
        );
    }
    text.push_str("services:\n");
    (0..SERVICES).for_each(|service| push_service(&mut text, service));
    text.push_str("queues:\n");
    for i in 0..SERVICES {
        push(
            &mut text,
            format_args!(
                "  - name: queue-{i}\n    service: service-{i}\n    urgency: {}\n    \
                 repeatable: true\n    timeout_ms: 500\n    max_run_ms: 5000\n",
                i % 4
            ),
        );
    }
    text
}

/// Appends a service with its upstreams.
fn push_service(text: &mut String, service: usize) {
    push(
        text,
        format_args!("  - name: service-{service}\n    availability_floor_percent: 70\n"),
    );
    if service > 0 {
        let dependency = service - 1;
        push(
            text,
            format_args!("    depends_on:\n      - service-{dependency}\n"),
        );
    }
    text.push_str("    upstreams:\n");
    for i in 0..UPSTREAMS {
        let data_centre = i % DATA_CENTRES;
        push(
            text,
            format_args!(
                "      - name: service-{service}-{i}\n        \
                 address: 10.{data_centre}.{service}.{i}:8080\n        \
                 data_centre: dc-{data_centre}\n        rack: dc-{data_centre}-r{}\n        \
                 slots: 8\n        connections: 64\n",
                service % 4
            ),
        );
    }
}

/// Appends formatted text.
fn push(text: &mut String, part: std::fmt::Arguments<'_>) {
    text.write_fmt(part)
        .expect("writing to a string cannot fail");
}

/// Returns a value of `/proc/self/status` in kB, or 0 if it is not available.
fn status_kb(key: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Prints the median and the maximum time of an operation, in microseconds.
fn time<T>(name: &str, operation: impl Fn() -> T) {
    let mut times: Vec<u128> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            let result = operation();
            let time = start.elapsed().as_micros();
            drop(result);
            time
        })
        .collect();
    times.sort_unstable();
    println!(
        "{name}: median {} us, longest {} us",
        times[RUNS / 2],
        times[RUNS - 1]
    );
}

/// Prints how much one call of `parse` adds to resident and peak memory.
fn memory(name: &str, text: &str) {
    let before = (status_kb("VmRSS"), status_kb("VmHWM"));
    let result = parse(text);
    let after = (status_kb("VmRSS"), status_kb("VmHWM"));
    println!(
        "{name}: {} bytes, accepted {}, resident {} kB more, peak {} kB more",
        text.len(),
        result.is_ok(),
        after.0.saturating_sub(before.0),
        after.1.saturating_sub(before.1)
    );
}

/// Measures each operation. The peak memory of a process never decreases, so the
/// text that takes the most memory comes last.
fn main() {
    let text = text();
    memory("first parse", &text);
    let checked = parse(&text).expect("the text is good");
    println!("warnings: {}", checked.warnings().len());
    time("parse", || parse(&text));
    let invalid = text.replace("limit_requests: 200", "limit: 200");
    time("parse with 26 errors", || parse(&invalid));
    time("explain", || explain(&checked));
    time("diff", || diff(&checked, &checked));
    let longest = format!("teams: [x{}]", ", x".repeat(MAX_TEXT_BYTES / 3 - 4));
    memory("longest list of errors", &longest);
    time("longest list of errors", || parse(&longest));
}
