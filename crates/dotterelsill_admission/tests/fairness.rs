//! Tests of team shares and urgency levels under overload.

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

/// Guards against a team that exceeds its share with many short requests, or
/// with a few long ones.
#[test]
fn run_times_do_not_change_the_shares() {
    for run_times_ms in [[10, 200, 3000], [3000, 10, 200], [200, 3000, 10]] {
        let mut service = Service::new(32, &[50, 30, 20], 100);
        let sources = [(0, 0), (1, 0), (2, 0)];
        let used_percent =
            service.overload(ms(100_000), &sources, |(team, _)| ms(run_times_ms[team]));
        println!("run times {run_times_ms:?} ms: {used_percent:.1?}%");
        for (part, share) in used_percent.iter().zip([50.0, 30.0, 20.0]) {
            assert!((part - share).abs() < 2.0, "{used_percent:.1?}");
        }
    }
}

/// Guards against wrong shares when a few run times are far above the mean:
/// about 1 in 50 runs of the first team takes 5 s instead of 20 ms.
#[test]
fn rare_long_runs_are_charged() {
    let mut service = Service::new(32, &[50, 50], 100);
    let count = std::cell::Cell::new(0u64);
    let used_percent = service.overload(ms(300_000), &[(0, 0), (1, 0)], |(team, _)| {
        count.set(count.get() + 1);
        match (team, count.get() % 50) {
            (0, 0) => ms(5000),
            (0, _) => ms(20),
            _ => ms(400),
        }
    });
    assert!((used_percent[0] - 50.0).abs() < 2.0, "{used_percent:.1?}");
}

/// Guards against starvation of the lower urgency levels, which must get a
/// tenth of the slots, and against urgent requests that do not take precedence.
#[test]
fn low_urgency_gets_its_tenth() {
    let mut service = Service::new(40, &[60, 40], 200);
    let sources = [(0, 0), (0, 1), (0, 7), (1, 0), (1, 1), (1, 7)];
    let mut low_run_ms = 0;
    let run_time = |(_, urgency): (usize, u32)| if urgency == 0 { ms(100) } else { ms(3000) };
    for source in sources {
        for _ in 0..45 {
            service.push(source, NO_DEADLINE).unwrap();
        }
    }
    let end = service.now + ms(240_000);
    let mut lowest_starts = 0;
    while service.now < end {
        for source in service.start(run_time) {
            low_run_ms += if source.1 == 0 { 0 } else { 3000 };
            lowest_starts += u32::from(source.1 == 7);
            service.push(source, NO_DEADLINE).unwrap();
        }
        service.finish_next();
    }
    let part = f64::from(low_run_ms) * 100.0 / (240_000.0 * 40.0);
    println!("low urgency: {part:.1}% of the slots");
    assert!((9.0..13.0).contains(&part), "{part:.1}%");
    // A tenth of a tenth of the slots is 0.4 slots. In 240 s that is enough for
    // 32 runs of 3 s.
    assert!(lowest_starts >= 25, "{lowest_starts} of the lowest urgency");
}

/// Guards against starvation of low urgency while urgent requests wait all the
/// time, but belong to a team that is ahead of its share.
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

/// Guards against a team that exceeds its share by marking all its requests as
/// urgent.
#[test]
fn urgency_does_not_override_shares() {
    let mut service = Service::new(32, &[20, 80], 100);
    let used_percent = service.overload(ms(120_000), &[(0, 0), (1, 5)], |_| ms(300));
    assert!((used_percent[0] - 20.0).abs() < 3.0, "{used_percent:.1?}");
}

/// Guards against an idle team that accumulates credit and later takes all
/// slots.
#[test]
fn idle_team_saves_up_nothing() {
    let mut service = Service::new(32, &[50, 25, 25], 100);
    let alone = service.overload(ms(60_000), &[(0, 0), (1, 0)], |_| ms(100));
    assert!((alone[0] - 66.7).abs() < 2.0, "{alone:.1?}");
    let all = service.overload(ms(10_000), &[(2, 0)], |_| ms(100));
    assert!((all[2] - 25.0).abs() < 2.0, "{all:.1?}");
}

/// Guards against a team that is penalized for slots that no other team wanted.
#[test]
fn borrowed_slots_are_no_debt() {
    let mut service = Service::new(32, &[50, 50], 100);
    let alone = service.overload(ms(60_000), &[(0, 0)], |_| ms(100));
    assert_eq!(alone, [100.0, 0.0]);
    let both = service.overload(ms(10_000), &[(1, 0)], |_| ms(100));
    assert!((both[0] - 50.0).abs() < 2.0, "{both:.1?}");
}

/// Guards against a team that is penalized for its usage while slots were free.
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
/// short runs have lowered its expected run time.
#[test]
fn runs_that_do_not_end_are_charged_as_they_run() {
    let mut service = Service::new(32, &[50, 50], 100);
    let short = std::cell::Cell::new(200);
    let used_percent = service.overload(ms(120_000), &[(0, 0), (1, 0)], |(team, _)| {
        short.set(short.get() - i32::from(team == 0));
        match (team, short.get()) {
            (0, ..0) => ms(10_000_000),
            _ => ms(100),
        }
    });
    assert!((used_percent[0] - 50.0).abs() < 5.0, "{used_percent:.1?}");
}

/// Guards against a team at its upper limit that blocks the other teams, or
/// accumulates credit in the meantime.
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
