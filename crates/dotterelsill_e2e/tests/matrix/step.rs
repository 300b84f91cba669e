//! Steps of the protocols, the rows of the matrix.

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
    harness::Harness,
    load::{
        blue,
        red,
        Callers, //
    },
    operators::Operators, //
};

/// A step of the protocols, exercised while a fault is injected.
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

    /// First row of the second fleet of a column.
    pub(crate) const FIRST_OF_LOWER_HALF: Option<Self> = Some(Self::CreditGiveBack);

    /// Returns the step of the next row.
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

    /// Returns the index of the process that the fault hits.
    pub(crate) fn target(self, fault: Fault) -> usize {
        match (self, fault) {
            // Killing an entry breaks its requests, but those of the entry that shuts
            // down must not break.
            (Self::GracefulShutdown, Fault::EntryKilled) => 1,
            (Self::Registration | Self::GracefulShutdown, _) => 2,
            _ => 1,
        }
    }

    /// Returns the time from the start of the step to the start of the fault.
    pub(crate) fn fault_delay(self, jitter_ms: u64) -> Duration {
        let fault_delay_ms = match self {
            // A credit is given back after it has been idle for 2 s.
            Self::CreditGiveBack => 1700 + 2 * jitter_ms,
            Self::DispatchRepeatable | Self::DispatchOnce | Self::GracefulShutdown => {
                100 + jitter_ms
            }
            Self::Change | Self::Acceptance | Self::ClaimAppend => jitter_ms / 8,
            _ => jitter_ms / 4,
        };
        Duration::from_millis(fault_delay_ms)
    }

    /// Makes the changes to processes and links that the step begins with.
    pub(crate) fn prepare(self, harness: &mut Harness) {
        match self {
            Self::Registration => harness.replace_entry(2),
            Self::ClaimTakeover => harness.fleet.entries[2].process.kill(),
            Self::Relay => harness.fleet.entries[2].store_link.set(Mode::Cut),
            _ => {}
        }
    }

    /// Exercises the step while the fault is injected.
    pub(crate) async fn exercise(self, callers: &Callers, operators: &Operators) {
        match self {
            // These run all the time; the background load depends on them.
            Self::Registration | Self::Renewal | Self::HeadRead | Self::Relay => {}
            Self::Change => operators.withdraw(1).await,
            Self::Acceptance => operators.exclude_data_centre(0).await,
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
                let requests: Vec<_> = (0..9).map(|_| callers.once(400)).collect();
                let first = burst(callers, 9, |number| requests[number].clone());
                let retries = async {
                    Timer::after(Duration::from_millis(200)).await;
                    burst(callers, 9, |number| requests[8 - number].clone()).await
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

/// Sends requests concurrently, distributed over the entries in turn, and returns
/// the answers in the order of arrival.
async fn burst(callers: &Callers, count: usize, work: impl Fn(usize) -> Work) -> Vec<Answer> {
    let (sender, receiver) = async_channel::unbounded();
    for number in 0..count {
        let task_callers = callers.clone();
        let work = work(number);
        let sender = sender.clone();
        callers.tasks.spawn(async move {
            let answer = task_callers.send(number % 3, &work).await;
            // Fails only if the cell has failed and dropped the receiver.
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

/// Shuts down an entry with requests in flight, none of which may break (P10).
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
