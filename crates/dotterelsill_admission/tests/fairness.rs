//! Tests of shares and urgencies under overload.

mod common;

use common::{
    ms,
    Service,
    NO_DEADLINE, //
};
use dotterelsill_admission::{
    RunOutcome,
    Team, //
};

/// Guards against a team that exceeds its share by many short requests, and one
/// that does by few long ones.
#[test]
fn run_times_do_not_change_the_shares() {
    for run_times_ms in [[10, 200, 3000], [3000, 10, 200], [200, 3000, 10]] {
        let mut service = Service::new(32, &[50, 30, 20], 100);
        let sources = [(0, 0), (1, 0), (2, 0)];
        let parts = service.overload(ms(100_000), &sources, |(team, _)| ms(run_times_ms[team]));
        println!("run times {run_times_ms:?} ms: {parts:.1?}%");
        for (part, share) in parts.iter().zip([50.0, 30.0, 20.0]) {
            assert!((part - share).abs() < 2.0, "{parts:.1?}");
        }
    }
}

/// Guards against shares that are wrong because run times are far from their
/// mean.
#[test]
fn rare_long_runs_are_charged() {
    let mut service = Service::new(32, &[50, 50], 100);
    let count = std::cell::Cell::new(0u64);
    let parts = service.overload(ms(300_000), &[(0, 0), (1, 0)], |(team, _)| {
        count.set(count.get() + 1);
        match (team, count.get() % 50) {
            (0, 0) => ms(5000),
            (0, _) => ms(20),
            _ => ms(400),
        }
    });
    assert!((parts[0] - 50.0).abs() < 2.0, "{parts:.1?}");
}

/// Guards against starvation of low urgency, and against urgent work that does
/// not go first.
#[test]
fn low_urgency_gets_its_tenth() {
    let mut service = Service::new(40, &[60, 40], 200);
    let sources = [(0, 0), (0, 1), (0, 7), (1, 0), (1, 1), (1, 7)];
    let mut low_ms = 0;
    let run_time = |(_, urgency): (usize, u32)| if urgency == 0 { ms(100) } else { ms(3000) };
    for source in sources {
        for _ in 0..45 {
            service.push(source, NO_DEADLINE).unwrap();
        }
    }
    let end = service.now + ms(240_000);
    let mut lowest = 0;
    while service.now < end {
        for source in service.start(run_time) {
            low_ms += if source.1 == 0 { 0 } else { 3000 };
            lowest += u32::from(source.1 == 7);
            service.push(source, NO_DEADLINE).unwrap();
        }
        service.end_one();
    }
    let part = f64::from(low_ms) * 100.0 / (240_000.0 * 40.0);
    println!("low urgency: {part:.1}% of the slots");
    assert!((9.0..13.0).contains(&part), "{part:.1}%");
    // A tenth of the tenth: 0.4 slots for 240 s, in runs of 3 s.
    assert!(lowest >= 25, "{lowest} of the lowest urgency");
}

/// Guards against starvation of low urgency while urgent work of a team that is
/// ahead of its share waits all the time.
#[test]
fn urgent_flood_of_one_team_leaves_low_urgency_its_part() {
    let mut service = Service::new(40, &[10, 90], 200);
    let low = std::cell::Cell::new(0);
    service.overload(ms(120_000), &[(0, 0), (1, 1), (1, 2)], |(_, urgency)| {
        low.set(low.get() + u32::from(urgency == 2));
        ms(500)
    });
    let part = f64::from(low.get()) * 500.0 * 100.0 / (120_000.0 * 40.0);
    println!("low urgency: {part:.1}% of the slots");
    assert!((8.0..11.0).contains(&part), "{part:.1}%");
}

/// Guards against a team that takes more than its share by marking all its work
/// as urgent.
#[test]
fn urgency_does_not_override_shares() {
    let mut service = Service::new(32, &[20, 80], 100);
    let parts = service.overload(ms(120_000), &[(0, 0), (1, 5)], |_| ms(300));
    assert!((parts[0] - 20.0).abs() < 3.0, "{parts:.1?}");
}

/// Guards against an idle team that saves up credit and then takes everything.
#[test]
fn idle_team_saves_up_nothing() {
    let mut service = Service::new(32, &[50, 25, 25], 100);
    let alone = service.overload(ms(60_000), &[(0, 0), (1, 0)], |_| ms(100));
    assert!((alone[0] - 66.7).abs() < 2.0, "{alone:.1?}");
    let all = service.overload(ms(10_000), &[(2, 0)], |_| ms(100));
    assert!((all[2] - 25.0).abs() < 2.0, "{all:.1?}");
}

/// Guards against debt from slots that nobody else wanted.
#[test]
fn borrowed_slots_are_no_debt() {
    let mut service = Service::new(32, &[50, 50], 100);
    let alone = service.overload(ms(60_000), &[(0, 0)], |_| ms(100));
    assert_eq!(alone, [100.0, 0.0]);
    let both = service.overload(ms(10_000), &[(1, 0)], |_| ms(100));
    assert!((both[0] - 50.0).abs() < 2.0, "{both:.1?}");
}

/// Guards against debt from use while slots were free.
#[test]
fn use_of_free_slots_is_no_debt() {
    let mut service = Service::new(32, &[50, 50], 100);
    let team = std::sync::Arc::clone(service.team(0));
    for _ in 0..100 {
        let start = || service.gate.try_start(&team, 0, service.now).unwrap();
        let running: Vec<_> = (0..16).map(|_| start()).collect();
        service.now += ms(1000);
        for one in running {
            service.gate.finish(one, RunOutcome::Answered, service.now);
        }
    }
    let both = service.overload(ms(10_000), &[(1, 0), (0, 0)], |_| ms(100));
    assert!((both[0] - 50.0).abs() < 2.0, "{both:.1?}");
}

/// Guards against a team that takes all slots with runs that do not end, after
/// short ones made its runs look short.
#[test]
fn runs_that_do_not_end_are_charged_as_they_run() {
    let mut service = Service::new(32, &[50, 50], 100);
    let short = std::cell::Cell::new(200);
    let parts = service.overload(ms(120_000), &[(0, 0), (1, 0)], |(team, _)| {
        short.set(short.get() - i32::from(team == 0));
        match (team, short.get()) {
            (0, ..0) => ms(10_000_000),
            _ => ms(100),
        }
    });
    assert!((parts[0] - 50.0).abs() < 5.0, "{parts:.1?}");
}

/// Guards against a team at its upper limit that blocks the others or saves up
/// credit meanwhile.
#[test]
fn team_at_its_limit_neither_blocks_nor_saves() {
    let mut service = Service::new(8, &[50, 50], 100);
    for _ in 0..40 {
        service.push((0, 0), NO_DEADLINE).unwrap();
        service.push((1, 0), NO_DEADLINE).unwrap();
    }
    let mut refused = Vec::new();
    let name = |index| format!("team{index}");
    let mut started = Vec::new();
    for round in 0..48 {
        let limited = name(0);
        let take = |team: &Team| round >= 24 || team.name() != limited;
        let one = service
            .queue
            .pop_next(service.now, take, &mut refused)
            .unwrap();
        service.now += ms(10);
        service
            .queue
            .finish(one.running, RunOutcome::Answered, service.now);
        started.push(one.payload.0);
    }
    assert!(started[..24].iter().all(|team| *team == 1));
    let first = started[24..].iter().filter(|team| **team == 0).count();
    assert!((11..=14).contains(&first), "{started:?}");
}
