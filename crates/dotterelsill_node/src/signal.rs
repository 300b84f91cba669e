//! A wake-up for one task that waits.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use event_listener::Event;

/// Wakes the task that waits, or the next one that does.
#[derive(Default)]
pub(crate) struct Signal {
    is_set: AtomicBool,
    event: Event,
}

impl Signal {
    /// Wakes the task.
    pub(crate) fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(1);
    }

    /// Waits until the signal is set, and clears it.
    pub(crate) async fn wait(&self) {
        loop {
            let listener = self.event.listen();
            if self.is_set.swap(false, Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }
}
