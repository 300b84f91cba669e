//! Starts and ends on the request path.

use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc, //
};

use crate::Counts;

/// Shared handle that lends the credits of one holder.
///
/// Clones share one counter. Starts and ends touch one atomic and take no lock.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    word: Arc<AtomicU64>,
}

/// Credit that a running request has on loan; dropping it ends the loan.
#[derive(Debug)]
#[must_use = "the credit is returned when it is dropped"]
pub struct Credit {
    word: Arc<AtomicU64>,
}

impl Credits {
    /// Creates a handle with the given counters.
    pub(crate) fn new(counts: Counts) -> Self {
        Self {
            word: Arc::new(AtomicU64::new(counts.pack())),
        }
    }

    /// Lends a credit for one request, or returns `None` when all are in use.
    ///
    /// The caller checks its authority to start work separately.
    pub fn try_start(&self) -> Option<Credit> {
        let start = |word| Counts::unpack(word).started().map(Counts::pack);
        if self.update(start).is_err() {
            self.note_refusal();
            return None;
        }
        Some(Credit {
            word: self.word.clone(),
        })
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        Counts::unpack(self.word.load(Ordering::Acquire))
    }

    /// Changes the allowance and returns the number running at that instant.
    ///
    /// After this call no start succeeds while more than `allowance` are running.
    pub(crate) fn set_allowance(&self, allowance: u32) -> u32 {
        let change = |word| {
            let counts = Counts::unpack(word);
            Some(
                Counts {
                    allowance,
                    ..counts
                }
                .pack(),
            )
        };
        Counts::unpack(self.update(change).unwrap_or_else(|word| word)).running
    }

    /// Returns the counters and begins a new sample.
    pub(crate) fn sample(&self) -> Counts {
        let begin = |word| {
            let counts = Counts::unpack(word);
            let peak = counts.running;
            Some(
                Counts {
                    peak,
                    refused: false,
                    ..counts
                }
                .pack(),
            )
        };
        Counts::unpack(self.update(begin).unwrap_or_else(|word| word))
    }

    /// Marks a refusal; under overload the mark is set already and nothing is written.
    fn note_refusal(&self) {
        if self.counts().refused {
            return;
        }
        let mark = Counts {
            refused: true,
            ..Counts::default()
        };
        self.word.fetch_or(mark.pack(), Ordering::AcqRel);
    }

    fn update(&self, change: impl FnMut(u64) -> Option<u64>) -> Result<u64, u64> {
        self.word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, change)
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        // The number running is in the lowest bits and is at least 1 here.
        self.word.fetch_sub(1, Ordering::AcqRel);
    }
}
