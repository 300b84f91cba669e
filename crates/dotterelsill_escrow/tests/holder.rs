//! Tests of the decisions of a holder and of reclaiming.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_escrow::{
    Credit,
    Holder,
    Incarnation,
    LeaseState,
    Ledger,
    MemberState,
    Operation,
    OperationKind,
    Policy,
    ReclaimLimits,
    ReclaimTracker, //
};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn holder() -> Holder {
    Holder::new(A, Policy::BASIC)
}

/// Lets a holder take credits for one waiting request, and returns the operation
/// and the new record.
fn take(holder: &mut Holder, version: u64, ledger: &Ledger) -> (Operation, Ledger) {
    let operation = holder
        .next_operation(version, ledger, 1, Instant::now())
        .expect("a holder without credits asks for one");
    let next = ledger.apply(A, &operation);
    (operation, next.expect("the ledger has a free credit"))
}

/// Lets a holder take all free credits and start a request on each of them.
fn take_all(
    holder: &mut Holder,
    mut version: u64,
    mut ledger: Ledger,
) -> (u64, Ledger, Vec<Credit>) {
    let mut running = Vec::new();
    while ledger.free() > 0 {
        (_, ledger) = take(holder, version, &ledger);
        version += 1;
        holder.on_record(version, &ledger);
        running.extend(std::iter::from_fn(|| holder.credits().try_start()));
    }
    (version, ledger, running)
}

/// Guards against starting requests on credits before the record shows that they
/// were taken.
#[test]
fn a_take_counts_only_once_it_is_in_the_record() {
    let (mut holder, ledger) = (holder(), Ledger::new(4, 1).unwrap());
    assert!(holder.credits().try_start().is_none());
    let (_, taken) = take(&mut holder, 1, &ledger);
    assert!(holder.credits().try_start().is_none());
    holder.on_record(2, &taken);
    let credit = holder.credits().try_start();
    assert!(credit.is_some() && holder.credits().try_start().is_none());
    drop(credit);
    assert!(holder.credits().try_start().is_some());
}

/// Guards against taking credits twice after the answer to the first write was
/// lost.
#[test]
fn a_lost_answer_is_recognised_by_its_number() {
    let (mut holder, ledger) = (holder(), Ledger::new(4, 1).unwrap());
    let (first, taken) = take(&mut holder, 1, &ledger);
    let now = Instant::now();
    assert_eq!(holder.next_operation(1, &ledger, 1, now), None);
    holder.on_write_failed();
    assert_eq!(holder.next_operation(1, &ledger, 1, now), Some(first));
    holder.on_write_failed();
    assert_eq!(holder.next_operation(5, &taken, 0, now), None);
    assert_eq!(holder.state().counts.allowance, 1);
}

/// Guards against a holder that is blocked after its write lost to another one,
/// and against acting on an older record that arrives late.
#[test]
fn a_conflict_is_decided_again_on_the_newer_record() {
    let (mut holder, ledger) = (holder(), Ledger::new(4, 1).unwrap());
    let (first, _) = take(&mut holder, 1, &ledger);
    let newer = ledger.take(B, 1, 3).unwrap();
    let (second, taken) = take(&mut holder, 2, &newer);
    assert!(second.number > first.number);
    holder.on_record(3, &taken);
    assert_eq!(holder.next_operation(2, &newer, 1, Instant::now()), None);
    assert_eq!(holder.state().counts.allowance, 1);
}

/// Guards against giving back credits that are in use or have not been idle for
/// long enough.
#[test]
fn idle_credits_are_given_back_after_the_hysteresis() {
    let mut holder = holder();
    let (version, ledger, mut running) = take_all(&mut holder, 1, Ledger::new(16, 1).unwrap());
    running.truncate(4);
    let now = Instant::now();
    assert_eq!(holder.next_operation(version, &ledger, 0, now), None);
    let almost = now + Duration::from_millis(1999);
    assert_eq!(holder.next_operation(version, &ledger, 0, almost), None);
    // The first sample still has the old peak, so the idle time begins with the
    // second call.
    let later = now + Duration::from_millis(3999);
    let operation = holder.next_operation(version, &ledger, 0, later).unwrap();
    assert_eq!(operation.kind, OperationKind::GiveBack { credits: 11 });
    assert_eq!(holder.state().counts.allowance, 5);
}

/// Guards against keeping idle credits for the full idle time while another
/// incarnation wants some, and against giving back more than it wants.
#[test]
fn idle_credits_go_back_sooner_while_others_want_some() {
    let mut holder = Holder::new(A, Policy::default());
    let (version, ledger, running) = take_all(&mut holder, 1, Ledger::new(16, 1).unwrap());
    drop(running);
    let ledger = ledger.want(B, 1, 3).unwrap();
    let now = Instant::now();
    holder.next_operation(version, &ledger, 0, now);
    assert_eq!(holder.next_operation(version, &ledger, 0, now), None);
    let later = now + Duration::from_millis(200);
    let operation = holder.next_operation(version, &ledger, 0, later).unwrap();
    assert_eq!(operation.kind, OperationKind::GiveBack { credits: 3 });
}

/// Guards against all incarnations that want credits writing at the same time
/// when one becomes free.
#[test]
fn a_take_waits_for_its_turn() {
    let mut holder = Holder::new(B, Policy::default());
    let ledger = Ledger::new(1, 1).unwrap().want(A, 1, 1).unwrap();
    let now = Instant::now();
    assert_eq!(holder.next_operation(1, &ledger, 1, now), None);
    let due = now + Policy::default().take_delay;
    let operation = holder.next_operation(1, &ledger, 1, due).unwrap();
    assert_eq!(operation.kind, OperationKind::Take { credits: 1 });
}

/// Guards against a lower limit that never takes effect because another request
/// starts whenever one ends.
#[test]
fn a_busy_holder_gives_back_when_the_limit_is_lowered() {
    let mut holder = holder();
    let (mut version, ledger, mut running) = take_all(&mut holder, 1, Ledger::new(4, 1).unwrap());
    let mut ledger = ledger.set_limit(2, 2).unwrap();
    for _ in 0..2 {
        version += 1;
        assert_eq!(
            holder.next_operation(version, &ledger, 9, Instant::now()),
            None
        );
        running.pop();
        assert!(holder.credits().try_start().is_none());
        let operation = holder
            .next_operation(version, &ledger, 9, Instant::now())
            .unwrap();
        ledger = ledger.apply(A, &operation).unwrap();
    }
    assert_eq!(ledger.limit_in_force(), 2);
}

/// Guards against starting requests after the holding was reclaimed.
#[test]
fn a_reclaimed_share_fences_the_holder() {
    let mut holder = holder();
    let (version, _, running) = take_all(&mut holder, 1, Ledger::new(2, 1).unwrap());
    drop(running);
    holder.on_record(version + 1, &Ledger::new(2, 1).unwrap());
    assert!(holder.is_fenced() && holder.credits().try_start().is_none());
}

/// Guards against a shutdown that gives back credits of running requests.
#[test]
fn leaving_gives_back_as_work_ends() {
    let mut holder = holder();
    let (version, ledger, mut running) = take_all(&mut holder, 1, Ledger::new(3, 1).unwrap());
    holder.leave();
    let now = Instant::now();
    assert_eq!(holder.next_operation(version, &ledger, 0, now), None);
    running.pop();
    let part = holder.next_operation(version, &ledger, 0, now).unwrap();
    assert_eq!(part.kind, OperationKind::GiveBack { credits: 1 });
    let ledger = ledger.apply(A, &part).unwrap();
    running.clear();
    let last = holder.next_operation(version + 1, &ledger, 0, now).unwrap();
    assert_eq!(last.kind, OperationKind::Leave);
    holder.on_record(version + 2, &ledger.apply(A, &last).unwrap());
    assert!(holder.has_left());
}

/// Guards against more running requests than credits when several threads
/// acquire credits at the same time.
#[test]
fn concurrent_starts_stay_within_the_allowance() {
    let mut holder = holder();
    let (_, _, running) = take_all(&mut holder, 1, Ledger::new(8, 1).unwrap());
    drop(running);
    let credits = holder.credits();
    let work = || (0..10_000).for_each(|_| drop((credits.try_start(), credits.try_start())));
    thread::scope(|scope| (0..8).for_each(|_| drop(scope.spawn(work))));
    let counts = credits.counts();
    assert_eq!((counts.running, counts.allowance), (0, 8));
    assert!(counts.peak <= 8, "{counts:?}");
}

/// Guards against reclaiming before the waiting time has passed and the member
/// record is fenced, and against a shorter wait after the limits were lowered.
#[test]
fn reclaiming_needs_the_wait_and_the_fence() {
    let seconds = Duration::from_secs;
    let limits = |isolation| ReclaimLimits {
        isolation_limit: seconds(isolation),
        lease: seconds(5),
        max_run: seconds(95),
    };
    let start = Instant::now();
    let mut tracker = ReclaimTracker::new(A, limits(900));
    tracker.on_lease(LeaseState::Expired, start);
    tracker.on_limits(limits(0));
    let end = start + seconds(996);
    assert!(!tracker.should_fence(end - Duration::from_millis(1)));
    assert!(tracker.should_fence(end) && tracker.reclaim_proof(end).is_none());
    tracker.on_member(MemberState::Fenced);
    assert!(tracker
        .reclaim_proof(end - Duration::from_millis(1))
        .is_none());
    assert_eq!(tracker.reclaim_proof(end).unwrap().incarnation(), A);
    tracker.on_lease(LeaseState::Alive, end);
    tracker.on_lease(LeaseState::Expired, end);
    assert!(tracker.reclaim_proof(end).is_none());
}
