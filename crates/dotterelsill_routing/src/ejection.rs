//! Ejection of an upstream that fails, and the probe that ends it.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use crate::clock::duration_ms;

/// Length of the first ejection; each further one is twice as long.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);

/// Length of the longest ejection, and the time in use after which an upstream
/// counts as one that was never ejected.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(300);

/// Time after the end of an ejection in which only repeatable work is used as a
/// probe. Later any work is, since a service may have no repeatable work.
const REPEATABLE_PROBE: Duration = Duration::from_secs(10);

const IN_USE: u64 = 0;
const EJECTED: u64 = 1;
const PROBING: u64 = 2;

/// Bits of the state; the number of ejections lies above it.
const STATE_BITS: u32 = 2;

/// Bits of the number of ejections; an instant in milliseconds lies above it.
const TIMES_BITS: u32 = 6;

/// Number of ejections after which the length no longer grows.
const TIMES_MOST: u64 = 6;

/// State of one upstream in one atomic word: state, number of ejections in a
/// row, and the end of the ejection or the start of the time in use.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    word: AtomicU64,
}

impl Ejection {
    /// Returns whether the upstream is in use.
    pub(crate) fn is_in_use(&self) -> bool {
        unpack(self.word.load(Ordering::SeqCst)).0 == IN_USE
    }

    /// Returns whether a probe may be sent now.
    pub(crate) fn is_probe_due(&self, repeatable: bool, now_ms: u64) -> bool {
        is_probe_due(self.word.load(Ordering::SeqCst), repeatable, now_ms)
    }

    /// Ejects an upstream in use and returns whether this call did it.
    pub(crate) fn eject(&self, now_ms: u64) -> bool {
        self.update(|(state, times, since_ms)| {
            let long_in_use = now_ms.saturating_sub(since_ms) > duration_ms(MAX_EJECTION_TIME);
            let times = if long_in_use { 0 } else { times };
            (state == IN_USE).then(|| ejected(times, now_ms))
        })
    }

    /// Starts the probe when one is due and returns whether this call did it.
    pub(crate) fn start_probe(&self, repeatable: bool, now_ms: u64) -> bool {
        self.update(|(state, times, until_ms)| {
            let word = pack(state, times, until_ms);
            let due = is_probe_due(word, repeatable, now_ms);
            due.then_some((PROBING, times, until_ms))
        })
    }

    /// Ends the probe without a result; the next one may start at once.
    pub(crate) fn abandon_probe(&self) {
        self.update(|(state, times, until_ms)| {
            (state == PROBING).then_some((EJECTED, times, until_ms))
        });
    }

    /// Ends the probe with a failure: the upstream is ejected for longer.
    pub(crate) fn fail_probe(&self, now_ms: u64) {
        self.update(|(state, times, _)| (state == PROBING).then(|| ejected(times, now_ms)));
    }

    /// Takes an upstream back into use and returns whether this call did it.
    pub(crate) fn readmit(&self, now_ms: u64) -> bool {
        self.update(|(state, times, _)| (state != IN_USE).then_some((IN_USE, times, now_ms)))
    }

    fn update(&self, step: impl Fn((u64, u64, u64)) -> Option<(u64, u64, u64)>) -> bool {
        let packed = |word| {
            let (state, times, instant_ms) = step(unpack(word))?;
            Some(pack(state, times, instant_ms))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, packed)
            .is_ok()
    }
}

fn ejected(times: u64, now_ms: u64) -> (u64, u64, u64) {
    let length_ms = (duration_ms(BASE_EJECTION_TIME) << times).min(duration_ms(MAX_EJECTION_TIME));
    (EJECTED, (times + 1).min(TIMES_MOST), now_ms + length_ms)
}

fn is_probe_due(word: u64, repeatable: bool, now_ms: u64) -> bool {
    let (state, _, until_ms) = unpack(word);
    let wait_ms = if repeatable {
        0
    } else {
        duration_ms(REPEATABLE_PROBE)
    };
    state == EJECTED && now_ms >= until_ms + wait_ms
}

fn pack(state: u64, times: u64, instant_ms: u64) -> u64 {
    (instant_ms << (STATE_BITS + TIMES_BITS)) | (times << STATE_BITS) | state
}

fn unpack(word: u64) -> (u64, u64, u64) {
    let state = word & ((1 << STATE_BITS) - 1);
    let times = (word >> STATE_BITS) & ((1 << TIMES_BITS) - 1);
    (state, times, word >> (STATE_BITS + TIMES_BITS))
}
