//! Last answers of an upstream, in one atomic word.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Number of answers over which the success rate is taken.
pub const WINDOW_ANSWERS: u32 = 20;

/// Least number of failures in the window before an upstream is an outlier.
pub const MIN_FAILURES: u32 = 5;

/// Bit position of the number of answers; the history lies below it.
const COUNT_SHIFT: u32 = 32;

/// Bits of the history.
const HISTORY_MASK: u64 = (1 << WINDOW_ANSWERS) - 1;

/// Last answers, one bit each, set for a failure.
#[derive(Debug, Default)]
pub(crate) struct Window {
    word: AtomicU64,
}

impl Window {
    /// Adds an answer and returns whether the upstream is now an outlier.
    pub(crate) fn push(&self, failed: bool) -> bool {
        let mut old = self.word.load(Ordering::Relaxed);
        loop {
            let new = pushed(old, failed);
            // A full window of equal answers stays as it is. Not writing it
            // keeps its cache line shared between the threads.
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

    /// Forgets all answers.
    pub(crate) fn clear(&self) {
        self.word.store(0, Ordering::Relaxed);
    }

    /// Returns the number of failures in the window.
    pub(crate) fn failures(&self) -> u32 {
        failures(self.word.load(Ordering::Relaxed))
    }

    /// Returns whether the answers are bad enough for ejection.
    pub(crate) fn is_outlier(&self) -> bool {
        is_outlier(self.word.load(Ordering::Relaxed))
    }
}

fn pushed(word: u64, failed: bool) -> u64 {
    let count = (word >> COUNT_SHIFT) + 1;
    let history = ((word << 1) | u64::from(failed)) & HISTORY_MASK;
    (count.min(u64::from(WINDOW_ANSWERS)) << COUNT_SHIFT) | history
}

fn failures(word: u64) -> u32 {
    (word & HISTORY_MASK).count_ones()
}

fn is_outlier(word: u64) -> bool {
    let count = u32::try_from(word >> COUNT_SHIFT).unwrap_or(u32::MAX);
    let failures = failures(word);
    failures >= MIN_FAILURES && failures * 2 > count
}
