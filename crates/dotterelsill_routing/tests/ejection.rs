//! Tests of outlier ejection.

mod common;

use std::time::Instant;

use common::{
    active_count,
    ms,
    random,
    run,
    s,
    service,
    take_all,
    REPEATABLE, //
};
use dotterelsill_routing::{
    AttemptConstraints,
    AttemptOutcome,
    UpstreamSet,
    LEAVING_HOLD, //
};

/// Guards against an ejection after too few failures, and against an upstream
/// that fails every request and still gets new ones.
#[test]
fn upstream_that_fails_everything_is_ejected() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(4, &["a"], 50), now);
    let bad = set.upstreams()[0].clone();
    let mut slots = take_all(&set, now);
    slots.retain(|slot| slot.upstream().name() == "a0");
    for number in 0..5 {
        assert!(!bad.is_ejected(), "after {number} failures");
        set.report(slots.pop().unwrap(), AttemptOutcome::Failure, now);
    }
    assert!(bad.is_ejected());
    drop(slots);
    assert_eq!(take_all(&set, now).len(), 24);
}

/// Guards against an ejection while at least 50% of the requests succeed.
#[test]
fn half_of_the_answers_is_good_enough() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 0), now);
    let mut random = random(5);
    let retry = AttemptConstraints {
        repeatable: true,
        avoid: Some("a1"),
    };
    for number in 0..100 {
        let slot = set.choose(retry, now, &mut random).unwrap();
        let outcome = if number % 2 == 0 {
            AttemptOutcome::Success
        } else {
            AttemptOutcome::Failure
        };
        set.report(slot, outcome, now);
    }
    assert_eq!(active_count(&set), 2);
}

/// Guards against ejections below the floor when all upstreams fail at the same
/// time, reported by several threads.
#[test]
fn floor_holds_when_all_fail_at_once() {
    let now = Instant::now();
    for seed in 0..50 {
        let set = UpstreamSet::new(&service(12, &["a"], 70), now);
        std::thread::scope(|scope| {
            for thread in 0..4 {
                let set = &set;
                scope.spawn(move || {
                    let mut random = random(seed * 4 + thread);
                    for _ in 0..100 {
                        let slot = set.choose(REPEATABLE, now, &mut random).unwrap();
                        set.report(slot, AttemptOutcome::Failure, now);
                        assert!(active_count(set) >= 9);
                    }
                });
            }
        });
        set.review(now);
        assert_eq!(active_count(&set), 9);
    }
}

/// Guards against an upstream that is never ejected if the floor permits it
/// only after its window is full of failures, when one more failure no longer
/// changes the window.
#[test]
fn full_window_of_failures_still_ejects() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 50), now);
    set.on_leaving(&set.upstreams()[1], now);
    run(&set, now, 40, |name| name == "a0");
    assert_eq!(active_count(&set), 2);
    let slot = set.choose(REPEATABLE, now, random(8)).unwrap();
    set.report(slot, AttemptOutcome::Failure, now + LEAVING_HOLD);
    assert_eq!(active_count(&set), 1);
}

/// Guards against ejecting the better upstreams when the floor allows only some
/// ejections.
#[test]
fn least_bad_upstreams_stay() {
    let now = Instant::now();
    let spec = service(4, &["a"], 100);
    let set = UpstreamSet::new(&spec, now);
    let answers = std::cell::Cell::new(0);
    run(&set, now, 400, |name| {
        answers.set(answers.get() + u32::from(name == "a1"));
        name == "a2" || (name == "a1" && !u32::is_multiple_of(answers.get(), 4))
    });
    assert_eq!(active_count(&set), 4);
    let mut lower = spec;
    lower.availability_floor_percent = 75;
    let set = set.rebuild(&lower, now);
    assert_eq!(active_count(&set), 3);
    assert!(set.upstreams()[2].is_ejected(), "the worst goes first");
}

/// Guards against a service below its floor when upstreams leave while others
/// are ejected.
#[test]
fn ejected_upstream_returns_when_others_leave() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(4, &["a"], 50), now);
    run(&set, now, 200, |name| name == "a0" || name == "a1");
    assert_eq!(active_count(&set), 2);
    set.on_instance_listed("a3", true, now);
    assert_eq!(active_count(&set), 3);
}

/// Guards against more than one probe at a time, and against ejections that do
/// not become longer.
#[test]
fn one_probe_ends_the_ejection_and_failures_double_it() {
    let start = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 50), start);
    run(&set, start, 40, |name| name == "a0");
    let mut now = start;
    for length in [10, 20, 40, 80, 160, 300, 300] {
        let early = take_all(&set, now + s(length) - ms(1));
        assert!(!early.iter().any(|slot| slot.is_probe()), "{length} s");
        drop(early);
        now += s(length);
        let (probes, rest): (Vec<_>, Vec<_>) = take_all(&set, now)
            .into_iter()
            .partition(|slot| slot.is_probe());
        assert_eq!((probes.len(), rest.len()), (1, 8), "{length} s");
        for probe in probes {
            set.report(probe, AttemptOutcome::Failure, now);
        }
    }
    now += s(300);
    let mut random = random(6);
    let probe = std::iter::repeat_with(|| set.choose(REPEATABLE, now, &mut random).unwrap());
    let probe = probe.take(50).find(|slot| slot.is_probe()).unwrap();
    set.report(probe, AttemptOutcome::Success, now);
    assert_eq!(active_count(&set), 2);
}

/// Guards against a probe that is lost when its caller gives up, and against an
/// unrepeatable request as the probe while a repeatable one may still come.
#[test]
fn abandoned_probe_is_sent_again() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 50), now);
    run(&set, now, 40, |name| name == "a0");
    let unrepeatable = AttemptConstraints::default();
    let probe_of = |constraints, seconds| {
        let mut random = random(7);
        let slots: Vec<_> =
            std::iter::from_fn(|| set.choose(constraints, now + s(seconds), &mut random)).collect();
        slots.into_iter().find(|slot| slot.is_probe())
    };
    assert!(probe_of(unrepeatable, 10).is_none());
    drop(probe_of(REPEATABLE, 10).unwrap());
    assert!(probe_of(REPEATABLE, 10).is_some());
    assert!(probe_of(unrepeatable, 20).is_some());
}
