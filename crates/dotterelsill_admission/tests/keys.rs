//! Tests of the API key table.

use dotterelsill_admission::{
    bearer_token,
    hash_key,
    KeyTable, //
};

/// Guards against accepting a key that was never issued or was withdrawn.
#[test]
fn only_a_key_in_force_is_known() {
    let table = KeyTable::new([(hash_key("one"), "a"), (hash_key("two"), "b")]);
    assert_eq!(table.team_of(&hash_key("two")).unwrap().as_ref(), "b");
    assert!(table.team_of(&hash_key("three")).is_none());
    let withdrawn = KeyTable::new([(hash_key("one"), "a")]);
    assert!(withdrawn.team_of(&hash_key("two")).is_none());
    assert!(KeyTable::default().team_of(&hash_key("one")).is_none());
}

/// Guards against a lookup that stops at the first match, whose duration would
/// depend on the position of the key. Only a lookup that compares all hashes
/// finds the last of several equal ones.
#[test]
fn lookup_compares_all_hashes() {
    let hash = hash_key("one");
    let other = hash_key("two");
    let table = KeyTable::new([(hash, "first"), (other, "other"), (hash, "last")]);
    assert_eq!(table.team_of(&hash).unwrap().as_ref(), "last");
}

/// Guards against a hash other than the SHA-256 of the key text.
#[test]
fn hash_is_sha256() {
    let hex: String = hash_key("abc").iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(
        hex,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}

/// Guards against accepting other authentication schemes or empty keys.
#[test]
fn header_carries_a_bearer_key() {
    assert_eq!(bearer_token("Bearer abc"), Some("abc"));
    assert_eq!(bearer_token("bearer  abc "), Some("abc"));
    assert_eq!(bearer_token("Basic abc"), None);
    assert_eq!(bearer_token("Bearer "), None);
    assert_eq!(bearer_token("Bearer"), None);
}
