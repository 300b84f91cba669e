//! Claimant's side: the requests that this incarnation has run.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    answers::AnswerQueue,
    expiring_map::ExpiringMap,
    Incarnation,
    Key,
    UnknownReason, //
};

/// Limits of [`Runs`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunLimits {
    /// Time for which an answer is stored.
    pub answer_retention: Duration,
    /// Maximum total size of the stored answers in bytes; the oldest are
    /// dropped first.
    pub max_answer_bytes: usize,
}

impl Default for RunLimits {
    fn default() -> Self {
        RunLimits {
            answer_retention: Duration::from_secs(600),
            max_answer_bytes: 64 << 20,
        }
    }
}

/// Identifies one attempt of a caller across all instances.
///
/// The incarnation that the attempt arrived at assigns the number and never
/// reuses it. A request forwarded to a claimant carries the identifier of its
/// attempt, the same on each repetition, so that the claimant recognises
/// repeated messages.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Incarnation at which the attempt arrived.
    pub incarnation: Incarnation,
    /// Number assigned by that incarnation, ascending.
    pub number: u64,
}

/// Status of the run of one identifier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RunStatus<A> {
    /// This incarnation has not dispatched the request.
    NotStarted,
    /// The request was dispatched and has not ended.
    InFlight,
    /// The request ran and was answered.
    Answered(A),
    /// The request may have run; no answer is stored.
    Unknown(UnknownReason),
}

/// Requests whose claims this incarnation holds, with the state of their runs.
///
/// `A` is an answer. It is cloned for each retry, so it should be cheap to
/// clone, for example reference-counted. An identifier stays recorded for as
/// long as its claim can be found in the log, which is longer than its answer
/// is stored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Runs<A> {
    incarnation: Incarnation,
    limits: RunLimits,
    runs: ExpiringMap<Run<A>>,
    answers: AnswerQueue,
}

/// State of one identifier. An identifier without an entry is not known to be
/// claimed by this incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Run<A> {
    /// Claimed, not dispatched.
    Claimed(RefusedAttempts),
    /// Dispatched, not ended.
    Dispatched(RefusedAttempts),
    Answered(A),
    Unknown(UnknownReason),
}

/// Attempts that were told "not run", as the highest attempt number per
/// incarnation. A repeated message of such an attempt must not start the
/// request.
type RefusedAttempts = BTreeMap<Incarnation, u64>;

impl<A: Clone> Runs<A> {
    /// Creates the state of an incarnation that has run nothing.
    pub fn new(incarnation: Incarnation, limits: RunLimits) -> Self {
        Runs {
            incarnation,
            limits,
            runs: ExpiringMap::new(),
            answers: AnswerQueue::new(),
        }
    }

    /// Returns the incarnation that these runs belong to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of recorded identifiers.
    pub fn identifier_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the total size of the stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answers.total_bytes()
    }

    /// Returns the status of the run of an identifier that `claimant` claimed.
    ///
    /// The status is unknown if `claimant` is another incarnation, including an
    /// earlier one of this instance: it is gone, and what it ran is not known.
    pub fn status(&self, claimant: Incarnation, key: Key) -> RunStatus<A> {
        if claimant != self.incarnation {
            return RunStatus::Unknown(UnknownReason::ClaimantGone);
        }
        self.local_status(key)
    }

    /// Drops expired answers and removes identifiers whose claims have expired.
    pub fn expire(&mut self, now: Instant) {
        self.drop_answers(now);
        self.runs.expire(now);
    }

    /// Returns the status of the run of an identifier on this incarnation.
    pub(crate) fn local_status(&self, key: Key) -> RunStatus<A> {
        match self.runs.get(key) {
            None | Some(Run::Claimed(_)) => RunStatus::NotStarted,
            Some(Run::Dispatched(_)) => RunStatus::InFlight,
            Some(Run::Answered(answer)) => RunStatus::Answered(answer.clone()),
            Some(Run::Unknown(reason)) => RunStatus::Unknown(*reason),
        }
    }

    /// Returns whether this incarnation is known to hold the claim.
    pub(crate) fn has_claim(&self, key: Key) -> bool {
        self.runs.get(key).is_some()
    }

    /// Records that the claim of this incarnation is in the log.
    pub(crate) fn record_claim(&mut self, key: Key, now: Instant) {
        if self.runs.get(key).is_none() {
            self.runs.insert(key, Run::Claimed(BTreeMap::new()), now);
        }
    }

    /// Returns whether an attempt was told that it did not run.
    pub(crate) fn is_refused(&self, key: Key, attempt: AttemptId) -> bool {
        let Some(Run::Claimed(refused)) = self.runs.get(key) else {
            return false;
        };
        refused
            .get(&attempt.incarnation)
            .is_some_and(|highest| attempt.number <= *highest)
    }

    /// Records that an attempt is told that it did not run.
    pub(crate) fn mark_refused(&mut self, key: Key, attempt: AttemptId) {
        if let Some(Run::Claimed(refused)) = self.runs.get_mut(key) {
            let highest = refused.entry(attempt.incarnation).or_default();
            *highest = attempt.number.max(*highest);
        }
    }

    /// Marks a claimed request as dispatched.
    ///
    /// Returns `true` if the request was claimed and not dispatched; only then
    /// may the calling attempt dispatch it.
    pub(crate) fn mark_dispatched(&mut self, key: Key, now: Instant) -> bool {
        let Some(Run::Claimed(refused)) = self.runs.get_mut(key) else {
            return false;
        };
        let refused = std::mem::take(refused);
        self.runs.insert(key, Run::Dispatched(refused), now);
        true
    }

    /// Resets a dispatched request to claimed, since no byte of it was sent.
    pub(crate) fn mark_not_sent(&mut self, key: Key) {
        if let Some(run) = self.runs.get_mut(key) {
            if let Run::Dispatched(refused) = run {
                *run = Run::Claimed(std::mem::take(refused));
            }
        }
    }

    /// Stores the answer of a run; `bytes` is its size.
    pub(crate) fn store_answer(&mut self, key: Key, answer: A, bytes: usize, now: Instant) {
        if let Some(run @ Run::Dispatched(_)) = self.runs.get_mut(key) {
            *run = Run::Answered(answer);
            self.answers.push(key, bytes, now);
        }
        self.drop_answers(now);
    }

    /// Records that a run ended without a complete answer.
    pub(crate) fn mark_no_answer(&mut self, key: Key) {
        if let Some(run @ Run::Dispatched(_)) = self.runs.get_mut(key) {
            *run = Run::Unknown(UnknownReason::NoAnswer);
        }
    }

    /// Drops the answers that have expired or exceed the size limit.
    fn drop_answers(&mut self, now: Instant) {
        while let Some(key) = self.answers.evict(&self.limits, now) {
            if let Some(run) = self.runs.get_mut(key) {
                *run = Run::Unknown(UnknownReason::AnswerDropped);
            }
        }
    }
}
