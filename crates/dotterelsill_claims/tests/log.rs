//! Times and lost answers of the owner's side.

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
const FAR: Duration = Duration::from_secs(24 * 3600);

fn claim(number: u8) -> Claim {
    Claim {
        key: Key([number; 16]),
        claimant: OWNER,
    }
}

/// Answers the last call of `actions`.
fn answer(
    log: &mut ClaimLog,
    actions: &[Action],
    answer: StoreAnswer,
    now: Instant,
) -> Vec<Action> {
    let call = actions.iter().rev().find_map(Action::call);
    let call = call.expect("a store call is asked for");
    log.on_answer(call, answer, now + FAR, now)
}

/// Returns a log whose first append, of claim 1, took effect at `now`.
fn open(now: Instant) -> ClaimLog {
    let mut log = ClaimLog::new(OWNER, Limits::default());
    let read = log.on_claim(claim(1), 1, now);
    let swap = answer(&mut log, &read, StoreAnswer::Owner(None), now);
    let append = answer(&mut log, &swap, StoreAnswer::Swapped(Some(1)), now);
    let replies = answer(&mut log, &append, StoreAnswer::Created(true), now);
    assert_eq!(replies, [reply(1, ClaimReply::Granted)]);
    log
}

fn reply(ticket: u64, reply: ClaimReply) -> Action {
    Action::Reply { ticket, reply }
}

fn appended(action: &Action) -> (Position, Entry) {
    match action {
        Action::Create {
            position, entry, ..
        } => (*position, entry.clone()),
        _ => panic!("no append: {action:?}"),
    }
}

/// Guards against more than one append each 50 ms.
#[test]
fn claims_within_50_ms_share_an_append() {
    let start = Instant::now();
    let mut log = open(start);
    let ms = |ms| start + Duration::from_millis(ms);
    assert_eq!(log.on_claim(claim(2), 2, ms(10)), []);
    assert_eq!(log.on_claim(claim(3), 3, ms(20)), []);
    assert_eq!(log.on_timer(ms(49)), []);
    assert_eq!(log.wake_at(), Some(ms(50)));
    let append = log.on_timer(ms(50));
    let replies = answer(&mut log, &append, StoreAnswer::Created(true), ms(53));
    let granted = [reply(2, ClaimReply::Granted), reply(3, ClaimReply::Granted)];
    assert_eq!(replies, granted);
    // An idle bucket appends at once.
    assert_eq!(log.on_claim(claim(4), 4, ms(101)).len(), 1);
}

/// Guards against a claim that is granted or lost on a guess.
#[test]
fn lost_answer_is_settled_by_the_entry_in_its_place() {
    let now = Instant::now() + HOUR;
    for own in [true, false] {
        let mut log = open(now - Duration::from_secs(1));
        let append = log.on_claim(claim(2), 2, now);
        let (position, entry) = appended(&append[0]);
        let read = answer(&mut log, &append, StoreAnswer::Lost, now);
        assert_eq!(read, [Action::Read { call: 5, position }].as_slice());
        let id = entry.id();
        let found = if own { entry } else { foreign_seal(id) };
        let replies = answer(&mut log, &read, StoreAnswer::Entry(Some(found)), now);
        let expected = if own {
            ClaimReply::Granted
        } else {
            ClaimReply::Refused
        };
        assert_eq!(replies, [reply(2, expected)]);
        assert_eq!(log.is_open(), own);
    }
}

fn foreign_seal(mut id: dotterelsill_claims::WriteId) -> Entry {
    id.writer = Incarnation(9);
    Entry::Seal { id }
}

/// Guards against an append behind a seal at 0, which another owner wrote after
/// all entries of this one had expired.
#[test]
fn idle_owner_advances_its_epoch_before_the_next_append() {
    let start = Instant::now();
    let mut log = open(start);
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
    let append = answer(&mut log, &swap, StoreAnswer::Swapped(Some(2)), now);
    let place = Position {
        epoch: 2,
        sequence: 0,
    };
    assert_eq!(appended(&append[0]).0, place);
}

/// Guards against the same when an append stays without an answer during a long
/// outage of the store.
#[test]
fn append_without_an_answer_is_given_up() {
    let start = Instant::now();
    let mut log = open(start);
    let append = log.on_claim(claim(2), 2, start + HOUR - Duration::from_secs(1));
    let now = start + HOUR + HOUR / 2;
    let replies = answer(&mut log, &append, StoreAnswer::Created(true), now);
    assert_eq!(replies, [reply(2, ClaimReply::Refused)]);
    assert!(!log.is_open());
}

/// Guards against a grant by an owner that was paused past its authority.
#[test]
fn lapsed_owner_grants_nothing() {
    let now = Instant::now();
    let mut log = open(now - Duration::from_secs(1));
    let append = log.on_claim(claim(2), 2, now);
    let call = append[0].call().unwrap();
    let replies = log.on_answer(call, StoreAnswer::Created(true), now, now);
    assert_eq!(replies, [reply(2, ClaimReply::Refused)]);
}

/// Guards against two believed owners that take the bucket in turns.
#[test]
fn deposed_owner_pauses_before_it_takes_the_bucket_back() {
    let now = Instant::now();
    let mut log = open(now - Duration::from_secs(1));
    let append = log.on_claim(claim(2), 2, now);
    let read = answer(&mut log, &append, StoreAnswer::Created(false), now);
    let id = appended(&append[0]).1.id();
    let seal = StoreAnswer::Entry(Some(foreign_seal(id)));
    answer(&mut log, &read, seal, now);
    let refused = [reply(3, ClaimReply::Refused)];
    assert_eq!(log.on_claim(claim(3), 3, now), refused);
    // What is in the log stays true.
    let granted = [reply(4, ClaimReply::Granted)];
    assert_eq!(log.on_claim(claim(1), 4, now), granted);
    let later = now + Duration::from_secs(1);
    assert_eq!(
        log.on_claim(claim(3), 5, later),
        [Action::ReadOwner { call: 6 }]
    );
}
