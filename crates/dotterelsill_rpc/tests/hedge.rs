//! Hedged calls.

use std::{
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::{
    block_on,
    Timer, //
};
use dotterelsill_rpc::{
    hedged,
    Attempt, //
};

const DELAY: Duration = Duration::from_millis(50);

fn silent<'a>() -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::pending())
}

fn failing<'a>(error: &'static str) -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::ready(Err(error)))
}

fn answering<'a>(value: u32) -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::ready(Ok(value)))
}

/// Guards against a call that waits for silent ways in turn.
#[test]
fn silent_ways_are_passed_over() {
    let begin = Instant::now();
    let result = block_on(hedged([silent(), silent(), answering(3)], DELAY));
    assert_eq!(result, Ok(3));
    assert!(begin.elapsed() >= 2 * DELAY);
    assert!(begin.elapsed() < Duration::from_secs(2));
}

/// Guards against a wait before the next way when one has failed.
#[test]
fn next_way_begins_at_once_after_a_failure() {
    let hour = Duration::from_secs(3600);
    let result = block_on(hedged([failing("a"), failing("b"), answering(3)], hour));
    assert_eq!(result, Ok(3));
}

/// Guards against calls that go over further ways though the first one answers.
#[test]
fn further_ways_are_not_used_without_need() {
    let begun = AtomicUsize::new(0);
    let way = |value| -> Attempt<'_, u32, &'static str> {
        let begun = &begun;
        Box::pin(async move {
            begun.fetch_add(1, Ordering::Relaxed);
            Timer::after(DELAY / 5).await;
            Ok(value)
        })
    };
    assert_eq!(block_on(hedged([way(1), way(2), way(3)], DELAY)), Ok(1));
    assert_eq!(begun.load(Ordering::Relaxed), 1);
}

/// Guards against an answer of a slow way that is lost when a later one fails.
#[test]
fn slow_way_answers_after_a_later_one_has_failed() {
    let slow: Attempt<'_, u32, &'static str> = Box::pin(async {
        Timer::after(3 * DELAY).await;
        Ok(1)
    });
    assert_eq!(block_on(hedged([slow, failing("b")], DELAY)), Ok(1));
}

/// Guards against a wait without an end when all ways have failed.
#[test]
fn last_error_is_returned() {
    let result = block_on(hedged([failing("a"), failing("b")], DELAY));
    assert_eq!(result, Err("b"));
}
