//! API keys of the teams.

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

/// SHA-256 hash of an API key.
pub type KeyHash = [u8; 32];

/// Returns the hash under which an API key is stored.
///
/// The text is hashed exactly as the caller sent it, so that no decoder is
/// exposed to unauthenticated input.
pub fn hash_key(key_text: &str) -> KeyHash {
    Sha256::digest(key_text.as_bytes()).into()
}

/// Returns the API key in the value of an `Authorization` header, or `None` if
/// the scheme is not `Bearer` or the key is empty.
pub fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Hash as four words; comparing words is several times faster than comparing
/// bytes.
type Words = [u64; 4];

/// Maps the hashes of all valid API keys to their teams.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    hashes: Vec<Words>,
    teams: Vec<Arc<str>>,
}

impl KeyTable {
    /// Creates a table from pairs of key hash and team. If a hash occurs more
    /// than once, the last pair wins.
    pub fn new<'a>(keys: impl IntoIterator<Item = (KeyHash, &'a str)>) -> Self {
        let mut table = Self::default();
        for (hash, team) in keys {
            table.hashes.push(words(&hash));
            table.teams.push(Arc::from(team));
        }
        table
    }

    /// Returns the team of the API key with the given hash.
    ///
    /// Each call compares all hashes, each in constant time. The duration thus
    /// reveals neither how similar a hash is nor its position in the table.
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

/// Compares two hashes in constant time: a mismatch does not end the
/// comparison.
fn equal(one: &Words, other: &Words) -> Choice {
    let pairs = one.iter().zip(other);
    pairs.fold(Choice::from(1), |equal, (a, b)| equal & a.ct_eq(b))
}
