//! State of one upstream, shared by all threads.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    clock::{
        duration_ms,
        Clock, //
    },
    ejection::Ejection,
    learned_limit::LearnedLimit,
    window::Window,
    Connections, //
};

/// Time for which an upstream counts as leaving after it announced so itself,
/// whatever the instance list says. It is longer than the lag of the list, so
/// that a list that still shows the upstream as live does not bring it back. It
/// is limited, so that an upstream that closed a connection for another reason
/// is not excluded forever.
pub const LEAVING_HOLD: Duration = Duration::from_secs(60);

/// Configuration of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSpec {
    /// Unique name of the upstream.
    pub name: String,
    /// Socket address, with a numeric IP address.
    pub address: String,
    /// Data centre in which the upstream runs.
    pub data_centre: String,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Number of connections that the upstream accepts at once.
    pub connections: u32,
}

/// State of one upstream, from the view of this entry.
#[derive(Debug)]
pub struct Upstream {
    name: String,
    address: String,
    data_centre: String,
    clock: Clock,
    in_use: AtomicU32,
    disabled: AtomicBool,
    /// Whether the upstream is leaving according to the instance list.
    listed_leaving: AtomicBool,
    /// End of the time for which the upstream's own announcement holds.
    leaving_until_ms: AtomicU64,
    pub(crate) limit: LearnedLimit,
    pub(crate) window: Window,
    pub(crate) ejection: Ejection,
    connections: Arc<Connections>,
}

impl Upstream {
    pub(crate) fn new(spec: &UpstreamSpec, clock: Clock) -> Self {
        Self {
            name: spec.name.clone(),
            address: spec.address.clone(),
            data_centre: spec.data_centre.clone(),
            clock,
            in_use: AtomicU32::new(0),
            disabled: AtomicBool::new(false),
            listed_leaving: AtomicBool::new(false),
            leaving_until_ms: AtomicU64::new(0),
            limit: LearnedLimit::new(spec.slots),
            window: Window::default(),
            ejection: Ejection::default(),
            connections: Arc::new(Connections::new(spec.connections)),
        }
    }

    /// Returns the unique name of the upstream.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the socket address, with a numeric IP address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the data centre in which the upstream runs.
    pub fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Returns the number of slots of the upstream that this entry has in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::SeqCst)
    }

    /// Returns the number of slots that this entry may use at present.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the count of the connections to this upstream.
    pub fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }

    /// Returns whether the upstream is ejected or is being probed.
    pub fn is_ejected(&self) -> bool {
        !self.ejection.is_active()
    }

    /// Returns whether the upstream is leaving, according to the instance list
    /// or to itself.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.is_leaving_at(self.clock.ms(now))
    }

    /// Returns whether the upstream is out of service with its data centre, or
    /// is no longer configured.
    pub fn is_disabled(&self) -> bool {
        self.disabled.load(Ordering::SeqCst)
    }

    pub(crate) fn is_same_instance(&self, spec: &UpstreamSpec) -> bool {
        self.name == spec.name
            && self.address == spec.address
            && self.data_centre == spec.data_centre
    }

    pub(crate) fn resize(&self, spec: &UpstreamSpec) {
        self.limit.resize(spec.slots);
        self.connections.resize(spec.connections);
    }

    pub(crate) fn set_disabled(&self, disabled: bool) {
        self.disabled.store(disabled, Ordering::SeqCst);
    }

    pub(crate) fn set_listed_leaving(&self, leaving: bool) {
        self.listed_leaving.store(leaving, Ordering::SeqCst);
    }

    pub(crate) fn set_announced_leaving(&self, now_ms: u64) {
        let until_ms = now_ms + duration_ms(LEAVING_HOLD);
        self.leaving_until_ms.fetch_max(until_ms, Ordering::SeqCst);
    }

    fn is_leaving_at(&self, now_ms: u64) -> bool {
        self.listed_leaving.load(Ordering::SeqCst)
            || now_ms < self.leaving_until_ms.load(Ordering::SeqCst)
    }

    /// Returns whether the upstream accepts new requests: it is neither
    /// disabled nor leaving.
    pub(crate) fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.is_disabled() && !self.is_leaving_at(now_ms)
    }

    /// Returns whether the upstream accepts new requests and is not ejected.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.ejection.is_active() && self.accepts_requests(now_ms)
    }

    /// Takes a slot below the learned limit. If all of them are in use, raises
    /// the limit if a raise is due.
    ///
    /// The flags are read again after taking the slot. A thread that marks the
    /// upstream as leaving thus either sees the slot in use, or its mark is
    /// seen here.
    pub(crate) fn take_slot(&self, now_ms: u64) -> bool {
        let taken = self.take_below(self.limit.get())
            || (self.limit.raise(now_ms) && self.take_below(self.limit.get()));
        taken && self.keep_slot_if(self.is_usable(now_ms))
    }

    /// Takes a slot for the probe of an ejected upstream and starts the probe.
    pub(crate) fn take_probe_slot(&self, repeatable: bool, now_ms: u64) -> bool {
        if !self.accepts_requests(now_ms) || !self.take_below(self.limit.slots()) {
            return false;
        }
        let probing = self.ejection.start_probe(repeatable, now_ms);
        let accepts = self.accepts_requests(now_ms);
        if probing && !accepts {
            self.ejection.abandon_probe();
        }
        self.keep_slot_if(probing && accepts)
    }

    pub(crate) fn release_slot(&self) {
        self.in_use.fetch_sub(1, Ordering::SeqCst);
    }

    fn take_below(&self, limit: u32) -> bool {
        let one_more = |in_use: u32| (in_use < limit).then_some(in_use + 1);
        self.in_use
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_more)
            .is_ok()
    }

    fn keep_slot_if(&self, keep: bool) -> bool {
        if !keep {
            self.release_slot();
        }
        keep
    }
}
