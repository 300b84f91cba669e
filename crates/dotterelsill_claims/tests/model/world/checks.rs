//! Checks of the invariants.

use dotterelsill_claims::{
    AttemptId,
    Incarnation,
    Key,
    Outcome, //
};

use super::{
    World,
    REPEATED_OFFSET, //
};

impl World {
    /// Checks that a request is dispatched once, and not by an attempt whose
    /// caller was told "not run".
    pub(super) fn check_dispatch(&mut self, key: Key, id: AttemptId) {
        if self.dispatched.iter().any(|run| run.0 == key) {
            self.violation = Some("dispatched twice");
        }
        let number = id.number % REPEATED_OFFSET;
        if self.not_run.contains(&AttemptId { number, ..id }) {
            self.violation = Some("dispatched by an attempt that was told not_run");
        }
    }

    /// Checks the outcome that incarnation `by` reports for attempt `to`.
    ///
    /// All attempts with one identifier get the same answer, and "not run" is
    /// reported neither by an incarnation nor for an attempt that dispatched
    /// the request.
    pub(super) fn check_outcome(
        &mut self,
        by: Incarnation,
        key: Key,
        to: AttemptId,
        outcome: &Outcome<u8>,
    ) {
        match outcome {
            Outcome::Answered(answer) => {
                if *self.answers.entry(key).or_insert(*answer) != *answer {
                    self.violation = Some("two answers");
                }
            }
            Outcome::NotRun(_) => {
                let ran = |run: &&(Key, Incarnation, AttemptId)| run.0 == key;
                let mut runs = self.dispatched.iter().filter(ran);
                if runs.any(|run| run.1 == by || run.2 == to) {
                    self.violation = Some("not_run after dispatch");
                }
            }
            Outcome::Unknown(_) => {}
        }
    }
}
