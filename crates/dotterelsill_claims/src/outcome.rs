//! Outcomes of an attempt, as reported to the caller.

/// Outcome of one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome<A> {
    /// Answer of the only run, the same for every attempt with the identifier.
    Answered(A),
    /// This attempt did not run the request and never will; the caller may
    /// retry with the same identifier.
    NotRun(NotRunReason),
    /// It is not known whether the request ran.
    Unknown(UnknownReason),
}

/// Reason why an attempt did not run the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunReason {
    /// The identifier is malformed; no instance accepts it.
    InvalidIdentifier,
    /// No claim was granted: the owner of the bucket or the store cannot be
    /// reached, or the instance that received the claim is no longer the owner.
    NoClaim,
    /// The claimant currently has no authority to start work.
    NoAuthority,
    /// No upstream could be reached; no byte of the request was sent.
    NotSent,
    /// The claimant replied that it did not run this attempt.
    RefusedByClaimant,
    /// The deadline passed before the request was dispatched.
    Deadline,
}

/// Reason why it is not known whether the request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The issue time is outside the accepted range; an earlier attempt may
    /// have run.
    IssueTime,
    /// The run ended without a complete answer.
    NoAnswer,
    /// The request ran, but its answer is no longer stored.
    AnswerDropped,
    /// The incarnation that may have run the request is gone or does not
    /// respond.
    ClaimantGone,
    /// The deadline passed while the request was running.
    Deadline,
}
