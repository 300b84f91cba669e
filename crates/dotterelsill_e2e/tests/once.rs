//! Tests that non-repeatable work runs at most once, and that work refused as not run
//! did not run.

use std::time::{
    Duration,
    SystemTime, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    Answer,
    Fleet,
    Mode, //
};
use dotterelsill_proto::store::SetFaultsRequest;
use dotterelsill_rpc::Tasks;
use futures_lite::future::zip;

const KEY: &str = "key-of-blue";

async fn start(data_centres: usize, service_time_ms: u32, tasks: &Tasks) -> Fleet {
    let fleet = Fleet::start(data_centres, service_time_ms, tasks);
    let text = fleet.configuration(60);
    fleet.apply(0, &text).await;
    let given = fleet.give_key(0, "blue", KEY).await;
    fleet.await_revision(given.revision).await;
    // Entries list members, leases and credits within two rounds.
    Timer::after(Duration::from_secs(4)).await;
    fleet
}

async fn refund(fleet: &Fleet, index: usize, identifier: &str) -> Answer {
    let issued_at_s = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("the clock is past the epoch")
        .as_secs()
        .to_string();
    let headers = [
        ("idempotency-key", identifier),
        ("idempotency-issued-at", issued_at_s.as_str()),
    ];
    let caller = fleet.caller(index, Some(KEY));
    caller.send_with("/q/once/x", identifier, &headers).await
}

/// Sends a refund until its outcome is no longer `not_run`, and checks that refused
/// attempts did not run.
async fn refund_until_settled(fleet: &Fleet, index: usize, identifier: &str) -> Answer {
    for _ in 0..60 {
        let runs_before = fleet.run_count(identifier).await;
        let answer = refund(fleet, index, identifier).await;
        if answer.outcome != "not_run" {
            return answer;
        }
        assert_eq!(fleet.run_count(identifier).await, runs_before, "{answer:?}");
        Timer::after(Duration::from_millis(250)).await;
    }
    panic!("{identifier} is neither answered nor unknown");
}

/// Guards against a retry, through the same entry or another one, that runs the work
/// again.
#[test]
fn retries_get_the_first_answer() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(3, 1, &tasks).await;
        for number in 0..8 {
            let identifier = format!("refund-{number}");
            for index in [0, 1, 2, 0] {
                let answer = refund(&fleet, index, &identifier).await;
                assert_eq!(answer.outcome, "answered", "{answer:?}");
                assert_eq!(answer.body, identifier.as_bytes());
            }
            assert_eq!(fleet.run_count(&identifier).await, 1);
        }
        tasks.stop();
    });
}

/// Guards against two runs when concurrent attempts are sent through two entries.
#[test]
fn racing_attempts_run_once() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(2, 300, &tasks).await;
        for number in 0..4 {
            let identifier = format!("race-{number}");
            let (one, other) = zip(
                refund(&fleet, 0, &identifier),
                refund(&fleet, 1, &identifier),
            )
            .await;
            assert_eq!(one.outcome, "answered", "{one:?}");
            assert_eq!(other.outcome, "answered", "{other:?}");
            assert_eq!(fleet.run_count(&identifier).await, 1);
        }
        tasks.stop();
    });
}

/// Guards against a second run after the entry that started the first one was killed
/// before it could answer.
#[test]
fn retry_after_the_claimant_was_killed_is_unknown() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let mut fleet = start(2, 1000, &tasks).await;
        let caller = fleet.caller(0, Some(KEY));
        let issued_at_s = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .expect("the clock is past the epoch")
            .as_secs()
            .to_string();
        let headers = [
            ("idempotency-key", "killed"),
            ("idempotency-issued-at", issued_at_s.as_str()),
        ];
        let (first, ()) = zip(caller.send_with("/q/once/x", "killed", &headers), async {
            Timer::after(Duration::from_millis(500)).await;
            fleet.entries[0].process.kill();
        })
        .await;
        assert_eq!(first.outcome, "broken");
        let retry = refund_until_settled(&fleet, 1, "killed").await;
        assert_eq!(retry.outcome, "unknown", "{retry:?}");
        assert_eq!(fleet.run_count("killed").await, 1);
        tasks.stop();
    });
}

/// Guards against a run without a claim while the store is down, and against a refusal
/// that makes the identifier unusable.
#[test]
fn store_outage_refuses_and_the_identifier_stays_usable() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(2, 1, &tasks).await;
        let outage = |outage| SetFaultsRequest {
            outage,
            ..SetFaultsRequest::default()
        };
        fleet.set_store_faults(outage(true)).await;
        let refused = refund(&fleet, 0, "outage").await;
        assert_eq!(refused.outcome, "not_run", "{refused:?}");
        assert_eq!(fleet.run_count("outage").await, 0);
        fleet.set_store_faults(outage(false)).await;
        let answer = refund_until_settled(&fleet, 1, "outage").await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        assert_eq!(fleet.run_count("outage").await, 1);
        tasks.stop();
    });
}

/// Guards against a claim that is granted twice, and against a refusal as not run of
/// work that ran, when answers of the store are lost after the writes took effect.
#[test]
fn lost_store_answers_cause_no_second_run() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(2, 1, &tasks).await;
        for lost in 1..=6 {
            let identifier = format!("lost-{lost}");
            let faults = SetFaultsRequest {
                lose_write_answers: lost,
                ..SetFaultsRequest::default()
            };
            fleet.set_store_faults(faults).await;
            let answer = refund_until_settled(&fleet, 0, &identifier).await;
            let retry = refund_until_settled(&fleet, 1, &identifier).await;
            assert_eq!(answer.outcome, "answered", "{answer:?}");
            assert_eq!(retry.outcome, "answered", "{retry:?}");
            assert_eq!(fleet.run_count(&identifier).await, 1);
        }
        tasks.stop();
    });
}

/// Guards against an owner that lost its buckets while it was frozen and still grants
/// claims after it resumes, and against a claimant that runs work after its authority
/// has ended.
#[test]
fn frozen_entry_causes_no_second_run() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(2, 1, &tasks).await;
        // Afterwards both entries own buckets.
        for number in 0..8 {
            refund_until_settled(&fleet, number % 2, &format!("warm-{number}")).await;
        }
        fleet.entries[0].process.freeze();
        let frozen = async {
            let mut answers = Vec::new();
            for number in 0..4 {
                answers.push(refund(&fleet, 0, &format!("frozen-{number}")).await);
            }
            answers
        };
        let elsewhere = async {
            Timer::after(Duration::from_secs(8)).await;
            for number in 0..4 {
                let identifier = format!("frozen-{number}");
                let answer = refund_until_settled(&fleet, 1, &identifier).await;
                assert_eq!(answer.outcome, "answered", "{answer:?}");
            }
            fleet.entries[0].process.resume();
        };
        let (answers, ()) = zip(frozen, elsewhere).await;
        for (number, answer) in answers.iter().enumerate() {
            let runs = fleet.run_count(&format!("frozen-{number}")).await;
            assert_eq!(runs, 1, "{answer:?}");
        }
        tasks.stop();
    });
}

/// Guards against running non-repeatable work in a data centre that is cut off.
#[test]
fn isolated_entry_refuses_as_not_run() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(2, 1, &tasks).await;
        fleet.entries[1].store_link.set(Mode::Silent);
        for entry in &fleet.entries {
            entry.peer_link.set(Mode::Silent);
        }
        Timer::after(Duration::from_secs(4)).await;
        let refused = refund(&fleet, 1, "isolated").await;
        assert_eq!(refused.outcome, "not_run", "{refused:?}");
        assert_eq!(fleet.run_count("isolated").await, 0);
        tasks.stop();
    });
}

/// Guards against a claim that is granted by an instance of another fleet, which now
/// has the address of a former peer: such a claim is missing from this fleet's log.
#[test]
fn other_fleet_at_the_address_of_a_peer_grants_no_claim() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let (mut fleet, other) = zip(start(2, 1, &tasks), start(2, 1, &tasks)).await;
        let gone = &mut fleet.entries[1];
        gone.process.kill();
        let address = other.entries[1].process.address("listen_peers");
        gone.peer_link.set_target(address);
        for number in 0..8 {
            refund(&fleet, 0, &format!("moved-{number}")).await;
        }
        fleet.entries[1] = fleet.start_entry(1);
        for number in 0..8 {
            let identifier = format!("moved-{number}");
            refund_until_settled(&fleet, 1, &identifier).await;
            assert_eq!(fleet.run_count(&identifier).await, 1, "{identifier}");
        }
        tasks.stop();
    });
}
