//! State machine that writes a change to the store.
//!
//! If the response to the write is lost, it reads the history back to find out
//! whether the change was stored.

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
    /// Reads the body of the write that created the revision.
    ReadBody {
        revision: u64,
        write_id: WriteId,
    },
    Done(Outcome),
}

/// Determines the store calls that write one change.
///
/// The driver makes the call that [`next_action`](Self::next_action) returns, one
/// at a time. It passes in the response, or calls
/// [`on_no_response`](Self::on_no_response) when there is none. Responses that
/// arrive after that may still be passed in. Only one driver may use a write
/// identifier.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ChangeWriter {
    base: Base,
    deadline: Instant,
    step: Step,
    write_id: WriteId,
}

impl ChangeWriter {
    /// Creates a writer for a change that replaces `base`.
    ///
    /// Once `deadline` has passed, no further call is requested.
    pub fn new(write_id: WriteId, base: Base, deadline: Instant) -> Self {
        Self {
            base,
            deadline,
            step: Step::WriteBody,
            write_id,
        }
    }

    /// Returns the head that the compare-and-swap writes.
    pub fn head(&self) -> Head {
        Head {
            revision: self.base.revision() + 1,
            write_id: self.write_id.clone(),
        }
    }

    /// Returns the next store call, or the outcome.
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

    /// Records that the last call got no response.
    ///
    /// The swap may have taken effect without a response, so the head is read
    /// next. All other calls are repeated.
    pub fn on_no_response(&mut self, now: Instant) {
        match self.step {
            Step::SwapHead => self.advance_to(Step::ReadHead, now),
            Step::WriteBody | Step::ReadHead | Step::ReadBody { .. } => {
                self.advance_to(self.step.clone(), now);
            }
            Step::Done(_) => {}
        }
    }

    /// Records the response to the creation of the body.
    pub fn on_body(&mut self, response: BodyResponse, now: Instant) {
        if self.step != Step::WriteBody {
            return;
        }
        match response {
            BodyResponse::Written => self.advance_to(Step::SwapHead, now),
            BodyResponse::Different => self.finish_unknown(UnknownReason::IdentifierInUse),
        }
    }

    /// Records the response to the compare-and-swap.
    pub fn on_swap(&mut self, response: SwapResponse, now: Instant) {
        match (response, &self.step) {
            (_, Step::Done(_) | Step::WriteBody) => {}
            (SwapResponse::Swapped, _) => self.finish_stored(),
            (SwapResponse::Mismatch, Step::SwapHead) => self.advance_to(Step::ReadHead, now),
            (SwapResponse::Mismatch, _) => {}
        }
    }

    /// Records the response to a read of the head.
    pub fn on_head(&mut self, read: &HeadRead, now: Instant) {
        if self.step != Step::ReadHead {
            return;
        }
        if read.version == self.base.version {
            self.advance_to(Step::SwapHead, now);
            return;
        }
        match &read.head {
            Some(head) if head.revision > self.base.revision() => {
                self.trace_back(head.clone(), now)
            }
            // The read is older than the base and does not show the result.
            _ => self.advance_to(Step::ReadHead, now),
        }
    }

    /// Records the predecessor found in the body of the write `of`.
    pub fn on_predecessor(&mut self, of: &WriteId, predecessor: Predecessor, now: Instant) {
        let Step::ReadBody { revision, write_id } = &self.step else {
            return;
        };
        if write_id != of {
            return;
        }
        let revision = revision - 1;
        match predecessor {
            Predecessor::Write(write_id) => self.trace_back(Head { revision, write_id }, now),
            Predecessor::None | Predecessor::BodyMissing => {
                self.finish_unknown(UnknownReason::BodyMissing);
            }
        }
    }

    /// Follows the history from a stored head back to the direct successor of the
    /// base, to see which write replaced the base.
    fn trace_back(&mut self, head: Head, now: Instant) {
        if head.write_id == self.write_id {
            self.finish_stored();
        } else if head.revision == self.base.revision() + 1 {
            self.step = Step::Done(Outcome::Overtaken);
        } else {
            let Head { revision, write_id } = head;
            self.advance_to(Step::ReadBody { revision, write_id }, now);
        }
    }

    fn finish_stored(&mut self) {
        let revision = self.base.revision() + 1;
        self.step = Step::Done(Outcome::Stored { revision });
    }

    fn finish_unknown(&mut self, reason: UnknownReason) {
        self.step = Step::Done(Outcome::Unknown { reason });
    }

    /// Moves to a step that makes a call, unless the deadline has passed.
    fn advance_to(&mut self, step: Step, now: Instant) {
        if now < self.deadline {
            self.step = step;
            return;
        }
        match self.step {
            Step::WriteBody => self.step = Step::Done(Outcome::NotSent),
            _ => self.finish_unknown(UnknownReason::Timeout),
        }
    }
}
