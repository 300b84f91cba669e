//! Ring buffer of counts in time slots of equal length.

use crate::{
    counter::Increase,
    Counts, //
};

/// Counts of the most recent time slots. Slots are numbered from the origin of time.
#[derive(Debug)]
pub(crate) struct Ring {
    slots: Box<[Counts]>,
    slot_ms: u64,
    newest: u64,
}

impl Ring {
    /// Creates a ring of as many whole slots as fit in `length_ms`, plus the current
    /// slot.
    pub(crate) fn new(length_ms: u64, slot_ms: u64) -> Self {
        let slots = usize::try_from(length_ms / slot_ms).unwrap_or(usize::MAX - 1) + 1;
        Self {
            slots: vec![Counts::default(); slots].into_boxed_slice(),
            slot_ms,
            newest: 0,
        }
    }

    /// Adds requests, spread evenly over the time in which they were counted.
    ///
    /// Otherwise, the requests of a gap between samples would appear as a burst when
    /// the samples resume.
    pub(crate) fn add(&mut self, increase: Increase) {
        let newest = increase.to_ms / self.slot_ms;
        self.advance(newest);
        let oldest = (increase.from_ms / self.slot_ms).max(self.oldest());
        let mut before = counted_until(increase, oldest * self.slot_ms);
        for slot in oldest..=newest {
            let after = counted_until(increase, (slot + 1) * self.slot_ms);
            let index = self.index(slot);
            self.slots[index] = self.slots[index] + (after - before);
            before = after;
        }
    }

    /// Returns the counts of the last `length_ms` before `now_ms`, in whole slots, plus
    /// those of the current slot. `length_ms` must not exceed the length of the ring.
    pub(crate) fn sum(&self, now_ms: u64, length_ms: u64) -> Counts {
        let end = (now_ms / self.slot_ms).max(self.newest);
        let start = end.saturating_sub(length_ms / self.slot_ms);
        (start..=self.newest)
            .map(|slot| self.slots[self.index(slot)])
            .fold(Counts::default(), |sum, slot| sum + slot)
    }

    fn advance(&mut self, newest: u64) {
        if newest <= self.newest {
            return;
        }
        let first = (self.newest + 1).max((newest + 1).saturating_sub(self.len()));
        for slot in first..=newest {
            let index = self.index(slot);
            self.slots[index] = Counts::default();
        }
        self.newest = newest;
    }

    fn len(&self) -> u64 {
        self.slots.len() as u64
    }

    fn oldest(&self) -> u64 {
        (self.newest + 1).saturating_sub(self.len())
    }

    fn index(&self, slot: u64) -> usize {
        (slot % self.len()) as usize
    }
}

/// Returns the part of an increase that was counted until `end_ms`, assuming a
/// constant rate.
fn counted_until(increase: Increase, end_ms: u64) -> Counts {
    let end_ms = end_ms.clamp(increase.from_ms, increase.to_ms);
    let span_ms = increase.to_ms - increase.from_ms;
    increase.counts.scale(end_ms - increase.from_ms, span_ms)
}
