//! Tracks whether this instance still holds the scheduler's lease.

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use event_listener::Event;

/// Fraction of the lease, 1/50, that is subtracted to allow for clock drift.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Age of the last renewal up to which a scheduler counts as connected: two
/// renewal intervals and the duration of one call.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1200);

/// Validity of one scheduler's lease.
#[derive(Default)]
pub(crate) struct Authority {
    /// Time until which the lease is certain to be valid, in microseconds since boot.
    valid_until_us: AtomicU64,
    /// Time at which the last successful renewal was sent, in microseconds since boot.
    renewed_us: AtomicU64,
    is_lost: AtomicBool,
    lost: Event,
}

impl Authority {
    /// Records a successful renewal. The store counts the lease from the arrival of
    /// the call, so counting from `sent_at` never overestimates it.
    pub(crate) fn on_renewed(&self, sent_at: Duration, ttl: Duration) {
        let until = sent_at + ttl - ttl / CLOCK_DRIFT_DIVISOR;
        self.valid_until_us
            .fetch_max(until.as_micros() as u64, Ordering::SeqCst);
        self.renewed_us
            .fetch_max(sent_at.as_micros() as u64, Ordering::SeqCst);
    }

    /// Returns whether the lease was renewed recently, so that callers are best
    /// served by this instance.
    pub(crate) fn is_recently_renewed(&self, now: Duration) -> bool {
        let renewed = Duration::from_micros(self.renewed_us.load(Ordering::SeqCst));
        self.is_valid(now) && now < renewed + MAX_RENEWAL_AGE
    }

    /// Returns whether the lease is certain to be valid, so that no other scheduler
    /// can exist.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        !self.is_lost() && now.as_micros() < self.valid_until_us.load(Ordering::SeqCst).into()
    }

    /// Records that the lease has ended or that another scheduler was observed.
    pub(crate) fn mark_lost(&self, reason: &str) {
        if !self.is_lost.swap(true, Ordering::SeqCst) {
            log::warn!(reason; "authority_lost");
        }
        self.lost.notify(usize::MAX);
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::SeqCst)
    }

    /// Completes once the authority is lost.
    pub(crate) async fn lost(&self) {
        loop {
            let listener = self.lost.listen();
            if self.is_lost() {
                return;
            }
            listener.await;
        }
    }
}
