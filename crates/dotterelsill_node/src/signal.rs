//! A wake-up signal for a single waiting task.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use event_listener::Event;

/// Wakes the waiting task. Stays set until a task waits if none does.
#[derive(Default)]
pub(crate) struct Signal {
    is_set: AtomicBool,
    event: Event,
}

impl Signal {
    /// Sets the signal and wakes the waiting task.
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
