//! Keys of the teams.

use std::sync::Arc;

use sha2::{
    Digest as _,
    Sha256, //
};
use subtle::{
    ConditionallySelectable as _,
    ConstantTimeEq as _, //
};

/// SHA-256 of a key.
pub type KeyHash = [u8; 32];

/// Returns the hash under which a key is stored.
///
/// The hash is taken of the text as callers send it, so that no decoder stands
/// between an unauthenticated caller and the lookup.
pub fn hash_key(key_text: &str) -> KeyHash {
    Sha256::digest(key_text.as_bytes()).into()
}

/// Returns the key in the value of an `Authorization` header.
pub fn bearer(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Keys in force, with the team of each.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    hashes: Vec<KeyHash>,
    teams: Vec<Arc<str>>,
}

impl KeyTable {
    /// Creates the table of a configuration; of equal hashes the last one
    /// counts.
    pub fn new<'a>(keys: impl IntoIterator<Item = (KeyHash, &'a str)>) -> Self {
        let mut table = Self::default();
        for (hash, team) in keys {
            table.hashes.push(hash);
            table.teams.push(Arc::from(team));
        }
        table
    }

    /// Returns the team that a key belongs to, by the key's hash.
    ///
    /// Each call compares all hashes, each in constant time, so that its
    /// duration tells nothing about which hash is close or where it stands.
    pub fn team_of(&self, hash: &KeyHash) -> Option<&Arc<str>> {
        let mut found = u64::MAX;
        for (index, known) in self.hashes.iter().enumerate() {
            let equal = known.ct_eq(hash);
            found.conditional_assign(&(index as u64), equal);
        }
        self.teams.get(usize::try_from(found).ok()?)
    }
}
