//! The upstreams of one service under one configuration.

use std::{
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Instant, //
};

use crate::{
    clock::Clock,
    AttemptOutcome,
    Slot,
    Upstream,
    UpstreamSpec, //
};

/// Configuration of the upstreams of a service, from the view of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// Data centre in which this entry runs.
    pub local_data_centre: String,
    /// Data centres that operators have taken out of service.
    pub data_centres_out: Vec<String>,
    /// Minimum part of the upstreams that ejection leaves in use, in percent.
    pub availability_floor_percent: u32,
    /// All upstreams of the service, including those in data centres that are
    /// out of service.
    pub upstreams: Vec<UpstreamSpec>,
}

/// The upstreams of one service. The set itself is immutable; the state of the
/// upstreams is shared between sets.
#[derive(Debug)]
pub struct UpstreamSet {
    pub(crate) clock: Clock,
    pub(crate) all: Vec<Arc<Upstream>>,
    pub(crate) local: Vec<Arc<Upstream>>,
    pub(crate) remote: Vec<Arc<Upstream>>,
    /// Minimum number of upstreams that ejection leaves in use.
    pub(crate) floor: usize,
    /// Sequence number of this set among the sets of the service.
    pub(crate) generation: u64,
    /// Generation of the newest set. A review holds the lock, so that only one
    /// runs at a time.
    pub(crate) newest: Arc<Mutex<u64>>,
    /// Number of live entries, shared by all generations.
    entries: Arc<AtomicU32>,
}

impl UpstreamSet {
    /// Creates the first set of a service.
    pub fn new(spec: &ServiceSpec, now: Instant) -> Self {
        let empty = Self {
            clock: Clock::new(now),
            all: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            floor: 1,
            generation: 0,
            newest: Arc::new(Mutex::new(0)),
            entries: Arc::new(AtomicU32::new(1)),
        };
        empty.build(spec, 0)
    }

    /// Creates the set for a new configuration.
    ///
    /// Upstreams that remain (same name, address and data centre) keep their
    /// state. Upstreams that are removed or out of service get no new requests
    /// from this call on, not even from threads that still use the old set.
    pub fn rebuild(&self, spec: &ServiceSpec, now: Instant) -> Self {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        *newest += 1;
        let set = self.build(spec, *newest);
        for upstream in &self.all {
            let stays = set.all.iter().any(|other| Arc::ptr_eq(other, upstream));
            if !stays {
                upstream.set_disabled(true);
            }
        }
        drop(newest);
        set.review(now);
        set
    }

    /// Returns all upstreams, including those that are out of service.
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.all
    }

    /// Records whether an upstream is leaving according to the instance list.
    pub fn on_instance_listed(&self, name: &str, leaving: bool, now: Instant) {
        let found = self.all.iter().find(|upstream| upstream.name() == name);
        if let Some(upstream) = found {
            upstream.set_listed_leaving(leaving);
            self.review(now);
        }
    }

    /// Records that an upstream has announced in a complete answer that it is
    /// leaving (`Connection: close`).
    pub fn on_leaving(&self, upstream: &Upstream, now: Instant) {
        upstream.set_announced_leaving(self.clock.ms(now));
        self.review(now);
    }

    /// Records the outcome of an attempt and releases its slot.
    pub fn report(&self, slot: Slot, outcome: AttemptOutcome, now: Instant) {
        let upstream = slot.upstream();
        let probe = slot.is_probe();
        match outcome {
            AttemptOutcome::Success => self.on_success(upstream, probe, now),
            AttemptOutcome::Failure => self.on_failure(upstream, probe, now),
            AttemptOutcome::Leaving => self.on_leaving(upstream, now),
            AttemptOutcome::Full | AttemptOutcome::Abandoned => {}
        }
        self.adapt_limit(upstream, outcome, now);
        drop(slot);
    }

    /// Records the number of live entries that share the upstreams. It is 1
    /// until the first call.
    pub fn on_live_entries(&self, entries: u32) {
        self.entries.store(entries, Ordering::Relaxed);
    }

    /// Returns the number of requests that this entry may run at once on all
    /// usable upstreams, including due raises of the learned limits.
    pub fn capacity(&self, now: Instant) -> u32 {
        let now_ms = self.clock.ms(now);
        let pools = self.local.iter().chain(&self.remote);
        pools
            .filter(|upstream| upstream.is_usable(now_ms))
            .map(|upstream| upstream.limit.at(now_ms))
            .sum()
    }

    fn adapt_limit(&self, upstream: &Upstream, outcome: AttemptOutcome, now: Instant) {
        // The slot of this attempt is not released yet.
        let running = upstream.in_use().saturating_sub(1);
        let now_ms = self.clock.ms(now);
        if outcome == AttemptOutcome::Full {
            upstream.limit.lower(running, now_ms);
        } else {
            let entries = self.entries.load(Ordering::Relaxed);
            upstream.limit.yield_one(running, entries, now_ms);
        }
    }

    fn on_success(&self, upstream: &Upstream, probe: bool, now: Instant) {
        if probe {
            upstream.window.clear();
            upstream.ejection.readmit(self.clock.ms(now));
        } else {
            upstream.window.push(false);
        }
    }

    fn on_failure(&self, upstream: &Upstream, probe: bool, now: Instant) {
        if probe {
            upstream.ejection.fail_probe(self.clock.ms(now));
        } else if upstream.window.push(true) {
            self.review(now);
        }
    }

    fn build(&self, spec: &ServiceSpec, generation: u64) -> Self {
        let all: Vec<_> = spec
            .upstreams
            .iter()
            .map(|upstream| kept_or_new(upstream, self.clock, &self.all))
            .collect();
        for upstream in &all {
            upstream.set_disabled(spec.is_out(upstream));
        }
        let in_service = all.iter().filter(|upstream| !spec.is_out(upstream));
        let (local, remote) = in_service
            .cloned()
            .partition(|upstream| upstream.data_centre() == spec.local_data_centre);
        let floor = all.len() * spec.availability_floor_percent as usize;
        Self {
            clock: self.clock,
            local,
            remote,
            // At least one upstream stays in use, even with a floor of 0%.
            floor: floor.div_ceil(100).max(1),
            all,
            generation,
            newest: Arc::clone(&self.newest),
            entries: Arc::clone(&self.entries),
        }
    }
}

impl ServiceSpec {
    fn is_out(&self, upstream: &Upstream) -> bool {
        let name = upstream.data_centre();
        self.data_centres_out.iter().any(|out| out == name)
    }
}

fn kept_or_new(spec: &UpstreamSpec, clock: Clock, old: &[Arc<Upstream>]) -> Arc<Upstream> {
    let kept = old.iter().find(|upstream| upstream.is_same_instance(spec));
    match kept {
        Some(upstream) => {
            upstream.resize(spec);
            Arc::clone(upstream)
        }
        None => Arc::new(Upstream::new(spec, clock)),
    }
}
