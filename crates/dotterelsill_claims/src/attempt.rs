//! State machine of one request on one instance.

use std::time::Instant;

use crate::{
    AttemptId,
    ClaimReply,
    Incarnation,
    Key,
    NotRunReason,
    Outcome,
    RunStatus,
    Runs,
    UnknownReason, //
};

/// Next step that the driver of an [`Attempt`] has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<A> {
    /// Request a claim for this incarnation from the owner of the bucket.
    RequestClaim,
    /// Read the clock and report whether this incarnation may start work now.
    CheckAuthority,
    /// Send the request to an upstream, at most once.
    Dispatch,
    /// Wait until the run of this identifier on this incarnation, which another
    /// attempt started, ends; then report [`Event::AwaitedRunEnded`].
    WaitForRun,
    /// Forward the request to the claimant, with the identifier of this
    /// attempt.
    ForwardToClaimant(Incarnation),
    /// Forward the request to the claimant again after a delay, since it is in
    /// flight there.
    PollClaimant(Incarnation),
    /// Report the outcome to the sender; the attempt has ended.
    Finish(Outcome<A>),
}

/// Event that the driver reports to an [`Attempt`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event<A> {
    /// The owner replied to the request for a claim.
    ClaimReply(ClaimReply),
    /// The owner did not reply, or no owner is known.
    OwnerUnreachable,
    /// Whether this incarnation may start work, according to a clock reading
    /// taken after [`Step::CheckAuthority`].
    AuthorityChecked(bool),
    /// The run that this attempt dispatched ended.
    RunEnded(RunEnd<A>),
    /// The run that this attempt waits for ended; another attempt dispatched
    /// it.
    AwaitedRunEnded,
    /// The claimant replied with the outcome of the forwarded request, or with
    /// `None` while the request is in flight.
    ClaimantReply(Option<Outcome<A>>),
    /// The claimant is gone or did not reply.
    ClaimantUnreachable,
    /// The deadline of the request passed.
    Deadline,
}

/// How a run ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RunEnd<A> {
    /// A complete answer arrived.
    Answered {
        /// Answer of the upstream.
        answer: A,
        /// Size of the answer in bytes, for the limit on stored answers.
        bytes: usize,
    },
    /// No complete answer arrived; the request may have run.
    NoAnswer,
    /// No byte of the request was sent, so it can be dispatched again.
    NotSent,
}

/// State machine of one request: request the claim, check the authority,
/// dispatch once, report the outcome.
///
/// If another incarnation holds the claim, the request is forwarded to it
/// instead. Events that do not match the state are late or repeated and are
/// ignored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    key: Key,
    id: AttemptId,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum State {
    RequestingClaim,
    CheckingAuthority,
    Running,
    WaitingForRun,
    AwaitingClaimant(Incarnation),
    Finished,
}

impl Attempt {
    /// Starts an attempt for a request that a caller sent to this instance.
    pub fn from_caller<A: Clone>(key: Key, id: AttemptId, runs: &Runs<A>) -> (Self, Step<A>) {
        let mut attempt = Attempt::new(key, id);
        let step = if runs.has_claim(key) {
            attempt.next_step_for_run(runs)
        } else {
            Step::RequestClaim
        };
        (attempt, step)
    }

    /// Starts an attempt for a request that a peer forwarded because the owner
    /// replied that `claimant` holds the claim.
    pub fn from_peer<A: Clone>(
        key: Key,
        claimant: Incarnation,
        id: AttemptId,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> (Self, Step<A>) {
        let mut attempt = Attempt::new(key, id);
        let step = if claimant == runs.incarnation() {
            runs.record_claim(key, now);
            attempt.next_step_for_run(runs)
        } else {
            attempt.finish_unknown(UnknownReason::ClaimantGone)
        };
        (attempt, step)
    }

    /// Returns the key of the identifier that the request carries.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the identifier of the attempt, which is sent along with a
    /// request that is forwarded to a claimant.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Handles an event and returns the next step, or `None` if the event does
    /// not match the state.
    pub fn on_event<A: Clone>(
        &mut self,
        event: Event<A>,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Option<Step<A>> {
        let step = match (self.state, event) {
            (State::RequestingClaim, Event::ClaimReply(reply)) => {
                self.on_claim_reply(reply, runs, now)
            }
            (State::RequestingClaim, Event::OwnerUnreachable) => {
                self.finish_not_dispatched(NotRunReason::NoClaim, runs)
            }
            (State::CheckingAuthority, Event::AuthorityChecked(true)) => self.dispatch(runs, now),
            (State::CheckingAuthority, Event::AuthorityChecked(false)) => {
                self.finish_not_dispatched(NotRunReason::NoAuthority, runs)
            }
            (State::RequestingClaim | State::CheckingAuthority, Event::Deadline) => {
                self.finish_not_dispatched(NotRunReason::Deadline, runs)
            }
            (State::Running, Event::RunEnded(end)) => self.on_run_ended(end, runs, now),
            (State::WaitingForRun, Event::AwaitedRunEnded) => self.next_step_for_run(runs),
            (State::AwaitingClaimant(claimant), Event::ClaimantReply(answer)) => {
                self.on_claimant_reply(claimant, answer)
            }
            (State::AwaitingClaimant(_), Event::ClaimantUnreachable) => {
                self.finish_unknown(UnknownReason::ClaimantGone)
            }
            (State::WaitingForRun | State::AwaitingClaimant(_), Event::Deadline) => {
                self.finish_unknown(UnknownReason::Deadline)
            }
            _ => return None,
        };
        Some(step)
    }

    fn new(key: Key, id: AttemptId) -> Self {
        Attempt {
            key,
            id,
            state: State::RequestingClaim,
        }
    }

    fn on_claim_reply<A: Clone>(
        &mut self,
        reply: ClaimReply,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Step<A> {
        match reply {
            ClaimReply::Granted => {
                runs.record_claim(self.key, now);
                self.next_step_for_run(runs)
            }
            ClaimReply::ClaimedBy(claimant) => {
                self.state = State::AwaitingClaimant(claimant);
                Step::ForwardToClaimant(claimant)
            }
            ClaimReply::Refused => self.finish_not_dispatched(NotRunReason::NoClaim, runs),
        }
    }

    /// Returns the next step for the state of the run on this incarnation,
    /// which holds the claim.
    fn next_step_for_run<A: Clone>(&mut self, runs: &Runs<A>) -> Step<A> {
        match runs.local_status(self.key) {
            RunStatus::NotStarted if runs.is_refused(self.key, self.id) => {
                self.finish_not_run(NotRunReason::NoAuthority)
            }
            RunStatus::NotStarted => {
                self.state = State::CheckingAuthority;
                Step::CheckAuthority
            }
            RunStatus::InFlight => {
                self.state = State::WaitingForRun;
                Step::WaitForRun
            }
            RunStatus::Answered(answer) => self.finish(Outcome::Answered(answer)),
            RunStatus::Unknown(reason) => self.finish_unknown(reason),
        }
    }

    fn dispatch<A: Clone>(&mut self, runs: &mut Runs<A>, now: Instant) -> Step<A> {
        if runs.is_refused(self.key, self.id) || !runs.mark_dispatched(self.key, now) {
            return self.next_step_for_run(runs);
        }
        self.state = State::Running;
        Step::Dispatch
    }

    /// Ends an attempt that has not dispatched the request, unless another
    /// attempt has dispatched it on this incarnation.
    fn finish_not_dispatched<A: Clone>(
        &mut self,
        reason: NotRunReason,
        runs: &mut Runs<A>,
    ) -> Step<A> {
        if !matches!(runs.local_status(self.key), RunStatus::NotStarted) {
            return self.next_step_for_run(runs);
        }
        runs.mark_refused(self.key, self.id);
        self.finish_not_run(reason)
    }

    fn on_run_ended<A: Clone>(
        &mut self,
        end: RunEnd<A>,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Step<A> {
        match end {
            RunEnd::Answered { answer, bytes } => {
                runs.store_answer(self.key, answer.clone(), bytes, now);
                self.finish(Outcome::Answered(answer))
            }
            RunEnd::NoAnswer => {
                runs.mark_no_answer(self.key);
                self.finish_unknown(UnknownReason::NoAnswer)
            }
            RunEnd::NotSent => {
                runs.mark_not_sent(self.key);
                self.finish_not_dispatched(NotRunReason::NotSent, runs)
            }
        }
    }

    fn on_claimant_reply<A: Clone>(
        &mut self,
        claimant: Incarnation,
        answer: Option<Outcome<A>>,
    ) -> Step<A> {
        match answer {
            None => Step::PollClaimant(claimant),
            Some(Outcome::NotRun(_)) => self.finish_not_run(NotRunReason::RefusedByClaimant),
            Some(outcome) => self.finish(outcome),
        }
    }

    fn finish_unknown<A>(&mut self, reason: UnknownReason) -> Step<A> {
        self.finish(Outcome::Unknown(reason))
    }

    fn finish_not_run<A>(&mut self, reason: NotRunReason) -> Step<A> {
        self.finish(Outcome::NotRun(reason))
    }

    fn finish<A>(&mut self, outcome: Outcome<A>) -> Step<A> {
        self.state = State::Finished;
        Step::Finish(outcome)
    }
}
