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

/// Time for which an upstream's own word that it is leaving holds without the
/// instance list. It is longer than the list lags, so that a list that still
/// shows the upstream as live does not bring it back; it ends, so that an
/// upstream that closed a connection for another reason is not lost for ever.
pub const LEAVING_HOLD: Duration = Duration::from_secs(60);

/// Configuration of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSpec {
    /// Unique name.
    pub name: String,
    /// Socket address, by IP number.
    pub address: String,
    /// Data centre that the upstream runs in.
    pub data_centre: String,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Most connections that the upstream accepts.
    pub connections: u32,
}

/// State of one upstream as this entry sees it.
#[derive(Debug)]
pub struct Upstream {
    name: String,
    address: String,
    data_centre: String,
    clock: Clock,
    in_use: AtomicU32,
    disabled: AtomicBool,
    listed_leaving: AtomicBool,
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

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the socket address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the data centre.
    pub fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Returns the number of slots that this entry has in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::SeqCst)
    }

    /// Returns the most slots that this entry uses at present.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the count of the connections to this upstream.
    pub fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }

    /// Returns whether the upstream is ejected or is being probed.
    pub fn is_ejected(&self) -> bool {
        !self.ejection.is_in_use()
    }

    /// Returns whether the upstream is known to be leaving.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.is_leaving_at(self.clock.ms(now))
    }

    /// Returns whether the upstream is out with its data centre or no longer
    /// configured.
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

    pub(crate) fn said_leaving(&self, now_ms: u64) {
        let until_ms = now_ms + duration_ms(LEAVING_HOLD);
        self.leaving_until_ms.fetch_max(until_ms, Ordering::SeqCst);
    }

    fn is_leaving_at(&self, now_ms: u64) -> bool {
        self.listed_leaving.load(Ordering::SeqCst)
            || now_ms < self.leaving_until_ms.load(Ordering::SeqCst)
    }

    /// Returns whether operators and the instance itself allow new work.
    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        !self.is_disabled() && !self.is_leaving_at(now_ms)
    }

    /// Returns whether the upstream is open and not ejected.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.ejection.is_in_use() && self.is_open(now_ms)
    }

    /// Takes a slot below the learned limit, raising the limit when due.
    ///
    /// The flags are read again after the slot was taken: a thread that marks
    /// the upstream as leaving either sees the slot or is seen here.
    pub(crate) fn take_slot(&self, now_ms: u64) -> bool {
        let taken = self.take_below(self.limit.get())
            || (self.limit.raise(now_ms) && self.take_below(self.limit.get()));
        taken && self.keep_slot_if(self.is_usable(now_ms))
    }

    /// Starts the probe of an ejected upstream and takes a slot for it.
    pub(crate) fn take_probe_slot(&self, repeatable: bool, now_ms: u64) -> bool {
        if !self.is_open(now_ms) || !self.take_below(self.limit.slots()) {
            return false;
        }
        let probing = self.ejection.start_probe(repeatable, now_ms);
        let open = self.is_open(now_ms);
        if probing && !open {
            self.ejection.abandon_probe();
        }
        self.keep_slot_if(probing && open)
    }

    pub(crate) fn return_slot(&self) {
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
            self.return_slot();
        }
        keep
    }
}
