//! Tests that violations of the properties are found.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread,
    time::Duration, //
};

use dotterelsill_e2e::{
    clock_us,
    new_address,
    violations,
    Observer,
    Run,
    Work, //
};

const LIMITS: [(&str, usize); 1] = [("red", 1)];

/// Sends work to an address on which nothing listens, so that its outcome is `broken`,
/// and returns the violations found with the given runs.
fn violations_of(works: &[Work], runs: &[Run], record: impl Fn(&Observer)) -> Vec<String> {
    dotterelsill_rpc::run(1, |tasks| async move {
        let observer = Observer::default();
        let address = new_address();
        for work in works {
            observer.send(address, work, &tasks).await;
        }
        record(&observer);
        violations(&observer, runs, &LIMITS)
    })
}

fn run(attempt: u64, start_us: u64, end_us: u64) -> Run {
    Run {
        attempt,
        upstream: 0,
        start_us,
        end_us: Some(end_us),
    }
}

fn red() -> Work {
    Work {
        queue: "keyed",
        team: "red",
        key: "key-of-red".to_owned(),
        ..Work::default()
    }
}

/// Guards against missing overlapping runs, and against counting a run that starts at
/// the end of another one as overlapping.
#[test]
fn runs_over_the_limit_are_found() {
    let works = [red(), red()];
    let overlapping = [run(0, 10, 20), run(1, 19, 30)];
    let one_by_one = [run(0, 10, 20), run(1, 20, 30)];
    assert!(violations_of(&works, &overlapping, |_| ())[0].starts_with("P4"));
    assert!(violations_of(&works, &one_by_one, |_| ()).is_empty());
}

/// Guards against missing late starts under an older revision.
#[test]
fn starts_after_a_change_are_found() {
    let after = |late: Duration| {
        let start_us = clock_us() + late.as_micros() as u64;
        [run(0, start_us, start_us + 1)]
    };
    let withdrawn = |observer: &Observer| observer.on_withdrawn("key-of-red");
    let out = |observer: &Observer| observer.on_excluded(0);
    let late = after(Duration::from_secs(5));
    assert!(violations_of(&[red()], &late, withdrawn)[0].starts_with("P3"));
    assert!(violations_of(&[red()], &late, out)[0].starts_with("P5"));
    let in_time = after(Duration::from_secs(1));
    assert!(violations_of(&[red()], &in_time, withdrawn).is_empty());
    assert!(violations_of(&[red()], &in_time, out).is_empty());
}

/// Guards against missing an answer to another request or a false refusal.
#[test]
fn wrong_answers_are_found() {
    let check = |outcome, runs: &[Run]| {
        dotterelsill_rpc::run(1, |tasks| async move {
            let observer = Observer::default();
            let address = answer_once(outcome);
            observer.send(address, &red(), &tasks).await;
            violations(&observer, runs, &LIMITS)
        })
    };
    assert!(check("answered", &[run(0, 10, 20)])[0].starts_with("P6"));
    assert!(check("not_run", &[run(0, 10, 20)])[0].starts_with("P7"));
    assert!(check("not_run", &[]).is_empty());
    assert!(check("unknown", &[run(0, 10, 20)]).is_empty());
}

/// Listens on a new address and answers one request with a body that differs from the
/// request's.
fn answer_once(outcome: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(new_address()).expect("the address is new");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        // The request is short enough to arrive in one read.
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\ndotterelsill-outcome: {outcome}\r\n");
        let answer = format!("{head}content-length: 5\r\n\r\nother");
        stream
            .write_all(answer.as_bytes())
            .expect("the caller waits");
    });
    address
}

/// Guards against missing a second run of the same identifier.
#[test]
fn second_runs_are_found() {
    let once = Work {
        identifier: "refund".to_owned(),
        ..red()
    };
    let works = [once.clone(), once];
    let runs = [run(0, 10, 20), run(1, 30, 40)];
    assert!(violations_of(&works, &runs, |_| ())[0].starts_with("P8"));
}
