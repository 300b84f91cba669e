//! Tests changes of the configuration while entries are cut off or frozen.

use std::time::{
    Duration,
    Instant, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    Fleet,
    Mode, //
};
use dotterelsill_proto::{
    peer::{
        ChangeState,
        GiveKeyRequest,
        SetDataCentreRequest, //
    },
    store::SetFaultsRequest, //
};
use dotterelsill_rpc::Tasks;

const KEY: &str = "key-of-red";

/// Maximum time until an accepted change is in force on every entry.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

/// Longer than the lease of 5 s and the freshness of 3 s.
const EXPIRY_WAIT: Duration = Duration::from_secs(6);

/// Shorter than the lease and than the freshness.
const SHORT_PAUSE: Duration = Duration::from_millis(2500);

async fn start(isolation_limit_s: u32, tasks: &Tasks) -> Fleet {
    let fleet = Fleet::start(2, 1, tasks);
    let text = fleet.configuration(isolation_limit_s);
    fleet.apply(0, &text).await;
    let given = fleet.give_key(0, "red", KEY).await;
    fleet.await_revision(given.revision).await;
    // The entries register the isolation limit with their next lease renewal.
    Timer::after(Duration::from_secs(2)).await;
    fleet
}

fn set_entry_links(fleet: &Fleet, index: usize, mode: Mode) {
    fleet.entries[index].store_link.set(mode);
    for entry in &fleet.entries {
        entry.peer_link.set(mode);
    }
}

async fn send(fleet: &Fleet, index: usize, path: &str) -> (u16, String) {
    let answer = fleet.caller(index, Some(KEY)).send(path, "work").await;
    (answer.status, answer.outcome)
}

fn not_run(status: u16) -> (u16, String) {
    (status, "not_run".to_owned())
}

fn answered() -> (u16, String) {
    (200, "answered".to_owned())
}

/// Guards against an entry that accepts a key after the withdrawal of the key was
/// reported in force.
#[test]
fn withdrawn_key_is_refused_everywhere_once_in_force() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(60, &tasks).await;
        assert_eq!(send(&fleet, 1, "/q/keyed/x").await, answered());
        let begin = Instant::now();
        let change = fleet.withdraw_key(0, KEY).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        assert!(begin.elapsed() < IN_FORCE_LIMIT);
        for index in 0..2 {
            assert_eq!(send(&fleet, index, "/q/keyed/x").await, not_run(401));
        }
        tasks.stop();
    });
}

/// Guards against an entry that is cut off from the store only and loses its freshness
/// or its lease, or misses new revisions, although a peer could relay them.
#[test]
fn entry_without_store_stays_fresh_through_its_peer() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(0, &tasks).await;
        fleet.entries[1].store_link.set(Mode::Cut);
        Timer::after(EXPIRY_WAIT).await;
        assert_eq!(send(&fleet, 1, "/q/keyed/x").await, answered());
        assert_eq!(fleet.status(1).await.authority, "fresh");
        let change = fleet.withdraw_key(0, KEY).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        assert_eq!(send(&fleet, 1, "/q/keyed/x").await, not_run(401));
        tasks.stop();
    });
}

/// Guards against a data centre that stops repeatable work when it is cut off, against
/// a change that is reported in force while an isolated entry works under the older
/// revision, and against an entry that keeps the older revision after it is connected
/// again.
#[test]
fn isolated_entry_serves_and_holds_back_acceptance_until_it_heals() {
    for mode in [Mode::Cut, Mode::Silent] {
        dotterelsill_rpc::run(1, |tasks| async move {
            let fleet = start(60, &tasks).await;
            set_entry_links(&fleet, 1, mode);
            Timer::after(EXPIRY_WAIT).await;
            assert_eq!(fleet.status(1).await.authority, "isolated");
            assert_eq!(send(&fleet, 1, "/q/open/x").await, answered());
            assert_eq!(send(&fleet, 1, "/q/keyed/x").await, answered());
            assert_eq!(send(&fleet, 1, "/q/once/x").await.1, "not_run");

            let change = fleet.withdraw_key(0, KEY).await;
            assert_eq!(change.state(), ChangeState::Stored, "{change:?}");
            assert_eq!(change.unconfirmed.len(), 1);
            assert_eq!(change.unconfirmed[0].instance, "entry-b");
            assert!(change.unconfirmed[0].at_most_s <= 70);

            set_entry_links(&fleet, 1, Mode::Pass);
            fleet.await_revision(change.revision).await;
            assert_eq!(send(&fleet, 1, "/q/keyed/x").await, not_run(401));
            tasks.stop();
        });
    }
}

/// Guards against an entry with an isolation limit of 0 that starts work under an older
/// revision, and against a change that such an entry keeps from coming into force in
/// time.
#[test]
fn without_isolation_a_change_is_in_force_in_time_despite_a_cut() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(0, &tasks).await;
        set_entry_links(&fleet, 1, Mode::Silent);
        let begin = Instant::now();
        let change = fleet.withdraw_key(0, KEY).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        assert!(begin.elapsed() < IN_FORCE_LIMIT, "{:?}", begin.elapsed());
        assert_eq!(send(&fleet, 1, "/q/keyed/x").await.1, "not_run");
        tasks.stop();
    });
}

/// Guards against an entry that was paused for longer than its lease and starts work
/// under the older revision when it resumes.
#[test]
fn paused_entry_checks_its_authority_before_it_starts_work() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(0, &tasks).await;
        fleet.entries[1].process.freeze();
        let change = fleet.withdraw_key(0, KEY).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        let caller = fleet.caller(1, Some(KEY));
        let (answer, ()) = futures_lite::future::zip(caller.send("/q/keyed/x", "work"), async {
            Timer::after(Duration::from_millis(200)).await;
            fleet.entries[1].process.resume();
        })
        .await;
        assert_eq!(answer.outcome, "not_run", "{answer:?}");
        fleet.await_revision(change.revision).await;
        tasks.stop();
    });
}

/// Guards against a change that fails, or whose outcome the operator does not learn,
/// because the entry that makes it is paused for less than its lease.
#[test]
fn change_outlasts_a_short_pause_of_its_entry() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(60, &tasks).await;
        let before = fleet.status(0).await.revision;
        fleet.entries[0].process.freeze();
        let begin = Instant::now();
        let pause = async {
            Timer::after(SHORT_PAUSE).await;
            fleet.entries[0].process.resume();
        };
        let change = fleet.set_data_centre(0, "b", true);
        let (change, ()) = futures_lite::future::zip(change, pause).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        assert_eq!(change.revision, before + 1);
        assert!(begin.elapsed() < IN_FORCE_LIMIT, "{:?}", begin.elapsed());
        tasks.stop();
    });
}

/// Guards against a change that is reported as refused or made twice because
/// the store's answer was lost after the write took effect.
#[test]
fn change_with_lost_store_answers_is_made_once() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(60, &tasks).await;
        for lost in 1..=4 {
            let before = fleet.status(0).await.revision;
            fleet
                .set_store_faults(SetFaultsRequest {
                    lose_write_answers: lost,
                    ..SetFaultsRequest::default()
                })
                .await;
            let change = fleet.set_data_centre(0, "b", lost % 2 == 1).await;
            assert_eq!(change.state(), ChangeState::InForce, "{lost}: {change:?}");
            assert_eq!(change.revision, before + 1, "{lost}");
        }
        tasks.stop();
    });
}

/// Guards against concurrent changes by two operators that overwrite each other, and
/// against work that starts in a data centre after its exclusion.
#[test]
fn racing_operators_lose_no_change() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = start(60, &tasks).await;
        let mut first = fleet.operator(0);
        let mut second = fleet.operator(1);
        let out = SetDataCentreRequest {
            write_id: "race-out".to_owned(),
            data_centre: "a".to_owned(),
            out: true,
        };
        let give = GiveKeyRequest {
            write_id: "race-give".to_owned(),
            team: "blue".to_owned(),
            sha256: vec![7; 32],
        };
        let (out, give) =
            futures_lite::future::zip(first.set_data_centre(out), second.give_key(give)).await;
        let out = out.expect("the entry answers").into_inner();
        let give = give.expect("the entry answers").into_inner();
        assert_eq!(out.state(), ChangeState::InForce, "{out:?}");
        assert_eq!(give.state(), ChangeState::InForce, "{give:?}");
        assert_ne!(out.revision, give.revision);
        for index in 0..2 {
            assert_eq!(fleet.status(index).await.data_centres_out, ["a"]);
        }
        fleet.upstream_links[1].set(Mode::Cut);
        // Only the upstream in data centre a could still answer. The link accepts and
        // closes connections, so the request may have been sent and its outcome may be
        // unknown.
        assert_ne!(send(&fleet, 0, "/q/keyed/x").await.1, "answered");
        let back = fleet.set_data_centre(1, "a", false).await;
        assert_eq!(back.state(), ChangeState::InForce, "{back:?}");
        tasks.stop();
    });
}
