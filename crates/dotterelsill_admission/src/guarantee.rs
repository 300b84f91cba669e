//! Part of the slot time that less urgent work is owed.

use std::{
    array,
    time::Instant, //
};

use crate::{
    select::Candidate,
    Gate,
    URGENCY_LEVELS, //
};

/// Part of the slot time that less urgent work gets while more urgent work
/// waits, in percent.
///
/// It is nested: of what an urgency and all lower ones use together, the lower
/// ones get this part. Without that, the second urgency would take all that is
/// kept for the third.
pub const LOWER_URGENCY_PERCENT: u32 = 10;

/// Most slot time that less urgent work is owed, and most that it is ahead, in
/// microseconds per slot. The first bounds how long urgent work waits for
/// arrears, the second how long one very long run shuts less urgent work out.
const OWED_MOST_US: f64 = 1e6;
const AHEAD_MOST_US: f64 = 60e6;

/// Accounts of the slot time that less urgent work is owed.
///
/// They count time and not slots, because a tenth of few slots is less than one
/// slot: an instance with a single one would otherwise give all of it, or
/// nothing, to less urgent work.
#[derive(Debug, Default)]
pub(crate) struct Guarantee {
    /// What the levels below each level are owed by it.
    owed_us: [f64; URGENCY_LEVELS],
    seen_us: [u64; URGENCY_LEVELS],
}

impl Guarantee {
    /// Counts the slot time used since the call before and returns the levels
    /// at which requests wait.
    pub(crate) fn update(
        &mut self,
        candidates: &[Candidate<'_>],
        gate: &Gate,
        now: Instant,
    ) -> Vec<usize> {
        let added_us = self.advance(gate, now);
        let waits = |level: &usize| {
            let mut candidates = candidates.iter();
            candidates.any(|candidate| candidate.first(*level).is_some())
        };
        let waiting: Vec<usize> = (0..URGENCY_LEVELS).filter(waits).collect();
        // Only the time in which a level and lower ones wait counts. The last
        // level that waits has none below it.
        let above = waiting.len().saturating_sub(1);
        for level in &waiting[..above] {
            self.count(*level, &added_us, gate.capacity());
        }
        waiting
    }

    /// Returns the level that is owed the slot which would go to `level`;
    /// `waiting` holds the levels at which requests wait.
    ///
    /// The walk starts at the level whose turn it is and not at the most urgent
    /// one: urgent work of a team that is ahead of its share may wait for long
    /// while ordinary work of the others runs.
    pub(crate) fn owed_below(&self, level: usize, waiting: &[usize]) -> usize {
        let mut lower = waiting.iter().skip_while(|waits| **waits < level);
        let mut owed = level;
        lower.next();
        while self.owed_us[owed] > 0.0 {
            match lower.next() {
                Some(next) => owed = *next,
                None => break,
            }
        }
        owed
    }

    /// Returns the slot time that each level used since the call before.
    fn advance(&mut self, gate: &Gate, now: Instant) -> [f64; URGENCY_LEVELS] {
        let used_us: [u64; URGENCY_LEVELS] = array::from_fn(|level| gate.used_us(level, now));
        let seen_us = std::mem::replace(&mut self.seen_us, used_us);
        array::from_fn(|level| used_us[level].saturating_sub(seen_us[level]) as f64)
    }

    fn count(&mut self, level: usize, added_us: &[f64], slots: u32) {
        let part = f64::from(LOWER_URGENCY_PERCENT) / 100.0;
        let lower_us: f64 = added_us[level + 1..].iter().sum();
        let total_us = added_us[level] + lower_us;
        let slots = f64::from(slots);
        let owed_us = self.owed_us[level] + total_us * part - lower_us;
        self.owed_us[level] = owed_us.clamp(-AHEAD_MOST_US * slots, OWED_MOST_US * slots);
    }
}
