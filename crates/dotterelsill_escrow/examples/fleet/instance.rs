//! One instance: its queue, its running requests and its part of the limit.

use std::{
    collections::VecDeque,
    time::Instant, //
};

use dotterelsill_escrow::{
    Credit,
    Credits,
    Holder,
    HolderState,
    Incarnation,
    Policy, //
};
use rand::{
    rngs::Xoshiro256PlusPlus,
    RngExt as _,
    SeedableRng as _, //
};

use crate::{
    demand::Arrival,
    store::Store, //
};

/// Steps for which a request waits for a credit before it is refused.
const PATIENCE_STEPS: usize = 40;

/// Steps after which a run is cut, where runs are cut: 1 s, four mean runs.
const MAX_RUN_STEPS: usize = 200;

/// Longest wait after a refused write.
const BACKOFF_STEPS: usize = 10;

/// Steps between two decisions while nothing waits.
const DECISION_STEPS: usize = 20;

pub(crate) struct Instance {
    pub(crate) alive: bool,
    pub(crate) holder: Holder,
    is_static: bool,
    /// Steps after the cut of a run until its credit comes back; `None` if no run
    /// is cut.
    pub(crate) settle_steps: Option<usize>,
    running: Vec<(usize, Credit)>,
    resume_at: usize,
    rng: Xoshiro256PlusPlus,
    sent: Option<u64>,
    waiting: VecDeque<(usize, Arrival)>,
}

/// Requests that left the queue of an instance in one step.
pub(crate) struct Progress {
    pub(crate) refused: usize,
    pub(crate) started: usize,
}

impl Instance {
    /// Creates an instance that transfers credits by a policy, or one with a
    /// fixed part of the limit.
    pub(crate) fn new(number: usize, policy: Option<Policy>, part: u32) -> Self {
        let mut state = HolderState::default();
        state.counts.allowance = if policy.is_none() { part } else { 0 };
        let incarnation = Incarnation(number as u128);
        Self {
            alive: true,
            holder: Holder::from_state(incarnation, policy.unwrap_or_default(), state),
            is_static: policy.is_none(),
            settle_steps: None,
            running: Vec::new(),
            resume_at: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(number as u64),
            sent: None,
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn credits(&self) -> &Credits {
        self.holder.credits()
    }

    /// Returns the credits that are lost while this instance is dead.
    pub(crate) fn exposed(&self) -> u32 {
        if self.is_static {
            return self.credits().counts().allowance;
        }
        self.holder.state().held
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn arrive(&mut self, step: usize, arrival: Arrival) {
        self.waiting.push_back((step, arrival));
    }

    /// Ends, refuses and starts requests.
    pub(crate) fn advance(&mut self, step: usize) -> Progress {
        self.running.retain(|(end, _)| *end > step);
        let before = self.waiting.len();
        self.waiting
            .retain(|(since, _)| step - since <= PATIENCE_STEPS);
        let refused = before - self.waiting.len();
        let mut started = 0;
        while let Some((_, arrival)) = self.waiting.front() {
            let Some(credit) = self.holder.credits().try_start() else {
                break;
            };
            let run = arrival.run_steps as usize;
            let end = match self.settle_steps {
                Some(settle) if run > MAX_RUN_STEPS => step + MAX_RUN_STEPS + settle,
                _ => step + run,
            };
            self.running.push((end, credit));
            self.waiting.pop_front();
            started += 1;
        }
        Progress { refused, started }
    }

    /// Learns the result of the last write, and sends the next operation.
    pub(crate) fn transfer(&mut self, store: &mut Store, step: usize, now: Instant) {
        if self.is_static || !self.alive {
            return;
        }
        let (version, ledger) = store.visible();
        let was_sent = self.sent.take();
        if was_sent.is_some_and(|sent| store.is_lost(sent, self.holder.incarnation())) {
            self.holder.on_write_failed();
            self.resume_at = step + self.rng.random_range(0..BACKOFF_STEPS);
        }
        let waiting = self.waiting.len() as u32;
        let offset = self.holder.incarnation().0 as usize;
        let due = (step + offset).is_multiple_of(DECISION_STEPS);
        let is_quiet = was_sent.is_none() && waiting == 0 && !due;
        if is_quiet || step < self.resume_at {
            self.holder.on_record(version, ledger);
            return;
        }
        let operation = self.holder.next_operation(version, ledger, waiting, now);
        if let Some(operation) = operation {
            self.sent = Some(version);
            store.send(self.holder.incarnation(), version, operation);
        }
    }
}
