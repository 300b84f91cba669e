//! One instance: its queue, its running requests, and its credits.

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
const MAX_WAIT_STEPS: usize = 40;

/// Steps after which a run is aborted, if runs are aborted at all. The time is 1 s,
/// which is four times the mean run time.
const MAX_RUN_STEPS: usize = 200;

/// Upper bound, exclusive, of the random wait after a refused write, in steps.
const BACKOFF_STEPS: usize = 10;

/// Steps between two decisions while no request waits.
const DECISION_STEPS: usize = 20;

/// Simulated instance.
pub(crate) struct Instance {
    pub(crate) alive: bool,
    pub(crate) holder: Holder,
    /// Whether the allowance is a fixed part of the limit.
    is_static: bool,
    /// Steps from the abort of a run to the release of its credit; `None` if no run
    /// is aborted.
    pub(crate) abort_grace_steps: Option<usize>,
    /// Running requests, each with the step in which its credit is released.
    running: Vec<(usize, Credit)>,
    /// Step before which no operation is sent, because the last write was refused.
    resume_at: usize,
    rng: Xoshiro256PlusPlus,
    /// Record version that the write in flight expects.
    sent: Option<u64>,
    /// Waiting requests, each with the step in which it arrived.
    waiting: VecDeque<(usize, Arrival)>,
}

/// Numbers of requests that left the queue of an instance in one step.
pub(crate) struct Progress {
    pub(crate) refused: usize,
    pub(crate) started: usize,
}

impl Instance {
    /// Creates an instance that takes and gives back credits according to a policy,
    /// or without a policy an instance with a fixed part of the limit.
    pub(crate) fn new(number: usize, policy: Option<Policy>, part: u32) -> Self {
        let mut state = HolderState::default();
        state.counts.allowance = if policy.is_none() { part } else { 0 };
        let incarnation = Incarnation(number as u128);
        Self {
            alive: true,
            holder: Holder::from_state(incarnation, policy.unwrap_or_default(), state),
            is_static: policy.is_none(),
            abort_grace_steps: None,
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

    /// Returns the number of credits that nobody can use while this instance is
    /// down.
    pub(crate) fn credits_at_risk(&self) -> u32 {
        if self.is_static {
            return self.credits().counts().allowance;
        }
        self.holder.state().held
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Queues a request.
    pub(crate) fn arrive(&mut self, step: usize, arrival: Arrival) {
        self.waiting.push_back((step, arrival));
    }

    /// Ends finished requests, refuses those that waited too long, and starts waiting
    /// ones.
    pub(crate) fn advance(&mut self, step: usize) -> Progress {
        self.running.retain(|(end, _)| *end > step);
        let before = self.waiting.len();
        self.waiting
            .retain(|(since, _)| step - since <= MAX_WAIT_STEPS);
        let refused = before - self.waiting.len();
        let mut started = 0;
        while let Some((_, arrival)) = self.waiting.front() {
            let Some(credit) = self.holder.credits().try_start() else {
                break;
            };
            let run = arrival.run_steps as usize;
            let end = match self.abort_grace_steps {
                Some(grace) if run > MAX_RUN_STEPS => step + MAX_RUN_STEPS + grace,
                _ => step + run,
            };
            self.running.push((end, credit));
            self.waiting.pop_front();
            started += 1;
        }
        Progress { refused, started }
    }

    /// Processes the result of the last write and sends the next operation.
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
        let is_due = (step + offset).is_multiple_of(DECISION_STEPS);
        let is_idle = was_sent.is_none() && waiting == 0 && !is_due;
        if is_idle || step < self.resume_at {
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
