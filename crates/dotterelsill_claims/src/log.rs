//! Owner's side of one bucket.

mod append;
mod takeover;

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    action::Waiter,
    aged::Aged,
    Action,
    Claim,
    Incarnation,
    Key,
    StoreAnswer,
    WriteId, //
};

use self::{
    append::Open,
    takeover::{
        Swap,
        Takeover, //
    }, //
};

/// Limits of a [`ClaimLog`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Shortest time between two appends.
    pub append_interval: Duration,
    /// Time after another instance took the bucket during which this one does
    /// not take it back. Two instances that both believe to be the owner would
    /// otherwise read the whole log in turns.
    pub takeover_pause: Duration,
    /// Largest number of claims in one append; an entry has at most 1 MB.
    pub max_batch_claims: usize,
    /// Largest number of claimants that wait for an answer.
    pub max_waiting_claims: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            append_interval: Duration::from_millis(50),
            takeover_pause: Duration::from_secs(1),
            max_batch_claims: 4096,
            max_waiting_claims: 16384,
        }
    }
}

/// Grants claims of one bucket by appending them to the bucket's log.
///
/// One value belongs to one incarnation and is used until that ends. While the
/// bucket is not owned, the first claim starts the takeover.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimLog {
    incarnation: Incarnation,
    limits: Limits,
    /// Claims known to be in the log. They stay true when the bucket is lost.
    claims: Aged<Incarnation>,
    /// Claims to be appended next, each with a different key.
    pending: Vec<Claim>,
    /// Claimants by key; their number is `waiting_len`.
    waiting: BTreeMap<Key, Vec<Waiter>>,
    waiting_len: usize,
    phase: Phase,
    /// Number of the last store call.
    last_call: u64,
    /// Whether the answer of `last_call` is awaited.
    in_flight: bool,
    last_write: u64,
    paused_until: Option<Instant>,
}

/// What the owner's side is doing.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// The bucket is not owned.
    Closed,
    /// The owner record is read, to be taken over.
    Reading,
    /// The owner record is written.
    Swapping(Swap),
    /// The entries of all epochs are read.
    Listing(Takeover),
    /// Older epochs are sealed.
    Sealing(Takeover),
    /// Claims are granted.
    Open(Open),
}

impl ClaimLog {
    /// Creates the owner's side of a bucket, which is not owned yet.
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        ClaimLog {
            incarnation,
            limits,
            claims: Aged::new(),
            pending: Vec::new(),
            waiting: BTreeMap::new(),
            waiting_len: 0,
            phase: Phase::Closed,
            last_call: 0,
            in_flight: false,
            last_write: 0,
            paused_until: None,
        }
    }

    /// Returns the number of claims held in memory.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether this incarnation took the bucket and lost it to no
    /// other one as far as it knows.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open(_))
    }

    /// Adds a claim, whose answer carries `ticket`.
    pub fn on_claim(&mut self, claim: Claim, ticket: u64, now: Instant) -> Vec<Action> {
        self.claims.expire(now);
        let claimant = claim.claimant;
        let waiter = Waiter { ticket, claimant };
        if let Some(holder) = self.claims.get(claim.key) {
            let claimant = *holder;
            return vec![waiter.settle(Claim { claimant, ..claim })];
        }
        if self.is_paused(now) || self.waiting_len >= self.limits.max_waiting_claims {
            return vec![waiter.refuse()];
        }
        let waiters = self.waiting.entry(claim.key).or_default();
        if waiters.is_empty() {
            self.pending.push(claim);
        }
        waiters.push(waiter);
        self.waiting_len += 1;
        self.proceed(now)
    }

    /// Takes the answer of a store call.
    ///
    /// The answer of an earlier call is ignored. `authority_ends_at` is when
    /// this incarnation's authority lapses; `now` is read after the answer
    /// arrived.
    pub fn on_answer(
        &mut self,
        call: u64,
        answer: StoreAnswer,
        authority_ends_at: Instant,
        now: Instant,
    ) -> Vec<Action> {
        if !self.in_flight || call != self.last_call {
            return Vec::new();
        }
        self.in_flight = false;
        self.claims.expire(now);
        match std::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Closed => Vec::new(),
            Phase::Reading => self.on_owner(answer, now),
            Phase::Swapping(swap) => self.on_swap(swap, answer, now),
            Phase::Listing(takeover) => self.on_page(takeover, answer, now),
            Phase::Sealing(takeover) => self.on_seal(takeover, answer, now),
            Phase::Open(open) => self.on_append(open, answer, authority_ends_at, now),
        }
    }

    /// Does what is due; to be called at [`ClaimLog::wake_at`].
    pub fn on_timer(&mut self, now: Instant) -> Vec<Action> {
        self.proceed(now)
    }

    /// Returns when claims that wait now may be appended, or `None` when
    /// nothing depends on time.
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Open(open) if !self.in_flight && !self.pending.is_empty() => {
                open.next_append_at(self.limits.append_interval)
            }
            _ => None,
        }
    }

    /// Stops granting and refuses every claim that waits.
    ///
    /// A write in flight may still take effect. A later claim starts a new
    /// takeover.
    pub fn stop(&mut self) -> Vec<Action> {
        self.phase = Phase::Closed;
        self.in_flight = false;
        self.pending.clear();
        self.waiting_len = 0;
        std::mem::take(&mut self.waiting)
            .into_values()
            .flatten()
            .map(Waiter::refuse)
            .collect()
    }

    /// Stops because another incarnation owns the bucket.
    fn deposed(&mut self, now: Instant) -> Vec<Action> {
        self.paused_until = Some(now + self.limits.takeover_pause);
        self.stop()
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Starts the next store call when one is due.
    fn proceed(&mut self, now: Instant) -> Vec<Action> {
        if self.in_flight || self.pending.is_empty() {
            return Vec::new();
        }
        match std::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Closed => {
                self.phase = Phase::Reading;
                let call = self.next_call();
                vec![Action::ReadOwner { call }]
            }
            Phase::Open(open) => self.append(open, now),
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    /// Returns the number of a new store call.
    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.in_flight = true;
        self.last_call
    }

    /// Returns the identifier of a new entry.
    fn next_write(&mut self) -> WriteId {
        self.last_write += 1;
        WriteId {
            writer: self.incarnation,
            number: self.last_write,
        }
    }

    /// Keeps a claim that is in the log, unless an earlier one has its key.
    fn keep(&mut self, claim: Claim, now: Instant) {
        if self.claims.get(claim.key).is_none() {
            self.claims.set(claim.key, claim.claimant, now);
        }
    }

    /// Answers those who wait for the key of a claim that is in the log.
    fn settle(&mut self, claim: Claim) -> Vec<Action> {
        let waiters = self.waiting.remove(&claim.key).unwrap_or_default();
        self.waiting_len -= waiters.len();
        waiters.into_iter().map(|w| w.settle(claim)).collect()
    }
}
