//! Limits on the operators' text.

/// Most bytes of the operators' text.
///
/// The store holds values of 1,000,000 bytes. The configuration document also
/// carries the hashes of the keys, for which 100,000 bytes are reserved.
pub const MAX_TEXT_BYTES: usize = 900_000;

/// Longest isolation limit, in seconds.
///
/// The seal of a claim log lives for 2 h and has to outlive the authority of
/// every deposed owner.
pub const MAX_ISOLATION_LIMIT_S: u32 = 1_800;

/// Isolation limit of a text that does not set one, in seconds.
pub const DEFAULT_ISOLATION_LIMIT_S: u32 = 900;

/// Most findings that one check returns.
pub const MAX_FINDINGS: usize = 100;

/// Deepest nesting of lists and mappings. The schema needs 5 levels.
pub(crate) const MAX_DEPTH: usize = 16;

/// Most keys of one mapping. The schema needs 8.
pub(crate) const MAX_KEYS: usize = 64;

/// Most values in the text after aliases are replaced by what they stand for.
///
/// A text of 900,000 bytes that follows the schema has fewer than 100,000.
pub(crate) const MAX_NODES: usize = 200_000;

/// Most bytes of all values after aliases are replaced by what they stand for.
pub(crate) const MAX_EXPANDED_BYTES: usize = 2_000_000;

/// Longest name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Longest lease of an instance, in seconds.
pub(crate) const LEASE_S: u64 = 5;

/// Time for which a proof of the current revision is fresh, in seconds.
pub(crate) const FRESH_S: u64 = 3;

/// Time after a lease's end until its expiry has been observed, in seconds.
pub(crate) const OBSERVATION_S: u64 = 2;

/// Divisor that gives the margin for clock drift: 1/1000 of a duration.
pub(crate) const DRIFT_DIVISOR: u64 = 1_000;
