//! Authority of the current incarnation to start work, readable by requests
//! without a lock.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use arc_swap::{
    ArcSwap,
    ArcSwapOption, //
};
use dotterelsill_proto::config;
use dotterelsill_revision::{
    Decision,
    Head,
    Incarnation,
    Instance,
    Mode,
    Snapshot,
    WhenIsolated,
    WriteId, //
};
use event_listener::Event;

/// State of the current incarnation behind a mutex, with a published snapshot.
///
/// Requests read only the snapshot and take no lock.
#[derive(Default)]
pub(crate) struct AuthorityState {
    instance: Mutex<Option<Instance>>,
    snapshot: ArcSwapOption<(Incarnation, Snapshot)>,
    /// Newest known head of the configuration, with the digest of its document.
    head: ArcSwap<config::Head>,
    /// Notified when a new snapshot is published.
    changed: Event,
}

/// Guard for reading or changing the state; dropping it publishes a new snapshot.
pub(crate) struct StateGuard<'a> {
    state: &'a AuthorityState,
    guard: MutexGuard<'a, Option<Instance>>,
}

impl AuthorityState {
    /// Locks the state.
    pub(crate) fn update(&self) -> StateGuard<'_> {
        let guard = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        StateGuard { state: self, guard }
    }

    /// Decides whether work of a queue may start; `None` before the first
    /// registration.
    pub(crate) fn decide(&self, when_isolated: WhenIsolated, now: Instant) -> Option<Decision> {
        let published = self.snapshot.load();
        let (_, snapshot) = published.as_deref()?;
        Some(snapshot.decide(when_isolated, now))
    }

    /// Returns the authority mode of the current incarnation; `Lapsed` before the
    /// first registration.
    pub(crate) fn mode(&self, now: Instant) -> Mode {
        let published = self.snapshot.load();
        published.as_deref().map_or(Mode::Lapsed, |(_, snapshot)| {
            snapshot.current_mode(now).mode
        })
    }

    /// Returns whether an incarnation was ever registered.
    pub(crate) fn is_registered(&self) -> bool {
        self.update().is_some()
    }

    /// Returns the current incarnation as text.
    pub(crate) fn incarnation(&self) -> Option<String> {
        let published = self.snapshot.load();
        Some(published.as_deref()?.0.to_string())
    }

    /// Returns the number of the current incarnation.
    pub(crate) fn current_incarnation(&self) -> Option<u128> {
        Some(self.snapshot.load().as_deref()?.0 .0)
    }

    /// Returns the age of the proof that the known head is current, if there is
    /// one.
    pub(crate) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.update().as_ref()?.freshness().age(now)
    }

    /// Returns a listener that is notified after the next change of the state.
    pub(crate) fn listen(&self) -> event_listener::EventListener {
        self.changed.listen()
    }

    /// Returns the newest known head; its revision is 0 if none is known.
    pub(crate) fn head(&self) -> Arc<config::Head> {
        self.head.load_full()
    }

    /// Stores a head with its digest if it is newer than the stored one.
    pub(crate) fn keep_head(&self, head: &config::Head) {
        self.head.rcu(|kept| {
            if head.revision > kept.revision {
                Arc::new(head.clone())
            } else {
                kept.clone()
            }
        });
    }
}

impl std::ops::Deref for StateGuard<'_> {
    type Target = Option<Instance>;

    fn deref(&self) -> &Self::Target {
        &self.guard
    }
}

impl std::ops::DerefMut for StateGuard<'_> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.guard
    }
}

impl Drop for StateGuard<'_> {
    fn drop(&mut self) {
        let published = self
            .guard
            .as_ref()
            .map(|instance| Arc::new((instance.incarnation(), instance.snapshot())));
        self.state.snapshot.store(published);
        self.state.changed.notify(usize::MAX);
    }
}

/// Returns the identity of a head without its digest.
pub(crate) fn head_of(head: &config::Head) -> Head {
    Head {
        revision: head.revision,
        write_id: WriteId::new(&head.write_id),
    }
}

/// Returns the name of a mode in `status` and in metrics.
pub(crate) fn mode_name(mode: Mode) -> &'static str {
    match mode {
        Mode::Fresh => "fresh",
        Mode::Isolated => "isolated",
        Mode::Lapsed => "lapsed",
        Mode::Stale => "stale",
    }
}
