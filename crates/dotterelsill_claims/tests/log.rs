//! Timing and lost store answers of the owner's side.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_claims::{
    Action,
    Claim,
    ClaimLog,
    ClaimReply,
    Entry,
    Incarnation,
    Key,
    Limits,
    OwnerRecord,
    Position,
    StoreAnswer, //
};

const OWNER: Incarnation = Incarnation(1);
const HOUR: Duration = Duration::from_secs(3600);
/// Remaining authority where a test does not depend on it.
const AUTHORITY_LEFT: Duration = Duration::from_secs(24 * 3600);

fn claim(number: u8) -> Claim {
    Claim {
        key: Key([number; 16]),
        claimant: OWNER,
    }
}

/// Answers the last store call in `actions`.
fn answer_last_call(
    log: &mut ClaimLog,
    actions: &[Action],
    answer: StoreAnswer,
    now: Instant,
) -> Vec<Action> {
    let call = actions.iter().rev().find_map(Action::call);
    let call = call.expect("there is a store call");
    log.on_answer(call, answer, now + AUTHORITY_LEFT, now)
}

/// Returns a log that owns its bucket and whose first append, of claim 1, took
/// effect at `now`.
fn open_log(now: Instant) -> ClaimLog {
    let mut log = ClaimLog::new(OWNER, Limits::default());
    let read = log.on_claim(claim(1), 1, now);
    let swap = answer_last_call(&mut log, &read, StoreAnswer::Owner(None), now);
    let append = answer_last_call(&mut log, &swap, StoreAnswer::Swapped(Some(1)), now);
    let replies = answer_last_call(&mut log, &append, StoreAnswer::Created(true), now);
    assert_eq!(replies, [reply(1, ClaimReply::Granted)]);
    log
}

fn reply(ticket: u64, reply: ClaimReply) -> Action {
    Action::Reply { ticket, reply }
}

/// Returns the position and the entry of an append.
fn appended_entry(action: &Action) -> (Position, Entry) {
    match action {
        Action::Create {
            position, entry, ..
        } => (*position, entry.clone()),
        _ => panic!("not an append: {action:?}"),
    }
}

/// Guards against more than one append per 50 ms.
#[test]
fn claims_within_50_ms_share_an_append() {
    let start = Instant::now();
    let mut log = open_log(start);
    let ms = |ms| start + Duration::from_millis(ms);
    assert_eq!(log.on_claim(claim(2), 2, ms(10)), []);
    assert_eq!(log.on_claim(claim(3), 3, ms(20)), []);
    assert_eq!(log.on_timer(ms(49)), []);
    assert_eq!(log.wake_at(), Some(ms(50)));
    let append = log.on_timer(ms(50));
    let replies = answer_last_call(&mut log, &append, StoreAnswer::Created(true), ms(53));
    let granted = [reply(2, ClaimReply::Granted), reply(3, ClaimReply::Granted)];
    assert_eq!(replies, granted);
    // An idle bucket appends at once.
    assert_eq!(log.on_claim(claim(4), 4, ms(101)).len(), 1);
}

/// Guards against granting or refusing a claim without knowing whether its
/// append took effect: after a lost answer, the entry at its position decides.
#[test]
fn lost_answer_is_settled_by_the_entry_in_its_place() {
    let now = Instant::now() + HOUR;
    for own in [true, false] {
        let mut log = open_log(now - Duration::from_secs(1));
        let append = log.on_claim(claim(2), 2, now);
        let (position, entry) = appended_entry(&append[0]);
        let read = answer_last_call(&mut log, &append, StoreAnswer::Lost, now);
        assert_eq!(read, [Action::Read { call: 5, position }].as_slice());
        let id = entry.id();
        let found = if own { entry } else { foreign_seal(id) };
        let replies = answer_last_call(&mut log, &read, StoreAnswer::Entry(Some(found)), now);
        let expected = if own {
            ClaimReply::Granted
        } else {
            ClaimReply::Refused
        };
        assert_eq!(replies, [reply(2, expected)]);
        assert_eq!(log.is_open(), own);
    }
}

/// Returns a seal that another incarnation wrote.
fn foreign_seal(mut id: dotterelsill_claims::WriteId) -> Entry {
    id.writer = Incarnation(9);
    Entry::Seal { id }
}

/// Guards against an append after a seal: once all entries of an idle owner
/// have expired, another owner would write its seal at sequence number 0.
#[test]
fn idle_owner_advances_its_epoch_before_the_next_append() {
    let start = Instant::now();
    let mut log = open_log(start);
    let now = start + HOUR;
    let swap = log.on_claim(claim(2), 2, now);
    let record = OwnerRecord {
        owner: OWNER,
        epoch: 2,
        sealed_below: 2,
    };
    let call = 4;
    let expected_version = 1;
    let expected = Action::SwapOwner {
        call,
        expected_version,
        record,
    };
    assert_eq!(swap, [expected]);
    let append = answer_last_call(&mut log, &swap, StoreAnswer::Swapped(Some(2)), now);
    let position = Position {
        epoch: 2,
        sequence: 0,
    };
    assert_eq!(appended_entry(&append[0]).0, position);
}

/// Guards against granting an append that may be after a seal, when its answer
/// arrives only after a long outage of the store.
#[test]
fn append_without_an_answer_is_given_up() {
    let start = Instant::now();
    let mut log = open_log(start);
    let append = log.on_claim(claim(2), 2, start + HOUR - Duration::from_secs(1));
    let now = start + HOUR + HOUR / 2;
    let replies = answer_last_call(&mut log, &append, StoreAnswer::Created(true), now);
    assert_eq!(replies, [reply(2, ClaimReply::Refused)]);
    assert!(!log.is_open());
}

/// Guards against a grant by an owner whose process was paused beyond the end
/// of its authority.
#[test]
fn lapsed_owner_grants_nothing() {
    let now = Instant::now();
    let mut log = open_log(now - Duration::from_secs(1));
    let append = log.on_claim(claim(2), 2, now);
    let call = append[0].call().unwrap();
    let replies = log.on_answer(call, StoreAnswer::Created(true), now, now);
    assert_eq!(replies, [reply(2, ClaimReply::Refused)]);
}

/// Guards against two instances that both believe that they are the owner and
/// take the bucket over in turns.
#[test]
fn deposed_owner_pauses_before_it_takes_the_bucket_back() {
    let now = Instant::now();
    let mut log = open_log(now - Duration::from_secs(1));
    let append = log.on_claim(claim(2), 2, now);
    let read = answer_last_call(&mut log, &append, StoreAnswer::Created(false), now);
    let id = appended_entry(&append[0]).1.id();
    let seal = StoreAnswer::Entry(Some(foreign_seal(id)));
    answer_last_call(&mut log, &read, seal, now);
    let refused = [reply(3, ClaimReply::Refused)];
    assert_eq!(log.on_claim(claim(3), 3, now), refused);
    // Claims in the log remain valid.
    let granted = [reply(4, ClaimReply::Granted)];
    assert_eq!(log.on_claim(claim(1), 4, now), granted);
    let later = now + Duration::from_secs(1);
    assert_eq!(
        log.on_claim(claim(3), 5, later),
        [Action::ReadOwner { call: 6 }]
    );
}
