//! Tests that the planner follows changes to the configuration and to the
//! platform's instances.

use std::time::Duration;

use async_io::Timer;

use crate::common::{
    check_safe,
    run,
    steps,
    text,
    text_without,
    ATTACH,
    REBOOT, //
};

/// Guards against a voluntary outage while an excluded data centre exhausts the
/// budget.
#[test]
fn a_data_centre_that_is_out_is_charged() {
    run(|mut world| async move {
        world.configure(&text(&[]), &["a"]).await;
        let planner = world.planner("one");
        let charged = "budget permits: 2 of 4 out, floor 3";
        world.until_plan(&planner, charged).await;
        Timer::after(Duration::from_millis(2000)).await;
        assert_eq!(world.observe().await.changes, []);
        let plan = world.until_plan(&planner, charged).await;
        let waiting = world.explain(&planner, "permits-0").await;
        println!("{plan}{waiting}");
        assert!(
            waiting.contains("have taken data centre a out"),
            "{waiting}"
        );
        let waiting = world.explain(&planner, "permits-2").await;
        println!("{waiting}");
        assert!(waiting.contains("; waits: the "), "{waiting}");

        world.configure(&text(&[]), &[]).await;
        world.check_round().await;
    });
}

/// Guards against an instance that stays in the pool of its former service, and
/// against a move that no planner finishes after its own is killed.
#[test]
fn an_instance_follows_the_text_to_another_pool() {
    run(|mut world| async move {
        let mut first = world.planner("first");
        world.check_round().await;
        let changes = world.observe().await.changes.len();
        world.configure(&text(&["permits-3"]), &[]).await;
        world
            .until("the drain", |seen| seen.changes.len() > changes)
            .await;
        first.kill();
        let _second = world.planner("second");
        world
            .until("the move", |seen| {
                let count = |pool: &str| {
                    let seen = seen.pools.iter().find(|seen| seen.pool == pool);
                    seen.map_or(0, |seen| seen.in_service)
                };
                count("permits") == 3 && count("sorting") == 5
            })
            .await;
        let seen = world.observe().await;
        check_safe(&seen);
        assert_eq!(seen.changes.last().map(|change| change.token), Some(2));
    });
}

/// Guards against a wave that stays halted forever because the failed instance
/// that halted it was removed.
#[test]
fn an_instance_that_is_gone_is_forgotten() {
    run(|mut world| async move {
        world.set_faults("permits-0", true, 0).await;
        let planner = world.planner("one");
        world
            .until("a failed reboot", |seen| {
                seen.changes.iter().any(|c| c.kind == REBOOT)
            })
            .await;
        world.remove("permits-0").await;
        world.configure(&text_without(&[], "permits-0"), &[]).await;
        world
            .until("the maintenance of sorting", |seen| {
                let steps = steps(seen);
                let is_back = |(name, steps): &(&String, &Vec<i32>)| {
                    name.starts_with("sorting") && steps.contains(&ATTACH)
                };
                steps.iter().filter(is_back).count() == 4
            })
            .await;
        let charged = "budget permits: 0 of 3 out, floor 3";
        world.until_plan(&planner, charged).await;
    });
}
