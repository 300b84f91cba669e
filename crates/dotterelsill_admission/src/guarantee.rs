//! Guaranteed part of the slot time for less urgent requests.

use std::{
    array,
    time::Instant, //
};

use crate::{
    select::Candidate,
    Gate,
    URGENCY_LEVELS, //
};

/// Part of the slot time that less urgent requests get while more urgent ones
/// wait, in percent.
///
/// The guarantee is nested: of the slot time that an urgency level and all
/// lower levels use together, the lower levels get this part. Otherwise the
/// second level would take everything that is reserved for the third.
pub const LOWER_URGENCY_PERCENT: u32 = 10;

/// Limits of the deficit and of the surplus of less urgent requests, in
/// microseconds of slot time per slot. The first bounds how long urgent
/// requests wait while a deficit is made up. The second bounds how long less
/// urgent requests get no slot after one very long run.
const MAX_DEFICIT_US: f64 = 1e6;
const MAX_SURPLUS_US: f64 = 60e6;

/// Tracks the slot time that less urgent requests are still due.
///
/// The unit is slot time and not slots, because a tenth of a few slots is less
/// than one slot: an instance with a single slot would otherwise give all or
/// nothing to less urgent requests.
#[derive(Debug, Default)]
pub(crate) struct Guarantee {
    /// For each level, the slot time that the levels below it are still due;
    /// negative if they used more than their part.
    deficit_us: [f64; URGENCY_LEVELS],
    /// Slot time of each level at the previous update.
    last_used_us: [u64; URGENCY_LEVELS],
}

impl Guarantee {
    /// Accounts for the slot time used since the previous call and returns the
    /// levels with waiting requests, most urgent first.
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
        // Time counts for a level only while it and a lower level have waiting
        // requests. The lowest of the waiting levels has none below it.
        let above_lowest = waiting.len().saturating_sub(1);
        for level in &waiting[..above_lowest] {
            self.account(*level, &added_us, gate.capacity());
        }
        waiting
    }

    /// Returns the level that gets the slot that would go to `level`: a lower
    /// one if there is a deficit. `waiting` holds the levels with waiting
    /// requests.
    ///
    /// The search starts at the selected level and not at the most urgent one:
    /// urgent requests of a team that is ahead of its share may wait for long
    /// while less urgent requests of other teams run.
    pub(crate) fn level_in_deficit(&self, level: usize, waiting: &[usize]) -> usize {
        let mut lower = waiting.iter().skip_while(|waits| **waits < level);
        let mut due = level;
        lower.next();
        while self.deficit_us[due] > 0.0 {
            match lower.next() {
                Some(next) => due = *next,
                None => break,
            }
        }
        due
    }

    /// Returns the slot time that each level used since the previous call.
    fn advance(&mut self, gate: &Gate, now: Instant) -> [f64; URGENCY_LEVELS] {
        let used_us: [u64; URGENCY_LEVELS] = array::from_fn(|level| gate.used_us(level, now));
        let last_used_us = std::mem::replace(&mut self.last_used_us, used_us);
        array::from_fn(|level| used_us[level].saturating_sub(last_used_us[level]) as f64)
    }

    /// Updates the deficit of a level from the slot time that it and the levels
    /// below it used.
    fn account(&mut self, level: usize, added_us: &[f64], slots: u32) {
        let part = f64::from(LOWER_URGENCY_PERCENT) / 100.0;
        let lower_us: f64 = added_us[level + 1..].iter().sum();
        let total_us = added_us[level] + lower_us;
        let slots = f64::from(slots);
        let deficit_us = self.deficit_us[level] + total_us * part - lower_us;
        self.deficit_us[level] = deficit_us.clamp(-MAX_SURPLUS_US * slots, MAX_DEFICIT_US * slots);
    }
}
