//! Order and timing of the attempts of hedged calls.

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

fn unresponsive<'a>() -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::pending())
}

fn failing<'a>(error: &'static str) -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::ready(Err(error)))
}

fn succeeding<'a>(value: u32) -> Attempt<'a, u32, &'static str> {
    Box::pin(std::future::ready(Ok(value)))
}

/// Guards against a call that waits for each unresponsive attempt before it makes the
/// next one.
#[test]
fn unresponsive_attempts_are_hedged() {
    let start = Instant::now();
    let result = block_on(hedged(
        [unresponsive(), unresponsive(), succeeding(3)],
        DELAY,
    ));
    assert_eq!(result, Ok(3));
    assert!(start.elapsed() >= 2 * DELAY);
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against a delay before the next attempt after a failure.
#[test]
fn next_attempt_starts_at_once_after_a_failure() {
    let delay = Duration::from_secs(3600);
    let result = block_on(hedged([failing("a"), failing("b"), succeeding(3)], delay));
    assert_eq!(result, Ok(3));
}

/// Guards against further attempts although the first one succeeds within the delay.
#[test]
fn further_attempts_are_not_made_without_need() {
    let started = AtomicUsize::new(0);
    let attempt = |value| -> Attempt<'_, u32, &'static str> {
        let started = &started;
        Box::pin(async move {
            started.fetch_add(1, Ordering::Relaxed);
            Timer::after(DELAY / 5).await;
            Ok(value)
        })
    };
    assert_eq!(
        block_on(hedged([attempt(1), attempt(2), attempt(3)], DELAY)),
        Ok(1)
    );
    assert_eq!(started.load(Ordering::Relaxed), 1);
}

/// Guards against a slow attempt whose result is lost when a later one fails.
#[test]
fn slow_attempt_succeeds_after_a_later_one_has_failed() {
    let slow: Attempt<'_, u32, &'static str> = Box::pin(async {
        Timer::after(3 * DELAY).await;
        Ok(1)
    });
    assert_eq!(block_on(hedged([slow, failing("b")], DELAY)), Ok(1));
}

/// Guards against an endless wait after all attempts have failed.
#[test]
fn last_error_is_returned() {
    let result = block_on(hedged([failing("a"), failing("b")], DELAY));
    assert_eq!(result, Err("b"));
}
