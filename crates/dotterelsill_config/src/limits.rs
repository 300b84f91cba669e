//! Limits on the configuration text, and the protocol times that
//! [`explain()`](crate::explain()) reports.

/// Maximum size of the configuration text, in bytes.
///
/// The store accepts values of up to 1,000,000 bytes. The configuration document
/// also contains the hashes of the API keys, for which 100,000 bytes are
/// reserved.
pub const MAX_TEXT_BYTES: usize = 900_000;

/// Maximum isolation limit, in seconds.
///
/// The seal of a claim log is kept for 2 h and must outlive the authority of
/// every former owner of the log.
pub const MAX_ISOLATION_LIMIT_S: u32 = 1_800;

/// Isolation limit, in seconds, when the text does not set `isolation_limit_s`.
pub const DEFAULT_ISOLATION_LIMIT_S: u32 = 900;

/// Maximum number of findings that [`parse`](crate::parse) returns.
pub const MAX_FINDINGS: usize = 100;

/// Maximum nesting depth of lists and mappings. The schema needs 5 levels.
pub(crate) const MAX_DEPTH: usize = 16;

/// Maximum number of keys in one mapping. The schema needs 8.
pub(crate) const MAX_KEYS: usize = 64;

/// Maximum number of YAML nodes after alias expansion.
///
/// A text of 900,000 bytes that follows the schema has fewer than 100,000.
pub(crate) const MAX_NODES: usize = 200_000;

/// Maximum total size of all keys and values after alias expansion, in bytes.
pub(crate) const MAX_EXPANDED_BYTES: usize = 2_000_000;

/// Maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Maximum duration of an instance's lease, in seconds.
pub(crate) const LEASE_S: u64 = 5;

/// Time for which a proof of the current revision is valid, in seconds.
pub(crate) const PROOF_VALIDITY_S: u64 = 3;

/// Maximum time from the end of a lease until its expiry is detected, in seconds.
pub(crate) const DETECTION_DELAY_S: u64 = 2;

/// Divisor for the clock drift margin, which is 1/1000 of a duration.
pub(crate) const DRIFT_DIVISOR: u64 = 1_000;
