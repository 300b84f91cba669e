//! Outcome of a request sent to an upstream.

/// Outcome of one attempt, as observed by the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream sent a complete answer that counts as a success.
    Success,
    /// The upstream failed: status 5xx, broken connection or no answer in time.
    Failure,
    /// The upstream refused before running, because all its slots are taken.
    Full,
    /// The upstream refused before running, because it is leaving.
    Leaving,
    /// The caller gave up, or another attempt of a hedged request was faster.
    /// This says nothing about the upstream.
    Abandoned,
}
