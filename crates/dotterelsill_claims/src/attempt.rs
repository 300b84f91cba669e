//! Path of one request on one instance.

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

/// Next step of the driver of an [`Attempt`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<A> {
    /// Ask the owner of the bucket for a claim under this incarnation.
    RequestClaim,
    /// Read the clock and tell whether this incarnation may start work now.
    CheckAuthority,
    /// Send the request to an upstream, at most once.
    Dispatch,
    /// Wait until the run of this identifier here ends, then give
    /// [`Event::AwaitedRunEnded`].
    WaitForRun,
    /// Forward the request to the claimant, with the identifier of this attempt.
    ForwardToClaimant(Incarnation),
    /// Ask the claimant again after a delay; the request is in flight there.
    PollClaimant(Incarnation),
    /// Tell the outcome; the attempt has ended.
    Finish(Outcome<A>),
}

/// What happened to an attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event<A> {
    /// The owner answered.
    ClaimReply(ClaimReply),
    /// No answer of an owner, or no owner is known.
    OwnerUnreachable,
    /// Whether this incarnation may start work, by a clock reading made after
    /// [`Step::CheckAuthority`].
    AuthorityChecked(bool),
    /// The run that this attempt dispatched ended.
    RunEnded(RunEnd<A>),
    /// The run that this attempt waits for ended.
    AwaitedRunEnded,
    /// The claimant answered with the outcome of the forwarded request, or
    /// `None` while it is in flight.
    ClaimantReply(Option<Outcome<A>>),
    /// The claimant is gone, or did not answer.
    ClaimantUnreachable,
    /// The deadline of the request passed.
    Deadline,
}

/// End of a run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RunEnd<A> {
    /// A complete answer arrived.
    Answered {
        /// Answer.
        answer: A,
        /// Size of the answer.
        bytes: usize,
    },
    /// No complete answer arrived; the request may have run.
    NoAnswer,
    /// No byte of the request was sent.
    NotSent,
}

/// Path of one request: ask the owner, check the authority, dispatch once,
/// outcome.
///
/// Events that do not fit the state are late or repeated and are ignored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    key: Key,
    id: AttemptId,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum State {
    AskingOwner,
    CheckingAuthority,
    Running,
    WaitingForRun,
    AskingClaimant(Incarnation),
    Finished,
}

impl Attempt {
    /// Starts the path of a request that a caller sent to this instance.
    pub fn from_caller<A: Clone>(key: Key, id: AttemptId, runs: &Runs<A>) -> (Self, Step<A>) {
        let mut attempt = Attempt::new(key, id);
        let step = if runs.is_claimed(key) {
            attempt.follow_run(runs)
        } else {
            Step::RequestClaim
        };
        (attempt, step)
    }

    /// Starts the path of a request that a peer forwarded, because the owner
    /// told it that `claimant` holds the claim.
    pub fn from_peer<A: Clone>(
        key: Key,
        claimant: Incarnation,
        id: AttemptId,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> (Self, Step<A>) {
        let mut attempt = Attempt::new(key, id);
        let step = if claimant == runs.incarnation() {
            runs.note_claim(key, now);
            attempt.follow_run(runs)
        } else {
            attempt.unknown(UnknownReason::ClaimantGone)
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

    /// Takes an event and returns the next step, or `None` when the event does
    /// not fit the state.
    pub fn on_event<A: Clone>(
        &mut self,
        event: Event<A>,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Option<Step<A>> {
        let step = match (self.state, event) {
            (State::AskingOwner, Event::ClaimReply(reply)) => self.on_owner(reply, runs, now),
            (State::AskingOwner, Event::OwnerUnreachable) => {
                self.end_unstarted(NotRunReason::NoClaim, runs)
            }
            (State::CheckingAuthority, Event::AuthorityChecked(true)) => self.start(runs, now),
            (State::CheckingAuthority, Event::AuthorityChecked(false)) => {
                self.end_unstarted(NotRunReason::NoAuthority, runs)
            }
            (State::AskingOwner | State::CheckingAuthority, Event::Deadline) => {
                self.end_unstarted(NotRunReason::Deadline, runs)
            }
            (State::Running, Event::RunEnded(end)) => self.on_run_ended(end, runs, now),
            (State::WaitingForRun, Event::AwaitedRunEnded) => self.follow_run(runs),
            (State::AskingClaimant(claimant), Event::ClaimantReply(answer)) => {
                self.on_claimant(claimant, answer)
            }
            (State::AskingClaimant(_), Event::ClaimantUnreachable) => {
                self.unknown(UnknownReason::ClaimantGone)
            }
            (State::WaitingForRun | State::AskingClaimant(_), Event::Deadline) => {
                self.unknown(UnknownReason::Deadline)
            }
            _ => return None,
        };
        Some(step)
    }

    fn new(key: Key, id: AttemptId) -> Self {
        Attempt {
            key,
            id,
            state: State::AskingOwner,
        }
    }

    fn on_owner<A: Clone>(
        &mut self,
        reply: ClaimReply,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Step<A> {
        match reply {
            ClaimReply::Granted => {
                runs.note_claim(self.key, now);
                self.follow_run(runs)
            }
            ClaimReply::ClaimedBy(claimant) => {
                self.state = State::AskingClaimant(claimant);
                Step::ForwardToClaimant(claimant)
            }
            ClaimReply::Refused => self.end_unstarted(NotRunReason::NoClaim, runs),
        }
    }

    /// Does what the state of the run on this incarnation, which holds the
    /// claim, asks for.
    fn follow_run<A: Clone>(&mut self, runs: &Runs<A>) -> Step<A> {
        match runs.local_status(self.key) {
            RunStatus::NotStarted if runs.is_refused(self.key, self.id) => {
                self.not_run(NotRunReason::NoAuthority)
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
            RunStatus::Unknown(reason) => self.unknown(reason),
        }
    }

    fn start<A: Clone>(&mut self, runs: &mut Runs<A>, now: Instant) -> Step<A> {
        if runs.is_refused(self.key, self.id) || !runs.start(self.key, now) {
            return self.follow_run(runs);
        }
        self.state = State::Running;
        Step::Dispatch
    }

    /// Ends an attempt that has started nothing, unless another attempt has
    /// started the request here.
    fn end_unstarted<A: Clone>(&mut self, reason: NotRunReason, runs: &mut Runs<A>) -> Step<A> {
        if !matches!(runs.local_status(self.key), RunStatus::NotStarted) {
            return self.follow_run(runs);
        }
        runs.refuse(self.key, self.id);
        self.not_run(reason)
    }

    fn on_run_ended<A: Clone>(
        &mut self,
        end: RunEnd<A>,
        runs: &mut Runs<A>,
        now: Instant,
    ) -> Step<A> {
        match end {
            RunEnd::Answered { answer, bytes } => {
                runs.finish(self.key, answer.clone(), bytes, now);
                self.finish(Outcome::Answered(answer))
            }
            RunEnd::NoAnswer => {
                runs.lose(self.key);
                self.unknown(UnknownReason::NoAnswer)
            }
            RunEnd::NotSent => {
                runs.release(self.key);
                self.end_unstarted(NotRunReason::NotSent, runs)
            }
        }
    }

    fn on_claimant<A: Clone>(
        &mut self,
        claimant: Incarnation,
        answer: Option<Outcome<A>>,
    ) -> Step<A> {
        match answer {
            None => Step::PollClaimant(claimant),
            Some(Outcome::NotRun(_)) => self.not_run(NotRunReason::RefusedByClaimant),
            Some(outcome) => self.finish(outcome),
        }
    }

    fn unknown<A>(&mut self, reason: UnknownReason) -> Step<A> {
        self.finish(Outcome::Unknown(reason))
    }

    fn not_run<A>(&mut self, reason: NotRunReason) -> Step<A> {
        self.finish(Outcome::NotRun(reason))
    }

    fn finish<A>(&mut self, outcome: Outcome<A>) -> Step<A> {
        self.state = State::Finished;
        Step::Finish(outcome)
    }
}
