//! Boundary tests for revisions, authority and the confirmation of changes.

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

const SECOND: Duration = Duration::from_secs(1);
const INCARNATION: Incarnation = Incarnation(1);

fn head(revision: u64) -> Head {
    let write_id = WriteId::new(&format!("w{revision}"));
    Head { revision, write_id }
}

/// Registers an instance 1 ns before `start` and renews its lease at `start`.
fn register(start: Instant, isolation_limit: Duration) -> Result<Instance, RegistrationError> {
    let before = start - Duration::from_nanos(1);
    let registration = Registration {
        lease_requested_at: before,
        registered_at: before,
        isolation_limit,
    };
    let mut instance = Instance::new(
        INCARNATION,
        registration,
        Limits::default(),
        Default::default(),
    )?;
    instance.authority_mut().on_renewal(start, true, start);
    Ok(instance)
}

/// Returns an instance with revision 1 in force and a proof as of `start`.
fn instance(start: Instant, isolation_limit: Duration) -> Instance {
    let mut instance = register(start, isolation_limit).expect("valid registration");
    instance.on_store_read(start, Some(&head(1)));
    instance.on_body(&head(1));
    instance
}

fn mode(instance: &Instance, now: Instant) -> Mode {
    instance.snapshot().current_mode(now).mode
}

/// Guards against a revision that decreases when heads and bodies are
/// duplicated, late or reordered, and against a body that comes into force
/// although its head was never received.
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

/// Guards against work that starts under an older revision while a newer head is
/// known, and against a mode that is still applied after its `valid_until`.
#[test]
fn modes_follow_each_other_at_their_ends() {
    let start = Instant::now();
    let mut instance = instance(start, 60 * SECOND);
    let snapshot = instance.snapshot();
    let fresh = snapshot.current_mode(start);
    assert_eq!(
        (fresh.mode, fresh.valid_until),
        (Mode::Fresh, Some(start + 3 * SECOND))
    );
    let isolated = snapshot.current_mode(start + 3 * SECOND);
    assert_eq!(
        (isolated.mode, isolated.valid_until),
        (Mode::Isolated, Some(start + 65 * SECOND))
    );
    let lapsed = snapshot.current_mode(start + 65 * SECOND);
    assert_eq!((lapsed.mode, lapsed.valid_until), (Mode::Lapsed, None));
    let serve = snapshot.decide(WhenIsolated::Serve, start + 4 * SECOND);
    assert_eq!(serve, Decision::Start { revision: 1 });
    let refuse = snapshot.decide(WhenIsolated::Refuse, start + 4 * SECOND);
    let mode = Mode::Isolated;
    assert_eq!(refuse, Decision::Refuse { mode });
    instance.on_head(&head(2));
    let waits = instance.snapshot().decide(WhenIsolated::Serve, start);
    assert_eq!(waits, Decision::WaitForBody);
}

/// Guards against an authority that is extended by a renewal confirmed after its
/// end, and against an isolation limit above the registered one, on which
/// observers base their wait.
#[test]
fn authority_ends_for_good() {
    let start = Instant::now();
    let mut instance = instance(start, SECOND);
    let authority = instance.authority_mut();
    authority.on_isolation_limit(60 * SECOND, start);
    assert_eq!(authority.ends_at(), Some(start + 6 * SECOND));
    authority.on_renewal(start + 2 * SECOND, true, start + 7 * SECOND);
    assert!(authority.has_ended(start + 7 * SECOND));
    instance.on_store_read(start + 7 * SECOND, Some(&head(1)));
    assert_eq!(mode(&instance, start + 7 * SECOND), Mode::Lapsed);
    let error = register(start, 1801 * SECOND).expect_err("above 30 min");
    assert!(error.to_string().contains("1801 s is above 1800 s"));
}

/// Guards against starting work on a peer's proof from before this incarnation
/// was registered: a change confirmed between the two did not wait for it.
#[test]
fn proof_from_before_the_registration_does_not_count() {
    let start = Instant::now() + 60 * SECOND;
    let mut relayed = instance(start, 60 * SECOND).relay(start);
    let mut late = register(start, 60 * SECOND).expect("valid registration");
    relayed.proof_age = Some(SECOND);
    late.on_relay(start, &relayed);
    late.on_body(&head(1));
    assert_eq!(mode(&late, start), Mode::Stale);
    let registered_at = late.authority().registration().registered_at;
    late.on_store_read(registered_at, Some(&head(1)));
    assert_eq!(mode(&late, start), Mode::Stale);
    late.on_store_read(start, Some(&head(1)));
    assert_eq!(mode(&late, start), Mode::Fresh);
}

/// Guards against a confirmation based on a read sent before the change was
/// stored, and against a wait that ignores the clock drift over the lease.
#[test]
fn acceptance_waits_for_the_drift_of_lease_and_isolation() {
    let start = Instant::now();
    let member = Member {
        incarnation: INCARNATION,
        instance: "entry-1".into(),
        isolation_limit: 60 * SECOND,
        state: MemberState::Live,
    };
    let mut confirmation = ChangeConfirmation::new(2, start, true, Limits::default());
    let early = confirmation.on_members(start - SECOND, std::slice::from_ref(&member));
    assert_eq!(early, Err(ReadTooEarly));
    assert_eq!(confirmation.on_members(start, &[member]), Ok(()));
    confirmation.on_member_response(INCARNATION, Some(1));
    let in_force = Some(1);
    assert_eq!(
        reason(&confirmation, start),
        Some(UnconfirmedReason::OlderRevision { in_force })
    );
    assert_eq!(confirmation.on_leases(start, start, &[]), Ok(()));
    assert_eq!(
        reason(&confirmation, start),
        Some(UnconfirmedReason::LeaseExpired)
    );
    let wait = 60 * SECOND + Duration::from_millis(65);
    assert!(reason(&confirmation, start + wait).is_some());
    let end = start + wait + Duration::from_millis(1);
    assert_eq!(reason(&confirmation, end), None);
    assert!(matches!(
        confirmation.status(end),
        ConfirmationStatus::Stored { .. }
    ));
    confirmation.on_credits_within_limits();
    let in_force = ConfirmationStatus::InForce { revision: 2 };
    assert_eq!(confirmation.status(end), in_force);
}

fn reason(confirmation: &ChangeConfirmation, now: Instant) -> Option<UnconfirmedReason> {
    match confirmation.status(now) {
        ConfirmationStatus::Stored { unconfirmed, .. } => {
            unconfirmed.first().map(|instance| instance.reason)
        }
        ConfirmationStatus::InForce { .. } => None,
    }
}
