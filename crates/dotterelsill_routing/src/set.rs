//! Upstreams of one service under one configuration.

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

/// Configuration of a service's upstreams as one entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// Data centre of this entry.
    pub local_data_centre: String,
    /// Data centres that operators have taken out.
    pub data_centres_out: Vec<String>,
    /// Least part of the upstreams that stays in service, in percent.
    pub availability_floor_percent: u32,
    /// All upstreams of the service, including those that are out.
    pub upstreams: Vec<UpstreamSpec>,
}

/// Upstreams of one service, immutable but for the state that is shared.
#[derive(Debug)]
pub struct UpstreamSet {
    pub(crate) clock: Clock,
    pub(crate) all: Vec<Arc<Upstream>>,
    pub(crate) local: Vec<Arc<Upstream>>,
    pub(crate) remote: Vec<Arc<Upstream>>,
    pub(crate) floor: usize,
    pub(crate) generation: u64,
    /// Generation of the newest set; locked by the one review that runs.
    pub(crate) newest: Arc<Mutex<u64>>,
    /// Number of live entries, the same for all generations.
    entries: Arc<AtomicU32>,
}

impl UpstreamSet {
    /// Creates the set of a service that had none before.
    pub fn new(spec: &ServiceSpec, now: Instant) -> Self {
        let none = Self {
            clock: Clock::new(now),
            all: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            floor: 1,
            generation: 0,
            newest: Arc::new(Mutex::new(0)),
            entries: Arc::new(AtomicU32::new(1)),
        };
        none.build(spec, 0)
    }

    /// Creates the set of a new configuration.
    ///
    /// Upstreams that stay (same name, address and data centre) keep their
    /// counts. Those that are removed or out get no new work from this call on,
    /// also from threads that still hold this set.
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

    /// Returns all upstreams, including those that are out.
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.all
    }

    /// Records what the instance list says about an upstream.
    pub fn on_instance_listed(&self, name: &str, leaving: bool, now: Instant) {
        let found = self.all.iter().find(|upstream| upstream.name() == name);
        if let Some(upstream) = found {
            upstream.set_listed_leaving(leaving);
            self.review(now);
        }
    }

    /// Records an upstream's own word that it is leaving, in an answer that is
    /// otherwise complete (`Connection: close`).
    pub fn on_leaving(&self, upstream: &Upstream, now: Instant) {
        upstream.said_leaving(self.clock.ms(now));
        self.review(now);
    }

    /// Records the end of an attempt and returns its slot.
    pub fn report(&self, slot: Slot, answer: AttemptOutcome, now: Instant) {
        let upstream = slot.upstream();
        let probe = slot.is_probe();
        match answer {
            AttemptOutcome::Success => self.on_success(upstream, probe, now),
            AttemptOutcome::Failure => self.on_failure(upstream, probe, now),
            AttemptOutcome::Leaving => self.on_leaving(upstream, now),
            AttemptOutcome::Full | AttemptOutcome::Abandoned => {}
        }
        self.adapt_limit(upstream, answer, now);
        drop(slot);
    }

    /// Records how many entries are live and share the upstreams; 1 until then.
    pub fn on_live_entries(&self, entries: u32) {
        self.entries.store(entries, Ordering::Relaxed);
    }

    /// Returns the number of requests that this entry may have running on all
    /// upstreams that may be used, with the raises of learned limits that are
    /// due.
    pub fn capacity(&self, now: Instant) -> u32 {
        let now_ms = self.clock.ms(now);
        let pools = self.local.iter().chain(&self.remote);
        pools
            .filter(|upstream| upstream.is_usable(now_ms))
            .map(|upstream| upstream.limit.at(now_ms))
            .sum()
    }

    fn adapt_limit(&self, upstream: &Upstream, answer: AttemptOutcome, now: Instant) {
        // The slot of this answer is not returned yet.
        let running = upstream.in_use().saturating_sub(1);
        let now_ms = self.clock.ms(now);
        if answer == AttemptOutcome::Full {
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
        let open = all.iter().filter(|upstream| !spec.is_out(upstream));
        let (local, remote) = open
            .cloned()
            .partition(|upstream| upstream.data_centre() == spec.local_data_centre);
        let floor = all.len() * spec.availability_floor_percent as usize;
        Self {
            clock: self.clock,
            local,
            remote,
            // At least one upstream stays, whatever the floor.
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
