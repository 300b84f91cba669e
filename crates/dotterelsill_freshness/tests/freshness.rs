//! Tests for the freshness limit, merging of proofs and relayed proofs.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_freshness::{
    Drift,
    Freshness,
    Limits,
    Proof,
    ProofUpdate, //
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against measuring freshness from the arrival of the response instead
/// of the sending of the read, and against a proof that is still fresh after
/// exactly 3 s.
#[test]
fn fresh_for_three_seconds_from_sending() {
    let sent_at = Instant::now();
    let mut freshness = Freshness::new(Limits::default());
    assert!(!freshness.is_fresh(sent_at));
    assert!(freshness.should_ask_peer(sent_at));
    freshness.on_store_read(sent_at, 1);
    assert!(freshness.is_fresh(sent_at + 2_999 * MS));
    assert!(!freshness.is_fresh(sent_at + 3_000 * MS));
    assert!(!freshness.should_ask_peer(sent_at + 1_500 * MS));
    assert!(freshness.should_ask_peer(sent_at + 1_501 * MS));
}

/// Guards against a late response or an outdated replica that lowers the
/// revision or extends the freshness, and against stale reads that are not
/// counted.
#[test]
fn stale_read_proves_nothing_and_is_counted() {
    let start = Instant::now();
    let mut freshness = Freshness::new(Limits::default());
    freshness.on_store_read(start, 5);
    let update = freshness.on_store_read(start + 100 * MS, 4);
    assert_eq!(update, ProofUpdate::Stale);
    assert_eq!(freshness.on_store_read(start, 5), ProofUpdate::Unchanged);
    let expected = Proof {
        at: start,
        revision: 5,
    };
    assert_eq!(freshness.proof(), Some(expected));
    assert_eq!(freshness.take_stale_reads(), 1);
    assert_eq!(freshness.take_stale_reads(), 0);
}

/// Guards against a relayed proof whose age or clock drift is not subtracted.
#[test]
fn relay_subtracts_age_and_drift() {
    let asked_at = Instant::now() + 10_000 * MS;
    let mut freshness = Freshness::new(Limits::default());
    freshness.on_relay(asked_at, 3, 1_000 * MS);
    let at = freshness.proof().map(|proof| proof.at);
    assert!(at.is_some_and(|at| at <= asked_at - 1_001 * MS));
    assert!(at.is_some_and(|at| at >= asked_at - 1_002 * MS));
}

/// Guards against a panic when the age of a relayed proof overflows an instant.
#[test]
fn relay_with_absurd_age_is_ignored() {
    let mut freshness = Freshness::new(Limits::default());
    let update = freshness.on_relay(Instant::now(), 3, Duration::MAX);
    assert_eq!(update, ProofUpdate::Unchanged);
    assert_eq!(freshness.proof(), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a merged proof that its reads do not support when
    /// responses arrive late, duplicated and in any order: no write completed
    /// before the instant of the proof may have a higher revision.
    #[test]
    fn merged_proof_holds_for_every_history(
        writes in prop::collection::vec(0_u64..1_000, 0..8),
        reads in prop::collection::vec((0_u64..1_000, 0_u64..50, any::<bool>()), 1..16),
    ) {
        let start = Instant::now() + 10_000 * MS;
        let at = |ms: u64| start + Duration::from_millis(ms);
        let revision_at = |ms: u64| writes.iter().filter(|&&write| write < ms).count() as u64;
        let mut freshness = Freshness::new(Limits::default());
        for (sent_ms, delay_ms, relayed) in reads {
            let revision = revision_at(sent_ms + delay_ms);
            if relayed {
                let asked_at = at(sent_ms + 2 * delay_ms);
                let age = Duration::from_millis(2 * delay_ms);
                freshness.on_relay(asked_at, revision, age);
            } else {
                freshness.on_store_read(at(sent_ms), revision);
            }
            let proof = freshness.proof().expect("a read was added");
            let proven_ms = proof.at.saturating_duration_since(start).as_millis() as u64;
            prop_assert!(revision_at(proven_ms) <= proof.revision);
        }
    }

    /// Guards against a drift margin that is rounded down.
    #[test]
    fn drift_margin_covers_the_rate(nanos in 0_u64..10_000_000_000, per_mille in 1_u32..100) {
        let drift = Drift { per_mille };
        let margin = drift.checked_margin(Duration::from_nanos(nanos)).expect("in range");
        let exact = u128::from(nanos) * u128::from(per_mille);
        prop_assert!(margin.as_nanos() * 1000 >= exact);
    }
}
