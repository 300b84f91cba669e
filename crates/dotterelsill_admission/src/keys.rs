//! Keys of the teams.

use std::sync::Arc;

use sha2::{
    Digest as _,
    Sha256, //
};
use subtle::{
    Choice,
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
pub fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Hash in words, which are compared several times faster than bytes.
type Words = [u64; 4];

/// Keys in force, with the team of each.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    hashes: Vec<Words>,
    teams: Vec<Arc<str>>,
}

impl KeyTable {
    /// Creates the table of a configuration; of equal hashes the last one
    /// counts.
    pub fn new<'a>(keys: impl IntoIterator<Item = (KeyHash, &'a str)>) -> Self {
        let mut table = Self::default();
        for (hash, team) in keys {
            table.hashes.push(words(&hash));
            table.teams.push(Arc::from(team));
        }
        table
    }

    /// Returns the team that a key belongs to, by the key's hash.
    ///
    /// Each call compares all hashes, each in constant time, so that its
    /// duration tells nothing about which hash is close or where it stands.
    pub fn team_of(&self, hash: &KeyHash) -> Option<&Arc<str>> {
        let hash = words(hash);
        let mut found = u64::MAX;
        for (index, known) in self.hashes.iter().enumerate() {
            let equal = equal(known, &hash);
            found.conditional_assign(&(index as u64), equal);
        }
        self.teams.get(usize::try_from(found).ok()?)
    }
}

fn words(hash: &KeyHash) -> Words {
    let (chunks, _) = hash.as_chunks::<8>();
    std::array::from_fn(|index| u64::from_ne_bytes(chunks[index]))
}

/// Compares all words, whatever the first ones are.
fn equal(one: &Words, other: &Words) -> Choice {
    let pairs = one.iter().zip(other);
    pairs.fold(Choice::from(1), |equal, (a, b)| equal & a.ct_eq(b))
}
