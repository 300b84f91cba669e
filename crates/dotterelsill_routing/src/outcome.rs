//! What became of a request that was sent to an upstream.

/// End of one attempt, as the driver observed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream gave a complete answer that counts as a success.
    Success,
    /// The upstream failed: status 5xx, broken connection or no answer in time.
    Failure,
    /// The upstream refused before running, because all its slots are taken.
    Full,
    /// The upstream refused before running, because it is leaving.
    Leaving,
    /// The caller gave up or the attempt lost against a hedge; the end says
    /// nothing about the upstream.
    Abandoned,
}
