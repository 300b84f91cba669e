//! Buckets and their owners.

use sha2::{
    Digest,
    Sha256, //
};

use crate::Key;

/// Number of buckets.
pub const BUCKET_COUNT: u8 = 8;

/// Returns the bucket of an identifier.
pub fn bucket(key: Key) -> u8 {
    key.0[0] % BUCKET_COUNT
}

/// Returns the live instance that owns a bucket, or `None` without instances.
///
/// Rendezvous hashing: when an instance comes or goes, only the buckets that it
/// owns change. Instances with different lists may disagree; the owner record
/// in the store settles who may grant.
pub fn owner<'a>(bucket: u8, live: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    live.into_iter()
        .max_by_key(|instance| (weight(bucket, instance), *instance))
}

/// Returns the weight of an instance for a bucket.
fn weight(bucket: u8, instance: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update([bucket]);
    hash.update(instance.as_bytes());
    hash.finalize().into()
}
