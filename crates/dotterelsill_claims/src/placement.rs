//! Assignment of identifiers to buckets and of buckets to instances.

use sha2::{
    Digest,
    Sha256, //
};

use crate::Key;

/// Number of buckets that the identifiers are partitioned into.
pub const BUCKET_COUNT: u8 = 8;

/// Returns the bucket of an identifier, below [`BUCKET_COUNT`].
pub fn bucket(key: Key) -> u8 {
    key.0[0] % BUCKET_COUNT
}

/// Returns the live instance that owns a bucket, or `None` when `live` is
/// empty.
///
/// Uses rendezvous hashing: when an instance joins or leaves, only the buckets
/// that it owns are reassigned. Instances with different lists of live
/// instances may disagree; the owner record in the store decides which one may
/// grant claims.
pub fn owner<'a>(bucket: u8, live: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    live.into_iter()
        .max_by_key(|instance| (weight(bucket, instance), *instance))
}

/// Returns the rendezvous hash of an instance for a bucket; the highest wins.
fn weight(bucket: u8, instance: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update([bucket]);
    hash.update(instance.as_bytes());
    hash.finalize().into()
}
