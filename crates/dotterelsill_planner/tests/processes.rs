//! Tests with processes that maintenance keeps every service at or above its
//! floor and maintains each instance exactly once, whatever happens to the
//! planners.

mod common;
mod operators;

use std::time::{
    Duration,
    Instant, //
};

use async_io::Timer;
use common::{
    run,
    steps,
    LEASE_MS,
    REBOOT, //
};
use dotterelsill_e2e::{
    Link,
    Mode, //
};
use dotterelsill_proto::platform::OrderKind;

/// Guards against maintenance that takes a service below its floor, and against
/// answers to operators that contradict the actual state.
#[test]
fn one_planner_maintains_each_instance_once() {
    run(|world| async move {
        let planner = world.planner("one");
        world.check_round().await;
        let plan = world.plan(&planner).await;
        println!("{plan}");
        assert!(
            plan.contains("budget permits: 0 of 4 out, floor 3"),
            "{plan}"
        );
        assert!(plan.contains("permits-0 (budget permits)"), "{plan}");
        let text = world.explain(&planner, "permits-0").await;
        println!("{text}");
        assert!(
            text.starts_with("in pool permits; due for maintenance"),
            "{text}"
        );
        let text = world.explain(&planner, "nobody").await;
        assert!(text.contains("neither the text nor the store"), "{text}");
    });
}

/// Guards against a move that is lost or started twice when the planner that
/// started it is killed.
#[test]
fn another_planner_resumes_after_a_kill() {
    run(|world| async move {
        let mut first = world.planner("first");
        world
            .until("a reboot", |seen| !seen.changes.is_empty())
            .await;
        first.kill();
        let _second = world.planner("second");
        world.check_round().await;
    });
}

/// Guards against a planner that continues to act after its lease has expired
/// while its process was stopped.
#[test]
fn a_frozen_planner_stops_acting() {
    run(|world| async move {
        let first = world.planner("first");
        world
            .until("a change", |seen| !seen.changes.is_empty())
            .await;
        first.freeze();
        let second = world.planner("second");
        world
            .until("a change by the second", |seen| {
                seen.changes.iter().any(|change| change.token > 1)
            })
            .await;
        first.resume();
        world.check_round().await;
        let log = first.log().join("\n");
        assert!(log.contains("planner_stops_acting"), "{log}");
        let plan = world.plan(&first).await;
        assert!(plan.contains("planner second at"), "{plan}");
        drop(second);
    });
}

/// Guards against a write or an order that took effect but is treated as one that
/// did not, because its response was lost.
#[test]
fn lost_answers_repeat_nothing() {
    run(|world| async move {
        world.lose_write_answers(6).await;
        for index in 0..4 {
            world
                .set_faults(&format!("permits-{index}"), false, 2)
                .await;
        }
        let _planner = world.planner("one");
        for _ in 0..6 {
            Timer::after(Duration::from_millis(150)).await;
            world.lose_write_answers(4).await;
        }
        world.check_round().await;
    });
}

/// Guards against two planners that act as the leader at the same time.
#[test]
fn one_of_two_planners_acts() {
    run(|world| async move {
        let first = world.planner("first");
        let second = world.planner("second");
        world.check_round().await;
        let seen = world.observe().await;
        let mut tokens: Vec<_> = seen.changes.iter().map(|change| change.token).collect();
        tokens.dedup();
        assert_eq!(tokens.len(), 1, "{tokens:?}");
        let in_charge = |log: Vec<String>| log.iter().any(|l| l.contains("planner_in_charge"));
        let both = in_charge(first.log()) && in_charge(second.log());
        assert!(!both, "both planners were in charge");
    });
}

/// Guards against a wave that continues while instances fail, also after another
/// planner has taken over, and against one that is never resumed.
#[test]
fn a_failing_instance_halts_the_wave() {
    run(|world| async move {
        for service in ["permits", "sorting"] {
            for index in 0..4 {
                world
                    .set_faults(&format!("{service}-{index}"), true, 0)
                    .await;
            }
        }
        let mut first = world.planner("first");
        world
            .until("a failed reboot", |seen| {
                seen.changes.iter().any(|c| c.kind == REBOOT)
            })
            .await;
        Timer::after(Duration::from_millis(1500)).await;
        let seen = world.observe().await;
        let taken: Vec<_> = steps(&seen).into_keys().collect();
        assert_eq!(taken.len(), 1, "{taken:?}");
        let halted = "maintenance halted, failed: ";
        let plan = world.until_plan(&first, halted).await;
        let text = world.explain(&first, &taken[0]).await;
        println!("{plan}{text}");
        assert!(text.contains("it has failed"), "{text}");
        let text = world.explain(&first, "sorting-3").await;
        assert!(text.contains("maintenance is halted after"), "{text}");

        first.kill();
        let _second = world.planner("second");
        Timer::after(Duration::from_millis(2500)).await;
        let seen = world.observe().await;
        assert_eq!(steps(&seen).len(), 1, "{seen:?}");

        for service in ["permits", "sorting"] {
            for index in 0..4 {
                world
                    .set_faults(&format!("{service}-{index}"), false, 0)
                    .await;
            }
        }
        world.check_round().await;
    });
}

/// Guards against a planner that continues to act while it reaches the platform
/// but not the store.
#[test]
fn a_planner_without_store_stops_acting() {
    run(|world| async move {
        let link = Link::new(world.store.address(""));
        let first = world.planner_through("first", link.address(), LEASE_MS);
        world
            .until("a change", |seen| !seen.changes.is_empty())
            .await;
        link.set(Mode::Silent);
        let cut_at = Instant::now();
        let _second = world.planner("second");
        world
            .until("the end of the lease", |_| {
                let log = first.log();
                log.iter().any(|l| l.contains("planner_stops_acting"))
            })
            .await;
        let stopped_ms = cut_at.elapsed().as_millis();
        println!("stopped {stopped_ms} ms after the cut");
        assert!(stopped_ms < 1500, "stopped after {stopped_ms} ms");
        world
            .until("a change by the second", |seen| {
                seen.changes.iter().any(|change| change.token > 1)
            })
            .await;
        link.set(Mode::Pass);
        world.check_round().await;
    });
}

/// Guards against a planner that does not release the lease on shutdown, so that
/// the next one waits until it expires.
#[test]
fn a_planner_that_shuts_down_gives_the_lease_up() {
    run(|world| async move {
        let mut first = world.planner_through("first", world.store.address(""), 15_000);
        world
            .until("a change", |seen| !seen.changes.is_empty())
            .await;
        first.terminate();
        assert!(first.wait().success());
        let begin = Instant::now();
        let _second = world.planner("second");
        world
            .until("a change by the second", |seen| {
                seen.changes.iter().any(|change| change.token > 1)
            })
            .await;
        let waited_ms = begin.elapsed().as_millis();
        println!("second acts after {waited_ms} ms");
        assert!(waited_ms < 7000, "waited {waited_ms} ms");
        world.check_round().await;
    });
}

/// Guards against a stand-in platform that accepts overtaken orders or does not
/// count harmful ones; the other tests rely on both.
#[test]
fn the_stand_in_checks_orders() {
    run(|world| async move {
        let instance = "permits-0";
        assert!(world.order(instance, OrderKind::Reboot, 7).await);
        assert!(!world.order(instance, OrderKind::Drain, 6).await);
        assert!(world.order(instance, OrderKind::Drain, 8).await);
        let seen = world.observe().await;
        assert_eq!((seen.harmful, seen.overtaken), (1, 1), "{seen:?}");
        assert_eq!(seen.pools[0].least_in_service, 3, "{seen:?}");
    });
}
