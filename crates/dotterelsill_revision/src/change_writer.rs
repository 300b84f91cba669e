//! Storing a change, and recognising one whose store answer was lost.

use std::time::Instant;

use crate::{
    Action,
    Base,
    BodyResponse,
    Head,
    HeadRead,
    Outcome,
    Predecessor,
    SwapResponse,
    UnknownReason,
    WriteId, //
};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Step {
    WriteBody,
    SwapHead,
    ReadHead,
    /// Reads the body of the write that holds the revision.
    ReadBody {
        revision: u64,
        write_id: WriteId,
    },
    Done(Outcome),
}

/// The calls that store one change.
///
/// The driver makes the call that [`next_action`](Self::next_action) names, one at a time,
/// and passes in its answer, or [`on_no_response`](Self::on_no_response) when there is none.
/// Answers that arrive after they were given up for lost may still be passed
/// in. One write identifier has one sender.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ChangeWriter {
    base: Base,
    deadline: Instant,
    step: Step,
    write_id: WriteId,
}

impl ChangeWriter {
    /// Creates a change on a base; no call is made after `deadline`.
    pub fn new(write_id: WriteId, base: Base, deadline: Instant) -> Self {
        Self {
            base,
            deadline,
            step: Step::WriteBody,
            write_id,
        }
    }

    /// Returns the head that the change writes.
    pub fn head(&self) -> Head {
        Head {
            revision: self.base.revision() + 1,
            write_id: self.write_id.clone(),
        }
    }

    /// Returns the next call, or the outcome.
    pub fn next_action(&self) -> Action {
        match &self.step {
            Step::WriteBody => Action::WriteBody,
            Step::SwapHead => Action::SwapHead {
                expected_version: self.base.version,
                head: self.head(),
            },
            Step::ReadHead => Action::ReadHead,
            Step::ReadBody { write_id, .. } => Action::ReadBody {
                write_id: write_id.clone(),
            },
            Step::Done(outcome) => Action::Done(outcome.clone()),
        }
    }

    /// Adds that the call named last has no answer.
    pub fn on_no_response(&mut self, now: Instant) {
        match self.step {
            Step::SwapHead => self.go(Step::ReadHead, now),
            Step::WriteBody | Step::ReadHead | Step::ReadBody { .. } => {
                self.go(self.step.clone(), now);
            }
            Step::Done(_) => {}
        }
    }

    /// Adds the answer to the creation of the body.
    pub fn on_body(&mut self, answer: BodyResponse, now: Instant) {
        if self.step != Step::WriteBody {
            return;
        }
        match answer {
            BodyResponse::Written => self.go(Step::SwapHead, now),
            BodyResponse::Different => self.unknown(UnknownReason::IdentifierInUse),
        }
    }

    /// Adds the answer to the compare-and-swap.
    pub fn on_swap(&mut self, answer: SwapResponse, now: Instant) {
        match (answer, &self.step) {
            (_, Step::Done(_) | Step::WriteBody) => {}
            (SwapResponse::Swapped, _) => self.stored(),
            (SwapResponse::Mismatch, Step::SwapHead) => self.go(Step::ReadHead, now),
            (SwapResponse::Mismatch, _) => {}
        }
    }

    /// Adds the answer to a read of the head.
    pub fn on_head(&mut self, read: &HeadRead, now: Instant) {
        if self.step != Step::ReadHead {
            return;
        }
        if read.version == self.base.version {
            self.go(Step::SwapHead, now);
            return;
        }
        match &read.head {
            Some(head) if head.revision > self.base.revision() => self.follow(head.clone(), now),
            // The read is older than the base and shows nothing.
            _ => self.go(Step::ReadHead, now),
        }
    }

    /// Adds the predecessor that the body of a write names.
    pub fn on_predecessor(&mut self, of: &WriteId, predecessor: Predecessor, now: Instant) {
        let Step::ReadBody { revision, write_id } = &self.step else {
            return;
        };
        if write_id != of {
            return;
        }
        let revision = revision - 1;
        match predecessor {
            Predecessor::Write(write_id) => self.follow(Head { revision, write_id }, now),
            Predecessor::None | Predecessor::BodyMissing => {
                self.unknown(UnknownReason::BodyMissing);
            }
        }
    }

    /// Goes back from a stored head above the base to the first one after it.
    fn follow(&mut self, head: Head, now: Instant) {
        if head.write_id == self.write_id {
            self.stored();
        } else if head.revision == self.base.revision() + 1 {
            self.step = Step::Done(Outcome::Overtaken);
        } else {
            let Head { revision, write_id } = head;
            self.go(Step::ReadBody { revision, write_id }, now);
        }
    }

    fn stored(&mut self) {
        let revision = self.base.revision() + 1;
        self.step = Step::Done(Outcome::Stored { revision });
    }

    fn unknown(&mut self, reason: UnknownReason) {
        self.step = Step::Done(Outcome::Unknown { reason });
    }

    /// Goes to a step that makes a call, unless the time is over.
    fn go(&mut self, step: Step, now: Instant) {
        if now < self.deadline {
            self.step = step;
            return;
        }
        match self.step {
            Step::WriteBody => self.step = Step::Done(Outcome::NotSent),
            _ => self.unknown(UnknownReason::Timeout),
        }
    }
}
