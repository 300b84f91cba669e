//! Tests of retries, hedges, deadlines and unresponsive connections.

mod common;

use std::{
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc, //
    },
    time::Instant, //
};

use common::{
    ms,
    s, //
};
use dotterelsill_routing::{
    may_reuse_for_unrepeatable,
    Connections,
    Deadline,
    HedgeDecision,
    InFlightRequest,
    LatencyHistogram,
    RetryBudget, //
};

/// Guards against a retry storm when every request of several threads fails and
/// asks for a retry.
#[test]
fn retries_stay_within_a_tenth() {
    let start = Instant::now();
    let budget = RetryBudget::new(start);
    let granted = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for number in 0..5000 {
                    let now = start + ms(number);
                    budget.on_request(now);
                    granted.fetch_add(u32::from(budget.try_retry(now)), Ordering::Relaxed);
                }
            });
        }
    });
    let granted = granted.into_inner();
    assert!((1500..=2000).contains(&granted), "{granted}");
}

/// Guards against old requests that still allow retries, also after the seconds
/// of the buckets have wrapped around to 0.
#[test]
fn old_requests_feed_no_retries() {
    let start = Instant::now();
    let budget = RetryBudget::new(start);
    for begin in [0, 5000, (1 << 24) - 5, (1 << 24) + 100] {
        let now = start + s(begin);
        assert!(!budget.try_retry(now), "{begin} s");
        (0..50).for_each(|_| budget.on_request(now));
        let granted = (0..50).filter(|_| budget.try_retry(now + s(9)));
        assert_eq!(granted.count(), 5, "{begin} s");
        assert!(!budget.try_retry(now + s(20)), "{begin} s");
    }
}

/// Guards against a paused thread that resumes with an old second and erases
/// the counts of later seconds.
#[test]
fn paused_thread_keeps_later_counts() {
    let start = Instant::now();
    let budget = RetryBudget::new(start);
    (0..10).for_each(|_| budget.on_request(start + s(13)));
    assert!(budget.try_retry(start + s(13)));
    budget.on_request(start + s(3));
    assert!(!budget.try_retry(start + s(3)));
    assert!(!budget.try_retry(start + s(13)));
}

/// Returns a histogram of 100 answers after 20 ms.
fn known_latency() -> LatencyHistogram {
    let latency = LatencyHistogram::default();
    (0..100).for_each(|_| latency.record(ms(20)));
    latency
}

/// Guards against a second hedge of a request, a hedge of an unrepeatable
/// request, a hedge that exceeds the budget and one that is sent too early.
#[test]
fn hedge_goes_out_once_and_late() {
    let now = Instant::now();
    let budget = RetryBudget::new(now);
    (0..10).for_each(|_| budget.on_request(now));
    let latency = known_latency();
    let request = InFlightRequest {
        sent_at: now,
        deadline: Deadline::new(now, s(1), None),
        repeatable: true,
        hedged: false,
    };
    let decide =
        |request: &InFlightRequest, at| HedgeDecision::decide(request, &latency, &budget, at);
    let HedgeDecision::WaitUntil(due) = decide(&request, now) else {
        panic!("the hedge is sent without a delay");
    };
    assert!(due >= now + ms(20) && due <= now + ms(30));
    let unrepeatable = InFlightRequest {
        repeatable: false,
        ..request
    };
    assert_eq!(decide(&unrepeatable, due), HedgeDecision::Never);
    let hedged = InFlightRequest {
        hedged: true,
        ..request
    };
    assert_eq!(decide(&hedged, due), HedgeDecision::Never);
    assert_eq!(decide(&request, due), HedgeDecision::Send);
    assert_eq!(
        decide(&request, due),
        HedgeDecision::Never,
        "the budget is spent"
    );
}

/// Guards against a hedging delay that ignores slow answers, or stays long
/// after answers have become fast again.
#[test]
fn hedge_delay_follows_the_latency() {
    let latency = known_latency();
    let p95 = |latency: &LatencyHistogram| latency.quantile(95).unwrap();
    assert!(p95(&latency) >= ms(20) && p95(&latency) <= ms(25));
    (0..1000).for_each(|_| latency.record(ms(400)));
    assert!(p95(&latency) >= ms(400) && p95(&latency) <= ms(500));
    (0..30_000).for_each(|_| latency.record(ms(1)));
    assert!(p95(&latency) <= ms(2));
    latency.record(s(1_000_000));
    assert!(LatencyHistogram::default().quantile(95).is_none());
}

/// Guards against an upstream that keeps running a request after its caller has
/// given up.
#[test]
fn upstream_deadline_is_within_the_callers() {
    let now = Instant::now();
    let deadline = Deadline::new(now, s(2), Some(s(5)));
    assert_eq!(deadline.at(), now + s(2));
    assert_eq!(deadline.upstream_ms(now, ms(3)), Some(1994));
    assert_eq!(deadline.upstream_ms(now + ms(1994), ms(3)), None);
    assert_eq!(deadline.remaining(now + s(3)), None);
    assert_eq!(
        Deadline::new(now, s(2), Some(ms(7))).upstream_ms(now, ms(3)),
        Some(1)
    );
}

/// Guards against reuse of connections that were opened before an unresponsive
/// one, and against more connections than the upstream accepts.
#[test]
fn silent_connection_takes_older_ones_with_it() {
    let connections = Arc::new(Connections::new(3));
    let older = connections.try_open().unwrap();
    let unresponsive = connections.try_open().unwrap();
    let newer = connections.try_open().unwrap();
    assert!(connections.try_open().is_none());
    unresponsive.mark_unresponsive();
    older.mark_unresponsive();
    assert!(!older.is_usable() && !unresponsive.is_usable() && newer.is_usable());
    drop(older);
    assert_eq!(connections.open(), 2);
    assert!(connections.try_open().unwrap().is_usable());
    let now = Instant::now();
    assert!(may_reuse_for_unrepeatable(now, now + s(1)));
    assert!(!may_reuse_for_unrepeatable(now, now + ms(1001)));
}
