//! Limits of identifiers and the outcomes reported outside them, and the
//! placement of buckets.

use std::time::{
    Duration,
    SystemTime, //
};

use dotterelsill_claims::{
    bucket,
    owner,
    Identifier,
    IdentifierError,
    Key,
    Outcome, //
};

const NOW_S: u64 = 1_800_000_000;

fn check(text: &str, issued_at_s: u64) -> Result<Identifier, IdentifierError> {
    let wall_clock = SystemTime::UNIX_EPOCH + Duration::from_secs(NOW_S);
    Identifier::check("refunds", "sorting", text, issued_at_s, wall_clock)
}

/// Guards against accepting an identifier whose claim may have expired, and
/// against reporting "not run" for one that an earlier attempt may have run.
#[test]
fn issue_times_outside_the_limits_are_unknown() {
    assert!(check("a", NOW_S - 3600).is_ok());
    assert!(check("a", NOW_S + 300).is_ok());
    let old = check("a", NOW_S - 3601).unwrap_err();
    let ahead = check("a", NOW_S + 301).unwrap_err();
    assert_eq!(old, IdentifierError::TooOld { age_s: 3601 });
    assert_eq!(ahead, IdentifierError::InFuture { ahead_s: 301 });
    for error in [old, ahead] {
        assert!(matches!(error.outcome::<u8>(), Outcome::Unknown(_)));
    }
}

/// Guards against accepting malformed identifiers, which are too long to hold
/// or have no valid issue time.
#[test]
fn lengths_outside_the_limits_are_not_run() {
    assert!(check(&"a".repeat(128), NOW_S).is_ok());
    let errors = [
        check("", NOW_S),
        check(&"a".repeat(129), NOW_S),
        check("a", u64::MAX),
    ];
    for error in errors {
        let outcome = error.unwrap_err().outcome::<u8>();
        assert!(matches!(outcome, Outcome::NotRun(_)));
    }
}

/// Guards against one team getting the answer to a request of another team.
#[test]
fn queue_team_and_text_are_kept_apart() {
    let key = Key::new("refunds", "ab", "c");
    assert_ne!(key, Key::new("refunds", "a", "bc"));
    assert_ne!(key, Key::new("refund", "sab", "c"));
    assert_eq!(key, Key::new("refunds", "ab", "c"));
}

/// Guards against reassigning buckets whose owner is still alive.
#[test]
fn only_buckets_of_a_lost_instance_move() {
    let all = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];
    let mut owners = Vec::new();
    for number in 0..64_u8 {
        let before = owner(number, all).unwrap();
        let after = owner(number, all.into_iter().filter(|name| *name != "e3"));
        assert!(before == "e3" || after == Some(before));
        owners.push(before);
    }
    assert!(all.iter().all(|name| owners.contains(name)));
    assert_eq!(owner(0, []), None);
    assert_eq!(bucket(Key([9; 16])), 1);
}
