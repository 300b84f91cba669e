//! Tests of the choice of upstreams and the reservation of slots.

mod common;

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Instant, //
};

use common::{
    ms,
    random,
    s,
    service,
    take_all,
    REPEATABLE, //
};
use dotterelsill_routing::{
    AttemptConstraints,
    AttemptOutcome,
    UpstreamSet,
    LEAVING_HOLD,
    RAISE_INTERVAL,
    YIELD_INTERVAL, //
};

/// Guards against use of a remote data centre while the local one has a free
/// slot.
#[test]
fn local_data_centre_comes_first() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(3, &["a", "b"], 50), now);
    let slots = take_all(&set, now);
    assert_eq!(slots.len(), 48);
    let local = |slot: &_| dotterelsill_routing::Slot::upstream(slot).data_centre() == "a";
    assert!(slots[..24].iter().all(local));
    assert!(!slots[24..].iter().any(local));
}

/// Guards against choosing an upstream in a data centre that is out of service,
/// also by a thread that still holds the set of the previous configuration.
#[test]
fn data_centre_that_is_out_is_never_chosen() {
    let now = Instant::now();
    let mut spec = service(3, &["a", "b"], 50);
    let old = UpstreamSet::new(&spec, now);
    spec.data_centres_out = vec!["a".to_owned()];
    let new = old.rebuild(&spec, now);
    for set in [&old, &new] {
        let slots = take_all(set, now);
        assert_eq!(slots.len(), 24);
        assert!(slots
            .iter()
            .all(|slot| slot.upstream().data_centre() == "b"));
    }
    spec.data_centres_out = vec!["a".to_owned(), "b".to_owned()];
    let none = new.rebuild(&spec, now);
    assert!(none.choose(REPEATABLE, now, random(1)).is_none());
    spec.data_centres_out.clear();
    assert_eq!(take_all(&none.rebuild(&spec, now), now).len(), 48);
}

/// Guards against new requests to an upstream that is leaving, while a lagging
/// instance list still shows it as live.
#[test]
fn leaving_upstream_gets_no_work() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(3, &["a"], 0), now);
    set.on_instance_listed("a0", true, now);
    let slot = set.choose(REPEATABLE, now, random(3)).unwrap();
    let announced = slot.upstream().name().to_owned();
    set.report(slot, AttemptOutcome::Leaving, now);
    set.on_instance_listed(&announced, false, now);
    let slots = take_all(&set, now + LEAVING_HOLD - ms(1));
    assert_eq!(slots.len(), 8);
    let refused = ["a0", &announced];
    assert!(slots
        .iter()
        .all(|slot| !refused.contains(&slot.upstream().name())));
    assert_eq!(take_all(&set, now + LEAVING_HOLD).len(), 8);
}

/// Guards against a slot that is released twice: reports and drops release
/// exactly the slots that were taken.
#[test]
fn slots_are_returned_once() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 50), now);
    let outcomes = [
        AttemptOutcome::Success,
        AttemptOutcome::Failure,
        AttemptOutcome::Abandoned,
    ];
    for round in 0..30 {
        let mut slots = take_all(&set, now);
        drop(slots.split_off(8));
        for slot in slots {
            set.report(slot, outcomes[round % 3], now);
        }
        assert!(set
            .upstreams()
            .iter()
            .all(|upstream| upstream.in_use() == 0));
    }
}

/// Guards against more running requests than slots, and against leaked slots,
/// when many threads choose concurrently.
#[test]
fn threads_never_exceed_the_slots() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 50), now);
    let running = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for seed in 0..8 {
            let (set, running) = (&set, &running);
            scope.spawn(move || {
                let mut random = random(seed);
                for _ in 0..3000 {
                    let Some(slot) = set.choose(REPEATABLE, now, &mut random) else {
                        continue;
                    };
                    assert!(running.fetch_add(1, Ordering::SeqCst) < 16);
                    assert!(slot.upstream().in_use() <= 8);
                    running.fetch_sub(1, Ordering::SeqCst);
                    set.report(slot, AttemptOutcome::Success, now);
                }
            });
        }
    });
    assert_eq!(take_all(&set, now).len(), 16);
}

/// Guards against lost slot counts when the configuration changes while
/// requests run.
#[test]
fn counts_survive_a_new_configuration() {
    let now = Instant::now();
    let mut spec = service(3, &["a"], 0);
    let old = UpstreamSet::new(&spec, now);
    let slots = take_all(&old, now);
    spec.upstreams.remove(2);
    spec.upstreams[1].slots = 10;
    spec.upstreams.push(common::upstream("a", 9, 8));
    let new = old.rebuild(&spec, now);
    let more = take_all(&new, now);
    assert_eq!(more.len(), 2 + 8);
    drop(slots);
    assert!(new.upstreams()[..2].iter().all(|kept| kept.in_use() <= 2));
    assert!(take_all(&old, now)
        .iter()
        .all(|slot| slot.upstream().name() != "a2"));
}

/// Guards against repeated attempts on an upstream whose slots are taken by
/// other entries, and against a limit that never rises again.
#[test]
fn refusal_lowers_the_limit_and_time_raises_it() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(1, &["a"], 0), now);
    let mut slots = take_all(&set, now);
    set.report(slots.pop().unwrap(), AttemptOutcome::Full, now);
    assert_eq!(set.upstreams()[0].limit(), 6);
    assert!(set.choose(REPEATABLE, now, random(1)).is_none());
    drop(slots);
    assert_eq!(take_all(&set, now).len(), 6);
    assert_eq!(set.capacity(now + RAISE_INTERVAL), 7);
    let later = now + RAISE_INTERVAL;
    assert_eq!(take_all(&set, later).len(), 7);
    let slots = take_all(&set, later + RAISE_INTERVAL);
    assert_eq!(slots.len(), 8);
    assert!(!set.upstreams()[0].is_ejected());
}

/// Guards against an entry that keeps all slots of an upstream, so that the
/// other entries get none, and against yielding slots without need.
#[test]
fn entry_yields_slots_above_its_part() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(1, &["a"], 0), now);
    let refill = |at| {
        let mut slots = take_all(&set, at);
        set.report(slots.pop().unwrap(), AttemptOutcome::Success, at);
        slots.extend(take_all(&set, at));
        slots.len()
    };
    assert_eq!(refill(now), 8, "no other entry is known");
    set.on_live_entries(4);
    assert_eq!(refill(now), 7);
    assert_eq!(refill(now + 2 * RAISE_INTERVAL), 8);
    assert_eq!(refill(now + YIELD_INTERVAL), 7);
    set.on_live_entries(1);
    assert_eq!(refill(now + 2 * YIELD_INTERVAL), 8);
}

/// Guards against a retry on the same upstream while another one has a free
/// slot.
#[test]
fn retry_avoids_the_upstream_of_the_first_attempt() {
    let now = Instant::now();
    let set = UpstreamSet::new(&service(2, &["a"], 0), now);
    let retry = AttemptConstraints {
        repeatable: true,
        avoid: Some("a0"),
    };
    let mut random = random(4);
    let slots: Vec<_> = (0..8)
        .map(|_| set.choose(retry, now, &mut random).unwrap())
        .collect();
    assert!(slots.iter().all(|slot| slot.upstream().name() == "a1"));
    let last = set.choose(retry, now + s(1), &mut random).unwrap();
    assert_eq!(last.upstream().name(), "a0");
}
