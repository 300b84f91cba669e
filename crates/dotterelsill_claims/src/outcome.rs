//! What a caller is told.

/// Outcome of one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome<A> {
    /// The first answer to the identifier.
    Answered(A),
    /// This attempt ran nothing and never will; the same identifier may be sent
    /// again.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Reason why an attempt ran nothing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunReason {
    /// The identifier cannot be accepted by any instance.
    InvalidIdentifier,
    /// The owner of the bucket granted no claim: it, or the store, cannot be
    /// reached, or it is not the owner any more.
    NoClaim,
    /// The claimant has no authority to start work.
    NoAuthority,
    /// No upstream could be reached; nothing was sent.
    NotSent,
    /// The claimant reported that it refused this attempt.
    RefusedByClaimant,
    /// The deadline passed before the request was started.
    Deadline,
}

/// Reason why it is not known whether the request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The issue time is outside the limits; an earlier attempt may have run.
    IssueTime,
    /// The run ended without a complete answer.
    NoAnswer,
    /// The request ran; its answer is not kept any more.
    AnswerDropped,
    /// The incarnation that may have run the request is gone or silent.
    ClaimantGone,
    /// The deadline passed while the request was running.
    Deadline,
}
