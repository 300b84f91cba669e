//! States and events of the model.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_escrow::{
    Holder,
    HolderState,
    Incarnation,
    LeaseState,
    Ledger,
    MemberState,
    Operation,
    OperationKind,
    Policy,
    ReclaimLimits,
    ReclaimTracker, //
};

/// Policy that gives back idle credits immediately.
const POLICY: Policy = Policy {
    idle_after: Duration::ZERO,
    idle_after_contended: Duration::ZERO,
    reserve: 0,
    take_covers_waiting: false,
    take_delay: Duration::ZERO,
};

/// Error of the driver that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    GiveBackBeforeLowering,
    RaiseBeforeTake,
    EarlyReclaim,
    RetryWithNewNumber,
    ReclaimOnce,
}

/// Bounds of one search.
pub(crate) struct Setup {
    pub(crate) base: Instant,
    pub(crate) fault: Fault,
    pub(crate) incarnations: usize,
    /// Limits by configuration revision.
    pub(crate) limits: &'static [u32],
    /// Credits that each incarnation keeps while idle.
    pub(crate) reserve: u32,
}

/// Write that may reach the store zero or more times.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Write {
    pub(crate) operation: Operation,
    pub(crate) version: u64,
}

/// State of one incarnation.
///
/// An incarnation is paused while only events of others occur.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Node {
    pub(crate) holder: HolderState,
    /// Whether the isolation limit and the longest run time have passed.
    pub(crate) reclaim_wait_over: bool,
    /// Whether its credits were reclaimed; only set by [`Fault::ReclaimOnce`].
    pub(crate) reclaimed: bool,
    /// Whether the incarnation can no longer act, because it crashed, or because
    /// its authority expired while it was paused or disconnected. Its lease is
    /// observed as expired by then.
    pub(crate) stopped: bool,
    pub(crate) writes: Vec<Write>,
}

/// State of the store and of all incarnations.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct World {
    pub(crate) ledger: Ledger,
    pub(crate) nodes: Vec<Node>,
    pub(crate) version: u64,
}

/// Event that changes the state; most name the node on which they occur.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Start(usize),
    End(usize),
    Decide(usize, u32),
    DeliverAndAnswer(usize, Write),
    DeliverAndLoseAnswer(usize, Write),
    TimeOut(usize),
    Stop(usize),
    ReclaimWaitEnds(usize),
    Reclaim(usize),
    Restart,
    SetLimit,
}

pub(crate) fn id(node: usize) -> Incarnation {
    Incarnation(node as u128)
}

impl World {
    pub(crate) fn new(setup: &Setup) -> Self {
        Self {
            ledger: Ledger::new(setup.limits[0], 0).expect("the limit is low"),
            nodes: vec![Node::default(); 2],
            version: 0,
        }
    }

    pub(crate) fn held(&self, node: usize) -> u32 {
        self.ledger
            .holding(id(node))
            .map_or(0, |holding| holding.held)
    }

    /// Returns the events that may occur in this state.
    pub(crate) fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::SetLimit, Event::Restart];
        for (node, state) in self.nodes.iter().enumerate() {
            if state.holder.counts.running > 0 {
                events.push(Event::End(node));
            }
            if state.stopped {
                events.extend([Event::ReclaimWaitEnds(node), Event::Reclaim(node)]);
            } else {
                events.extend([Event::Start(node), Event::Stop(node), Event::TimeOut(node)]);
                events.extend([Event::Decide(node, 0), Event::Decide(node, 1)]);
            }
            for write in &state.writes {
                events.push(Event::DeliverAndAnswer(node, *write));
                events.push(Event::DeliverAndLoseAnswer(node, *write));
            }
        }
        events
    }

    /// Applies an event. An event that is impossible in this state has no effect.
    pub(crate) fn step(&mut self, setup: &Setup, event: Event) {
        match event {
            Event::Start(node) => {
                self.update(node, |holder| {
                    std::mem::forget(holder.credits().try_start())
                });
            }
            Event::End(node) => self.nodes[node].holder.counts.running -= 1,
            Event::Decide(node, waiting) => self.decide(setup, node, waiting),
            Event::DeliverAndAnswer(node, write) => self.deliver(setup, node, write, true),
            Event::DeliverAndLoseAnswer(node, write) => self.deliver(setup, node, write, false),
            Event::TimeOut(node) => self.fail(setup, node),
            Event::Stop(node) => self.stop(node),
            Event::ReclaimWaitEnds(node) => {
                self.nodes[node].reclaim_wait_over = true;
                self.nodes[node].holder = HolderState::default();
            }
            Event::Reclaim(node) => self.reclaim(setup, node),
            Event::Restart => self.restart(setup),
            Event::SetLimit => self.set_limit(setup),
        }
    }

    fn decide(&mut self, setup: &Setup, node: usize, waiting: u32) {
        let (version, ledger) = (self.version, self.ledger.clone());
        let next = |holder: &mut Holder| {
            holder.set_reserve(setup.reserve);
            holder.next_operation(version, &ledger, waiting, setup.base)
        };
        let Some(operation) = self.update(node, next) else {
            return;
        };
        self.send(node, operation);
        let allowance = &mut self.nodes[node].holder.counts.allowance;
        match (setup.fault, operation.kind) {
            (Fault::GiveBackBeforeLowering, OperationKind::GiveBack { credits })
            | (Fault::RaiseBeforeTake, OperationKind::Take { credits }) => *allowance += credits,
            _ => {}
        }
    }

    fn send(&mut self, node: usize, operation: Operation) {
        let version = self.version;
        let write = Write { operation, version };
        let writes = &mut self.nodes[node].writes;
        if !writes.contains(&write) {
            writes.push(write);
        }
    }

    /// Delivers a write to the store and reports the result to a node that waits
    /// for it. A lost answer is reported as a failed write.
    fn deliver(&mut self, setup: &Setup, node: usize, write: Write, is_answered: bool) {
        let next = self.ledger.apply(id(node), &write.operation);
        let succeeds = write.version == self.version;
        if let (true, Ok(next)) = (succeeds, next) {
            self.commit(next);
        }
        let state = &self.nodes[node];
        let in_flight = state.holder.in_flight;
        if state.stopped || in_flight.is_none_or(|awaited| awaited.operation != write.operation) {
            return;
        }
        if is_answered && succeeds {
            let (version, ledger) = (self.version, self.ledger.clone());
            self.update(node, |holder| holder.on_record(version, &ledger));
        } else {
            self.fail(setup, node);
        }
    }

    /// Reports the write in flight as failed, for example after a timeout.
    fn fail(&mut self, setup: &Setup, node: usize) {
        let in_flight = self.nodes[node].holder.in_flight;
        let Some(in_flight) = in_flight.filter(|in_flight| !in_flight.failed) else {
            return;
        };
        self.update(node, Holder::on_write_failed);
        if setup.fault == Fault::RetryWithNewNumber {
            let mut operation = in_flight.operation;
            operation.number += 1;
            self.send(node, operation);
        }
    }

    /// Stops an incarnation, whose running requests continue.
    fn stop(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.stopped = true;
        let running = node.holder.counts.running;
        node.holder = HolderState::default();
        node.holder.counts.running = running;
    }

    /// Fences the member record of a dead incarnation and reclaims its holding.
    fn reclaim(&mut self, setup: &Setup, node: usize) {
        let is_early = setup.fault == Fault::EarlyReclaim;
        let limit = Duration::from_secs(if is_early { 0 } else { 1 });
        let limits = ReclaimLimits {
            isolation_limit: limit,
            lease: Duration::ZERO,
            max_run: limit,
        };
        let state = &mut self.nodes[node];
        // The wait is the isolation limit and the longest run time of 1 s each,
        // plus 1/1000 for clock drift.
        let now =
            setup.base + Duration::from_millis(if state.reclaim_wait_over { 2002 } else { 0 });
        let mut tracker = ReclaimTracker::new(id(node), limits);
        tracker.on_lease(LeaseState::Expired, setup.base);
        if tracker.should_fence(now) {
            tracker.on_member(MemberState::Fenced);
        }
        let Some(proof) = tracker.reclaim_proof(now).filter(|_| !state.reclaimed) else {
            return;
        };
        state.reclaimed = setup.fault == Fault::ReclaimOnce;
        let next = self.ledger.reclaim(&proof);
        if next != self.ledger {
            self.commit(next);
        }
    }

    /// Adds an incarnation that replaces a stopped one, up to the bound of the search.
    fn restart(&mut self, setup: &Setup) {
        let has_stopped_node = self.nodes.iter().any(|node| node.stopped);
        if has_stopped_node && self.nodes.len() < setup.incarnations {
            self.nodes.push(Node::default());
        }
    }

    /// Applies the limit of the next configuration revision, if there is one.
    fn set_limit(&mut self, setup: &Setup) {
        let revision = self.ledger.revision() + 1;
        if let Some(&limit) = setup.limits.get(revision as usize) {
            let next = self.ledger.set_limit(limit, revision);
            self.commit(next.expect("the revision is newer"));
        }
    }

    fn commit(&mut self, next: Ledger) {
        self.ledger = next;
        self.version += 1;
    }

    /// Applies a function to the holder of a node and stores its new state.
    fn update<T>(&mut self, node: usize, step: impl FnOnce(&mut Holder) -> T) -> T {
        let mut holder = Holder::from_state(id(node), POLICY, self.nodes[node].holder);
        let result = step(&mut holder);
        self.nodes[node].holder = holder.state();
        result
    }
}
