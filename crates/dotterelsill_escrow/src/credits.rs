//! Lock-free acquisition and release of credits on the request path.

use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc, //
};

use crate::Counts;

/// Shared handle through which requests acquire the credits of one holder.
///
/// Clones share the same counters. Acquiring or releasing a credit updates one
/// atomic integer and takes no lock.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    packed: Arc<AtomicU64>,
}

/// Credit in use by a running request; dropping it releases the credit.
#[derive(Debug)]
#[must_use = "the credit is released when it is dropped"]
pub struct Credit {
    packed: Arc<AtomicU64>,
}

impl Credits {
    /// Creates a handle whose counters start at the given values.
    pub(crate) fn new(counts: Counts) -> Self {
        Self {
            packed: Arc::new(AtomicU64::new(counts.pack())),
        }
    }

    /// Acquires a credit for one request, or returns `None` if all are in use.
    ///
    /// The caller must check separately that its incarnation still has the
    /// authority to start work.
    pub fn try_start(&self) -> Option<Credit> {
        let start = |packed| Counts::unpack(packed).after_start().map(Counts::pack);
        if self.update(start).is_err() {
            self.mark_refused();
            return None;
        }
        Some(Credit {
            packed: self.packed.clone(),
        })
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> Counts {
        Counts::unpack(self.packed.load(Ordering::Acquire))
    }

    /// Changes the allowance and returns the number of requests running at that
    /// instant.
    ///
    /// After this call, no request starts while `allowance` or more are running.
    pub(crate) fn set_allowance(&self, allowance: u32) -> u32 {
        let change = |packed| {
            let counts = Counts::unpack(packed);
            Some(
                Counts {
                    allowance,
                    ..counts
                }
                .pack(),
            )
        };
        Counts::unpack(self.update(change).unwrap_or_else(|packed| packed)).running
    }

    /// Returns the counters and begins a new sample, which resets the peak to
    /// the number of running requests and clears the refusal flag.
    pub(crate) fn sample(&self) -> Counts {
        let begin = |packed| {
            let counts = Counts::unpack(packed);
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
        Counts::unpack(self.update(begin).unwrap_or_else(|packed| packed))
    }

    /// Sets the refusal flag. Under overload the flag is already set, and the
    /// check avoids a contended write for each refused request.
    fn mark_refused(&self) {
        if self.counts().refused {
            return;
        }
        let mark = Counts {
            refused: true,
            ..Counts::default()
        };
        self.packed.fetch_or(mark.pack(), Ordering::AcqRel);
    }

    fn update(&self, change: impl FnMut(u64) -> Option<u64>) -> Result<u64, u64> {
        self.packed
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, change)
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        // `running` occupies the lowest bits and is at least 1 here, so the
        // subtraction cannot borrow from the other fields.
        self.packed.fetch_sub(1, Ordering::AcqRel);
    }
}
