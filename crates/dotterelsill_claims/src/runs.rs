//! Claimant's side: what this incarnation has run.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    aged::Aged,
    answers::Answers,
    Incarnation,
    Key,
    UnknownReason, //
};

/// Limits of [`Runs`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunLimits {
    /// Time for which an answer is kept.
    pub answer_retention: Duration,
    /// Largest total size of the answers kept.
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

/// What is known about the run of one identifier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RunStatus<A> {
    /// This incarnation never dispatched the request.
    NotStarted,
    /// The request was dispatched and has not ended.
    InFlight,
    /// First answer.
    Answered(A),
    /// The request may have run; no answer is kept.
    Unknown(UnknownReason),
}

/// Requests that this incarnation may run, runs or has run.
///
/// `A` is an answer; it is cloned for each retry, so it should be shared bytes.
/// That an identifier was dispatched is remembered for as long as its claim can
/// be found in the log, longer than its answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Runs<A> {
    incarnation: Incarnation,
    limits: RunLimits,
    runs: Aged<Run<A>>,
    answers: Answers,
}

/// State of one identifier; without an entry it is "none".
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Run<A> {
    /// Claimed and not dispatched.
    Claimed(Refused),
    /// Dispatched, not ended.
    Dispatched(Refused),
    Answered(A),
    Unknown(UnknownReason),
}

/// Attempts that were told "not run", as the highest number per incarnation. A
/// repeated message of them must not start the request.
type Refused = BTreeMap<Incarnation, u64>;

impl<A: Clone> Runs<A> {
    /// Creates the state of a new incarnation.
    pub fn new(incarnation: Incarnation, limits: RunLimits) -> Self {
        Runs {
            incarnation,
            limits,
            runs: Aged::new(),
            answers: Answers::new(),
        }
    }

    /// Returns the incarnation whose runs these are.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of identifiers remembered.
    pub fn identifier_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the total size of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answers.total_bytes()
    }

    /// Answers a peer's question about an identifier that `claimant` claimed.
    ///
    /// Another incarnation, an earlier one of this instance included, is gone:
    /// what it ran is not known.
    pub fn status(&self, claimant: Incarnation, key: Key) -> RunStatus<A> {
        if claimant != self.incarnation {
            return RunStatus::Unknown(UnknownReason::ClaimantGone);
        }
        self.local_status(key)
    }

    /// Drops old answers and forgets identifiers whose claims have expired.
    pub fn expire(&mut self, now: Instant) {
        self.drop_answers(now);
        self.runs.expire(now);
    }

    pub(crate) fn local_status(&self, key: Key) -> RunStatus<A> {
        match self.runs.get(key) {
            None | Some(Run::Claimed(_)) => RunStatus::NotStarted,
            Some(Run::Dispatched(_)) => RunStatus::InFlight,
            Some(Run::Answered(answer)) => RunStatus::Answered(answer.clone()),
            Some(Run::Unknown(reason)) => RunStatus::Unknown(*reason),
        }
    }

    /// Returns whether this incarnation is known to hold the claim.
    pub(crate) fn is_claimed(&self, key: Key) -> bool {
        self.runs.get(key).is_some()
    }

    /// Notes that the claim of this incarnation is in the log.
    pub(crate) fn note_claim(&mut self, key: Key, now: Instant) {
        if self.runs.get(key).is_none() {
            self.runs.set(key, Run::Claimed(BTreeMap::new()), now);
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

    /// Notes that an attempt is told that it did not run.
    pub(crate) fn refuse(&mut self, key: Key, attempt: AttemptId) {
        if let Some(Run::Claimed(refused)) = self.runs.get_mut(key) {
            let highest = refused.entry(attempt.incarnation).or_default();
            *highest = attempt.number.max(*highest);
        }
    }

    /// Marks a claimed request as dispatched; returns whether the caller of
    /// this function is the one to dispatch it.
    pub(crate) fn start(&mut self, key: Key, now: Instant) -> bool {
        let Some(Run::Claimed(refused)) = self.runs.get_mut(key) else {
            return false;
        };
        let refused = std::mem::take(refused);
        self.runs.set(key, Run::Dispatched(refused), now);
        true
    }

    /// Notes that no byte of a dispatched request was sent.
    pub(crate) fn release(&mut self, key: Key) {
        if let Some(run) = self.runs.get_mut(key) {
            if let Run::Dispatched(refused) = run {
                *run = Run::Claimed(std::mem::take(refused));
            }
        }
    }

    /// Keeps the answer of a run.
    pub(crate) fn finish(&mut self, key: Key, answer: A, bytes: usize, now: Instant) {
        if let Some(run @ Run::Dispatched(_)) = self.runs.get_mut(key) {
            *run = Run::Answered(answer);
            self.answers.push(key, bytes, now);
        }
        self.drop_answers(now);
    }

    /// Notes that a run ended without a complete answer.
    pub(crate) fn lose(&mut self, key: Key) {
        if let Some(run @ Run::Dispatched(_)) = self.runs.get_mut(key) {
            *run = Run::Unknown(UnknownReason::NoAnswer);
        }
    }

    fn drop_answers(&mut self, now: Instant) {
        while let Some(key) = self.answers.pop(&self.limits, now) {
            if let Some(run) = self.runs.get_mut(key) {
                *run = Run::Unknown(UnknownReason::AnswerDropped);
            }
        }
    }
}
