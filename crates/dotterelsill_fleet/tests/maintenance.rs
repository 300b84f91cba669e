//! Tests of maintenance plans and waves.

use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use dotterelsill_fleet::*;

const HOUR: Duration = Duration::from_secs(3600);

fn load(floor_percent: u32, per_rack: u32) -> ServiceLoad {
    let by_hour = |hour| if (8..20).contains(&hour) { 15.0 } else { 2.0 };
    ServiceLoad {
        demand_instances: (0..24).map(by_hour).collect(),
        limits: BudgetLimits {
            floor_percent,
            per_data_centre: 4,
            per_rack,
        },
        service: Service(0),
        upstreams: 16,
    }
}

fn targets(now: SystemTime, age_weeks: u32) -> Vec<MaintenanceTarget> {
    let target = |i: u32| MaintenanceTarget {
        last_maintained: now - HOUR * (age_weeks * 168 + i),
        service: Service(0),
        upstream: Upstream {
            data_centre: DataCentre(i / 8),
            instance: Instance(i),
            rack: Rack(i / 4),
        },
    };
    (0..16).map(target).collect()
}

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + HOUR * 500_000
}

/// Guards against a plan that omits an instance, maintains it twice or too late,
/// exceeds the limit of a rack, or maintains instances at peak demand.
#[test]
fn each_instance_is_planned_once_in_time_and_off_peak() {
    let (visits, schedules) = plan_maintenance(
        now(),
        &MaintenancePolicy::default(),
        &[load(70, 2)],
        &targets(now(), 3),
    );
    let mut seen: Vec<_> = visits.iter().flat_map(|v| v.instances.clone()).collect();
    seen.sort_unstable();
    assert_eq!(seen, (0..16).map(Instance).collect::<Vec<_>>());
    for visit in &visits {
        assert!(visit.instances.len() <= 2);
        assert!(visit.start > now() && visit.start < now() + HOUR * (3 * 168 - 16));
        let hour = visit
            .start
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_secs()
            / 3600
            % 24;
        assert!(
            !(8..20).contains(&hour),
            "a visit starts at peak demand, at {hour} h"
        );
    }
    assert_eq!(schedules.len(), 16);
}

/// Guards against visits that are split unnecessarily, and against joint visits
/// where the budget allows only one instance.
#[test]
fn a_rack_is_taken_together_if_the_budget_allows() {
    let plan = |per_rack| {
        plan_maintenance(
            now(),
            &MaintenancePolicy::default(),
            &[load(70, per_rack)],
            &targets(now(), 3),
        )
        .0
    };
    assert_eq!(plan(4).len(), 4);
    assert_eq!(plan(1).len(), 16);
}

/// Guards against a plan whose visits in the same hour take the service below its
/// floor.
#[test]
fn overdue_instances_are_taken_first_within_the_budget() {
    let policy = MaintenancePolicy::default();
    let (visits, schedules) = plan_maintenance(now(), &policy, &[load(87, 4)], &targets(now(), 9));
    let mut starts: Vec<_> = visits.iter().map(|v| v.start).collect();
    starts.dedup();
    assert!(visits.iter().all(|v| v.instances.len() <= 2));
    assert_eq!(
        starts.len(),
        visits.len(),
        "two visits start in the same hour"
    );
    assert!(starts.iter().all(|s| *s < now() + HOUR * 48));
    let text = schedules[0].reason.to_string();
    assert!(text.starts_with("planned: overdue"), "{text}");
}

/// Guards against a reason that does not name the limit that blocks the instance.
#[test]
fn an_instance_without_a_free_hour_says_why() {
    let policy = MaintenancePolicy::default();
    let (visits, schedules) = plan_maintenance(now(), &policy, &[load(100, 4)], &targets(now(), 3));
    assert!(visits.is_empty());
    let text = schedules[0].reason.to_string();
    assert_eq!(
        text,
        "waits: the floor or the demand of service 0 leave no free hour"
    );
}

fn start_all(wave: &mut Wave, now: Instant) -> Vec<Instance> {
    std::iter::from_fn(|| wave.next(now)).collect()
}

fn wave(now: Instant) -> Wave {
    Wave::new((0..10).map(Instance), WavePolicy::default(), now)
}

/// Guards against a batch that starts before the soak time of the previous one is
/// over, and against a wave that does not end.
#[test]
fn a_wave_widens_after_each_soak() {
    let mut now = Instant::now();
    let mut wave = wave(now);
    let mut sizes = Vec::new();
    while wave.phase() == WavePhase::Widening {
        let batch = start_all(&mut wave, now);
        batch.iter().for_each(|i| wave.on_result(*i, true, now));
        assert_eq!(
            wave.next(now),
            None,
            "the next batch started before the soak time was over"
        );
        sizes.push(batch.len());
        now += WavePolicy::default().soak;
    }
    assert_eq!(sizes, [1, 2, 4, 3]);
    assert_eq!(wave.phase(), WavePhase::Done);
}

/// Guards against a wave without instances that never ends.
#[test]
fn an_empty_wave_is_done() {
    let wave = Wave::new([], WavePolicy::default(), Instant::now());
    assert_eq!(wave.phase(), WavePhase::Done);
}

/// Guards against a wave that continues after its canary failed, and against a
/// rollback that omits an instance that was still in progress.
#[test]
fn a_failed_canary_halts_and_everything_returns() {
    let mut now = Instant::now();
    let mut wave = wave(now);
    let canary = start_all(&mut wave, now);
    wave.on_result(canary[0], true, now);
    now += WavePolicy::default().soak;
    let batch = start_all(&mut wave, now);
    wave.on_result(batch[0], false, now);
    wave.on_result(canary[0], false, now);
    wave.on_result(canary[0], false, now);
    assert_eq!(wave.phase(), WavePhase::Halted);
    let text = wave.reason(Instance(9)).unwrap().to_string();
    assert_eq!(text, "waits: halted after 3 failures among 3 instances");
    wave.roll_back(now);
    let mut rolled_back = start_all(&mut wave, now);
    assert_eq!(rolled_back, [batch[0], canary[0]]);
    wave.on_result(batch[1], true, now);
    rolled_back.extend(start_all(&mut wave, now));
    assert_eq!(rolled_back.len(), 3);
    rolled_back
        .iter()
        .for_each(|i| wave.on_result(*i, true, now));
    assert_eq!(wave.phase(), WavePhase::Done);
}

/// Guards against a refused instance that is never retried, and against failures
/// after the watch time that halt the wave.
#[test]
fn a_refusal_is_retried_and_late_failures_do_not_count() {
    let now = Instant::now();
    let mut wave = wave(now);
    let first = wave.next(now).unwrap();
    let error = BudgetError::Floor { floor: 9, left: 8 };
    wave.on_refused(first, error);
    assert_eq!(wave.reason(first), Some(Reason::Budget(error)));
    assert_eq!(wave.next(now), Some(first));
    wave.on_result(first, true, now);
    wave.on_result(first, false, now + HOUR);
    assert_eq!(wave.phase(), WavePhase::Widening);
}
