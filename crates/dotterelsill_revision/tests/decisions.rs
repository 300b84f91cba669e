//! Tests of revisions, authority and acceptance at their boundaries.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_revision::{
    ChangeConfirmation,
    ConfirmationStatus,
    Decision,
    Head,
    HeadUpdate,
    Incarnation,
    Instance,
    Limits,
    Member,
    MemberState,
    Mode,
    ReadTooEarly,
    Registration,
    RegistrationError,
    RevisionTracker,
    UnconfirmedReason,
    WhenIsolated,
    WriteId, //
};

const S: Duration = Duration::from_secs(1);
const ME: Incarnation = Incarnation(1);

fn head(revision: u64) -> Head {
    let write_id = WriteId::new(&format!("w{revision}"));
    Head { revision, write_id }
}

/// Registers an instance just before `start` and renews its lease at `start`.
fn register(start: Instant, isolation_limit: Duration) -> Result<Instance, RegistrationError> {
    let before = start - Duration::from_nanos(1);
    let registration = Registration {
        lease_requested_at: before,
        registered_at: before,
        isolation_limit,
    };
    let mut instance = Instance::new(ME, registration, Limits::default(), Default::default())?;
    instance.authority_mut().on_renewal(start, true, start);
    Ok(instance)
}

/// Returns an instance with revision 1 in force, proven at its registration.
fn instance(start: Instant, isolation_limit: Duration) -> Instance {
    let mut instance = register(start, isolation_limit).expect("valid registration");
    instance.on_store_read(start, Some(&head(1)));
    instance.on_body(&head(1));
    instance
}

fn mode(instance: &Instance, now: Instant) -> Mode {
    instance.snapshot().current_mode(now).mode
}

/// Guards against a revision that goes backwards when heads and bodies are
/// doubled, late or reordered, and against a body that is adopted without head.
#[test]
fn tracker_never_goes_backwards() {
    let mut tracker = RevisionTracker::new();
    assert!(!tracker.on_body(&head(1)));
    assert_eq!(tracker.on_head(&head(2)), HeadUpdate::New);
    assert_eq!(tracker.on_head(&head(2)), HeadUpdate::Known);
    assert_eq!(tracker.on_head(&head(3)), HeadUpdate::New);
    assert_eq!(tracker.on_head(&head(1)), HeadUpdate::Known);
    let other = Head {
        write_id: WriteId::new("other"),
        ..head(2)
    };
    assert_eq!(tracker.on_head(&other), HeadUpdate::Conflict);
    assert!(!tracker.on_body(&other));
    assert!(tracker.on_body(&head(2)));
    assert_eq!(tracker.head_to_load(), Some(&head(3)));
    assert!(tracker.on_body(&head(3)));
    assert!(!tracker.on_body(&head(2)));
    assert_eq!(tracker.in_force(), Some(&head(3)));
    assert_eq!(tracker.head_to_load(), None);
}

/// Guards against work that starts under the older revision while a newer head
/// is known, and against an expired mode that a cached verdict still grants.
#[test]
fn modes_follow_each_other_at_their_ends() {
    let start = Instant::now();
    let mut instance = instance(start, 60 * S);
    let snapshot = instance.snapshot();
    let fresh = snapshot.current_mode(start);
    assert_eq!(
        (fresh.mode, fresh.valid_until),
        (Mode::Fresh, Some(start + 3 * S))
    );
    let isolated = snapshot.current_mode(start + 3 * S);
    assert_eq!(
        (isolated.mode, isolated.valid_until),
        (Mode::Isolated, Some(start + 65 * S))
    );
    let lapsed = snapshot.current_mode(start + 65 * S);
    assert_eq!((lapsed.mode, lapsed.valid_until), (Mode::Lapsed, None));
    let serve = snapshot.decide(WhenIsolated::Serve, start + 4 * S);
    assert_eq!(serve, Decision::Start { revision: 1 });
    let refuse = snapshot.decide(WhenIsolated::Refuse, start + 4 * S);
    let mode = Mode::Isolated;
    assert_eq!(refuse, Decision::Refuse { mode });
    instance.on_head(&head(2));
    let waits = instance.snapshot().decide(WhenIsolated::Serve, start);
    assert_eq!(waits, Decision::WaitForBody);
}

/// Guards against an authority that comes back after its end, and against an
/// isolation limit above the one that observers wait for.
#[test]
fn authority_ends_for_good() {
    let start = Instant::now();
    let mut instance = instance(start, S);
    let authority = instance.authority_mut();
    authority.on_isolation_limit(60 * S, start);
    assert_eq!(authority.ends_at(), Some(start + 6 * S));
    authority.on_renewal(start + 2 * S, true, start + 7 * S);
    assert!(authority.has_ended(start + 7 * S));
    instance.on_store_read(start + 7 * S, Some(&head(1)));
    assert_eq!(mode(&instance, start + 7 * S), Mode::Lapsed);
    let error = register(start, 1801 * S).expect_err("above 30 min");
    assert!(error.to_string().contains("1801 s is above 1800 s"));
}

/// Guards against a start under a revision that a peer proved before this
/// incarnation was registered: an accepted change need not have waited for it.
#[test]
fn proof_from_before_the_registration_does_not_count() {
    let start = Instant::now() + 60 * S;
    let mut answer = instance(start, 60 * S).relay(start);
    let mut late = register(start, 60 * S).expect("valid registration");
    answer.proof_age = Some(S);
    late.on_relay(start, &answer);
    late.on_body(&head(1));
    assert_eq!(mode(&late, start), Mode::Stale);
    let registered_at = late.authority().registration().registered_at;
    late.on_store_read(registered_at, Some(&head(1)));
    assert_eq!(mode(&late, start), Mode::Stale);
    late.on_store_read(start, Some(&head(1)));
    assert_eq!(mode(&late, start), Mode::Fresh);
}

/// Guards against an acceptance that trusts reads sent before the change was
/// stored, or a wait that leaves out the drift of the lease.
#[test]
fn acceptance_waits_for_the_drift_of_lease_and_isolation() {
    let start = Instant::now();
    let member = Member {
        incarnation: ME,
        instance: "entry-1".into(),
        isolation_limit: 60 * S,
        state: MemberState::Live,
    };
    let mut acceptance = ChangeConfirmation::new(2, start, true, Limits::default());
    let early = acceptance.on_members(start - S, std::slice::from_ref(&member));
    assert_eq!(early, Err(ReadTooEarly));
    assert_eq!(acceptance.on_members(start, &[member]), Ok(()));
    acceptance.on_member_response(ME, Some(1));
    let in_force = Some(1);
    assert_eq!(
        reason(&acceptance, start),
        Some(UnconfirmedReason::OlderRevision { in_force })
    );
    assert_eq!(acceptance.on_leases(start, start, &[]), Ok(()));
    assert_eq!(
        reason(&acceptance, start),
        Some(UnconfirmedReason::LeaseExpired)
    );
    let wait = 60 * S + Duration::from_millis(65);
    assert!(reason(&acceptance, start + wait).is_some());
    let end = start + wait + Duration::from_millis(1);
    assert_eq!(reason(&acceptance, end), None);
    assert!(matches!(
        acceptance.status(end),
        ConfirmationStatus::Stored { .. }
    ));
    acceptance.on_credits_within_limits();
    let in_force = ConfirmationStatus::InForce { revision: 2 };
    assert_eq!(acceptance.status(end), in_force);
}

fn reason(acceptance: &ChangeConfirmation, now: Instant) -> Option<UnconfirmedReason> {
    match acceptance.status(now) {
        ConfirmationStatus::Stored { unconfirmed, .. } => unconfirmed.first().map(|one| one.reason),
        ConfirmationStatus::InForce { .. } => None,
    }
}
