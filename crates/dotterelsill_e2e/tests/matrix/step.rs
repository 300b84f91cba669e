//! The rows of the matrix.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_e2e::{
    Answer,
    Mode,
    Work, //
};
use futures_lite::future::zip;

use crate::{
    fault::Fault,
    load::{
        blue,
        red,
        Callers, //
    },
    operators::Operators,
    stage::Stage, //
};

/// A step of the protocols.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    Registration,
    Renewal,
    HeadRead,
    Relay,
    Change,
    Acceptance,
    CreditTake,
    CreditGiveBack,
    ClaimAppend,
    ClaimTakeover,
    DispatchRepeatable,
    DispatchOnce,
    Answer,
    GracefulShutdown,
}

impl Step {
    pub(crate) const FIRST: Option<Self> = Some(Self::Registration);

    pub(crate) const FIRST_OF_LOWER_HALF: Option<Self> = Some(Self::CreditGiveBack);

    /// Returns the row below.
    pub(crate) fn next(self) -> Option<Self> {
        Some(match self {
            Self::Registration => Self::Renewal,
            Self::Renewal => Self::HeadRead,
            Self::HeadRead => Self::Relay,
            Self::Relay => Self::Change,
            Self::Change => Self::Acceptance,
            Self::Acceptance => Self::CreditTake,
            Self::CreditTake => Self::CreditGiveBack,
            Self::CreditGiveBack => Self::ClaimAppend,
            Self::ClaimAppend => Self::ClaimTakeover,
            Self::ClaimTakeover => Self::DispatchRepeatable,
            Self::DispatchRepeatable => Self::DispatchOnce,
            Self::DispatchOnce => Self::Answer,
            Self::Answer => Self::GracefulShutdown,
            Self::GracefulShutdown => return None,
        })
    }

    /// Returns the entry that the fault strikes.
    pub(crate) fn victim(self, fault: Fault) -> usize {
        match (self, fault) {
            // A killed entry breaks its requests; the other one must not.
            (Self::GracefulShutdown, Fault::EntryKilled) => 1,
            (Self::Registration | Self::GracefulShutdown, _) => 2,
            _ => 1,
        }
    }

    /// Returns the time from the begin of the step to the fault.
    pub(crate) fn lead(self, jitter_ms: u64) -> Duration {
        let lead_ms = match self {
            // A credit is given back when it was idle for 2 s.
            Self::CreditGiveBack => 1700 + 2 * jitter_ms,
            Self::DispatchRepeatable | Self::DispatchOnce | Self::GracefulShutdown => {
                100 + jitter_ms
            }
            Self::Change | Self::Acceptance | Self::ClaimAppend => jitter_ms / 8,
            _ => jitter_ms / 4,
        };
        Duration::from_millis(lead_ms)
    }

    /// Begins what needs the processes themselves.
    pub(crate) fn begin(self, stage: &mut Stage) {
        match self {
            Self::Registration => stage.replace_entry(2),
            Self::ClaimTakeover => stage.fleet.entries[2].process.kill(),
            Self::Relay => stage.fleet.entries[2].store_link.set(Mode::Cut),
            _ => {}
        }
    }

    /// Exercises the step while the fault strikes.
    pub(crate) async fn exercise(self, callers: &Callers, operators: &Operators) {
        match self {
            // These run all the time; the background load shows their effect.
            Self::Registration | Self::Renewal | Self::HeadRead | Self::Relay => {}
            Self::Change => operators.withdraw(1).await,
            Self::Acceptance => operators.take_out(0).await,
            Self::CreditTake => {
                burst(callers, 12, |_| red(300)).await;
            }
            Self::CreditGiveBack => {
                burst(callers, 12, |_| blue("key-of-blue", 200)).await;
            }
            Self::ClaimAppend | Self::ClaimTakeover => {
                burst(callers, 12, |_| callers.once(10)).await;
            }
            Self::DispatchRepeatable => {
                burst(callers, 9, |_| blue("key-of-blue", 400)).await;
            }
            Self::DispatchOnce => {
                let works: Vec<_> = (0..9).map(|_| callers.once(400)).collect();
                let first = burst(callers, 9, |number| works[number].clone());
                let retries = async {
                    Timer::after(Duration::from_millis(200)).await;
                    burst(callers, 9, |number| works[8 - number].clone()).await
                };
                zip(first, retries).await;
            }
            Self::Answer => {
                burst(callers, 9, |_| Work {
                    body_bytes: 300_000,
                    ..blue("key-of-blue", 100)
                })
                .await;
            }
            Self::GracefulShutdown => shut_down(callers, operators).await,
        }
    }
}

/// Sends work to the entries in turn, all at once.
async fn burst(callers: &Callers, count: usize, work: impl Fn(usize) -> Work) -> Vec<Answer> {
    let (sender, receiver) = async_channel::unbounded();
    for number in 0..count {
        let callers_of_task = callers.clone();
        let work = work(number);
        let sender = sender.clone();
        callers.tasks.spawn(async move {
            let answer = callers_of_task.send(number % 3, &work).await;
            // The cell may have failed.
            let _ = sender.try_send(answer);
        });
    }
    drop(sender);
    let mut answers = Vec::new();
    while let Ok(answer) = receiver.recv().await {
        answers.push(answer);
    }
    answers
}

/// Ends an entry with requests in flight, none of which may break (P10).
async fn shut_down(callers: &Callers, operators: &Operators) {
    let work = blue("key-of-blue", 900);
    let send = || callers.send(2, &work);
    let end = async {
        Timer::after(Duration::from_millis(300)).await;
        operators.terminate();
    };
    let ((first, second), ((third, fourth), ())) =
        zip(zip(send(), send()), zip(zip(send(), send()), end)).await;
    for answer in [first, second, third, fourth] {
        assert_ne!(answer.outcome, "broken", "P10: {answer:?}");
    }
}
