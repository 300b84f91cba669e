//! Ejection of a failing upstream, and the probe that ends the ejection.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use crate::clock::duration_ms;

/// Duration of the first ejection. Each further one lasts twice as long.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);

/// Maximum duration of an ejection, and the time without an ejection after
/// which the duration starts from [`BASE_EJECTION_TIME`] again.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(300);

/// Period after the end of an ejection in which only repeatable requests serve
/// as a probe. After it any request does, because a service may have no
/// repeatable ones.
const REPEATABLE_PROBE_PERIOD: Duration = Duration::from_secs(10);

const ACTIVE: u64 = 0;
const EJECTED: u64 = 1;
const PROBING: u64 = 2;

/// Number of bits of the state; the bits above hold the number of ejections.
const STATE_BITS: u32 = 2;

/// Number of bits of the number of ejections; the bits above hold an instant in
/// milliseconds.
const COUNT_BITS: u32 = 6;

/// Number of ejections after which the duration no longer grows.
const MAX_COUNT: u64 = 6;

/// Ejection state of one upstream, in one atomic word: the state, the number of
/// consecutive ejections, and the instant at which the ejection ends or the
/// upstream was readmitted.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    word: AtomicU64,
}

impl Ejection {
    /// Returns whether the upstream is active: neither ejected nor being
    /// probed.
    pub(crate) fn is_active(&self) -> bool {
        unpack(self.word.load(Ordering::SeqCst)).0 == ACTIVE
    }

    /// Returns whether a probe may be sent now.
    pub(crate) fn is_probe_due(&self, repeatable: bool, now_ms: u64) -> bool {
        is_probe_due(self.word.load(Ordering::SeqCst), repeatable, now_ms)
    }

    /// Ejects an active upstream. Returns whether this call did it.
    pub(crate) fn eject(&self, now_ms: u64) -> bool {
        self.update(|(state, count, since_ms)| {
            let long_active = now_ms.saturating_sub(since_ms) > duration_ms(MAX_EJECTION_TIME);
            let count = if long_active { 0 } else { count };
            (state == ACTIVE).then(|| ejected(count, now_ms))
        })
    }

    /// Starts the probe if one is due. Returns whether this call did it.
    pub(crate) fn start_probe(&self, repeatable: bool, now_ms: u64) -> bool {
        self.update(|(state, count, until_ms)| {
            let word = pack(state, count, until_ms);
            let due = is_probe_due(word, repeatable, now_ms);
            due.then_some((PROBING, count, until_ms))
        })
    }

    /// Ends the probe without a result. The next one may start immediately.
    pub(crate) fn abandon_probe(&self) {
        self.update(|(state, count, until_ms)| {
            (state == PROBING).then_some((EJECTED, count, until_ms))
        });
    }

    /// Ends the probe with a failure, which ejects the upstream for longer.
    pub(crate) fn fail_probe(&self, now_ms: u64) {
        self.update(|(state, count, _)| (state == PROBING).then(|| ejected(count, now_ms)));
    }

    /// Makes an upstream active again. Returns whether this call did it.
    pub(crate) fn readmit(&self, now_ms: u64) -> bool {
        self.update(|(state, count, _)| (state != ACTIVE).then_some((ACTIVE, count, now_ms)))
    }

    /// Replaces the word with the result of `step`, unless that is `None`.
    /// Returns whether the word was replaced.
    fn update(&self, step: impl Fn((u64, u64, u64)) -> Option<(u64, u64, u64)>) -> bool {
        let packed = |word| {
            let (state, count, instant_ms) = step(unpack(word))?;
            Some(pack(state, count, instant_ms))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, packed)
            .is_ok()
    }
}

/// Returns the state of an upstream that is ejected at `now_ms` after `count`
/// previous ejections.
fn ejected(count: u64, now_ms: u64) -> (u64, u64, u64) {
    let length_ms = (duration_ms(BASE_EJECTION_TIME) << count).min(duration_ms(MAX_EJECTION_TIME));
    (EJECTED, (count + 1).min(MAX_COUNT), now_ms + length_ms)
}

fn is_probe_due(word: u64, repeatable: bool, now_ms: u64) -> bool {
    let (state, _, until_ms) = unpack(word);
    let wait_ms = if repeatable {
        0
    } else {
        duration_ms(REPEATABLE_PROBE_PERIOD)
    };
    state == EJECTED && now_ms >= until_ms + wait_ms
}

fn pack(state: u64, count: u64, instant_ms: u64) -> u64 {
    (instant_ms << (STATE_BITS + COUNT_BITS)) | (count << STATE_BITS) | state
}

fn unpack(word: u64) -> (u64, u64, u64) {
    let state = word & ((1 << STATE_BITS) - 1);
    let count = (word >> STATE_BITS) & ((1 << COUNT_BITS) - 1);
    (state, count, word >> (STATE_BITS + COUNT_BITS))
}
