//! Sliding window of the latest answers of an upstream, in one atomic word.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Number of answers over which the failure rate is computed.
pub const WINDOW_ANSWERS: u32 = 20;

/// Minimum number of failures in the window for an upstream to be an outlier.
pub const MIN_FAILURES: u32 = 5;

/// Bit position of the number of answers; the bits below hold the history.
const COUNT_SHIFT: u32 = 32;

/// Mask of the history bits.
const HISTORY_MASK: u64 = (1 << WINDOW_ANSWERS) - 1;

/// The latest answers: one bit per answer, set for a failure.
#[derive(Debug, Default)]
pub(crate) struct Window {
    word: AtomicU64,
}

impl Window {
    /// Adds an answer. Returns whether the upstream is now an outlier.
    pub(crate) fn push(&self, failed: bool) -> bool {
        let mut old = self.word.load(Ordering::Relaxed);
        loop {
            let new = push_answer(old, failed);
            // A full window of equal answers does not change. Skipping the
            // write keeps its cache line shared between the threads.
            if new == old {
                return is_outlier(new);
            }
            match self
                .word
                .compare_exchange_weak(old, new, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return is_outlier(new),
                Err(current) => old = current,
            }
        }
    }

    /// Removes all answers.
    pub(crate) fn clear(&self) {
        self.word.store(0, Ordering::Relaxed);
    }

    /// Returns the number of failures in the window.
    pub(crate) fn failures(&self) -> u32 {
        failures(self.word.load(Ordering::Relaxed))
    }

    /// Returns whether the failure rate justifies an ejection.
    pub(crate) fn is_outlier(&self) -> bool {
        is_outlier(self.word.load(Ordering::Relaxed))
    }
}

/// Returns the word with one more answer.
fn push_answer(word: u64, failed: bool) -> u64 {
    let count = (word >> COUNT_SHIFT) + 1;
    let history = ((word << 1) | u64::from(failed)) & HISTORY_MASK;
    (count.min(u64::from(WINDOW_ANSWERS)) << COUNT_SHIFT) | history
}

fn failures(word: u64) -> u32 {
    (word & HISTORY_MASK).count_ones()
}

/// Returns whether more than half of the answers failed, and enough of them.
fn is_outlier(word: u64) -> bool {
    let count = u32::try_from(word >> COUNT_SHIFT).unwrap_or(u32::MAX);
    let failures = failures(word);
    failures >= MIN_FAILURES && failures * 2 > count
}
