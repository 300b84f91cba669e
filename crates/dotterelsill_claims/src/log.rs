//! Owner's side of one bucket: takeover, appends and replies to claimants.

mod append;
mod takeover;

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    action::Waiter,
    expiring_map::ExpiringMap,
    Action,
    Claim,
    Incarnation,
    Key,
    StoreAnswer,
    WriteId, //
};

use self::{
    append::OpenEpoch,
    takeover::{
        Swap,
        Takeover, //
    }, //
};

/// Limits of a [`ClaimLog`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Minimum time between two appends.
    pub append_interval: Duration,
    /// Time during which this instance does not take the bucket back after
    /// another one took it. Without the pause, two instances that both believe
    /// that they are the owner would take it over in turns and read the whole
    /// log each time.
    pub takeover_pause: Duration,
    /// Maximum number of claims in one append; an entry has at most 1 MB.
    pub max_batch_claims: usize,
    /// Maximum number of claimants that wait for a reply; further ones are
    /// refused.
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
/// A value belongs to one incarnation and is used until that incarnation ends.
/// While the bucket is not owned, the first claim starts the takeover.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimLog {
    incarnation: Incarnation,
    limits: Limits,
    /// Claimants of the claims known to be in the log. They remain valid when
    /// the ownership of the bucket is lost.
    claims: ExpiringMap<Incarnation>,
    /// Claims to be appended next, with distinct keys.
    pending: Vec<Claim>,
    /// Claimants that wait for a reply, by key.
    waiting: BTreeMap<Key, Vec<Waiter>>,
    /// Total number of claimants in `waiting`.
    waiting_len: usize,
    phase: Phase,
    /// Number of the last store call.
    last_call: u64,
    /// Whether the answer to `last_call` is outstanding.
    in_flight: bool,
    /// Number of the last entry written.
    last_write: u64,
    /// Until when new claims are refused after the ownership was lost.
    paused_until: Option<Instant>,
}

/// Phase of the ownership of a bucket.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    /// The bucket is not owned.
    Closed,
    /// The owner record is being read for a takeover.
    ReadingOwner,
    /// The owner record is being written by a compare-and-swap.
    SwappingOwner(Swap),
    /// The entries of all epochs are being read.
    Listing(Takeover),
    /// Older epochs are being sealed.
    Sealing(Takeover),
    /// The bucket is owned and claims are granted.
    Open(OpenEpoch),
}

impl ClaimLog {
    /// Creates the state for a bucket that is not owned yet.
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        ClaimLog {
            incarnation,
            limits,
            claims: ExpiringMap::new(),
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

    /// Returns whether this incarnation believes that it owns the bucket: it
    /// took the bucket and has not learned that another one took it since.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open(_))
    }

    /// Handles a claim; the reply to it carries `ticket`.
    pub fn on_claim(&mut self, claim: Claim, ticket: u64, now: Instant) -> Vec<Action> {
        self.claims.expire(now);
        let claimant = claim.claimant;
        let waiter = Waiter { ticket, claimant };
        if let Some(holder) = self.claims.get(claim.key) {
            let claimant = *holder;
            return vec![waiter.reply_with(Claim { claimant, ..claim })];
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
        self.start_next_call(now)
    }

    /// Handles the answer to a store call.
    ///
    /// The answer to an earlier call is ignored. `authority_ends_at` is the
    /// time at which this incarnation's authority lapses; `now` must be read
    /// after the answer arrived.
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
            Phase::ReadingOwner => self.on_owner_read(answer, now),
            Phase::SwappingOwner(swap) => self.on_swap(swap, answer, now),
            Phase::Listing(takeover) => self.on_page(takeover, answer, now),
            Phase::Sealing(takeover) => self.on_seal(takeover, answer, now),
            Phase::Open(open) => self.on_append(open, answer, authority_ends_at, now),
        }
    }

    /// Starts an append that is due; to be called at [`ClaimLog::wake_at`].
    pub fn on_timer(&mut self, now: Instant) -> Vec<Action> {
        self.start_next_call(now)
    }

    /// Returns when the pending claims may be appended, or `None` if nothing
    /// depends on time.
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Open(open) if !self.in_flight && !self.pending.is_empty() => {
                open.next_append_at(self.limits.append_interval)
            }
            _ => None,
        }
    }

    /// Stops granting and refuses all waiting claims.
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

    /// Stops and pauses takeovers, since another incarnation owns the bucket.
    fn on_ownership_lost(&mut self, now: Instant) -> Vec<Action> {
        self.paused_until = Some(now + self.limits.takeover_pause);
        self.stop()
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Starts the next store call if one is due.
    fn start_next_call(&mut self, now: Instant) -> Vec<Action> {
        if self.in_flight || self.pending.is_empty() {
            return Vec::new();
        }
        match std::mem::replace(&mut self.phase, Phase::Closed) {
            Phase::Closed => {
                self.phase = Phase::ReadingOwner;
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

    /// Starts a new store call and returns its number.
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

    /// Records a claim that is in the log, unless an earlier claim has its key.
    fn record_claim(&mut self, claim: Claim, now: Instant) {
        if self.claims.get(claim.key).is_none() {
            self.claims.insert(claim.key, claim.claimant, now);
        }
    }

    /// Returns the replies to all waiters for the key of a claim in the log.
    fn reply_to_waiters(&mut self, claim: Claim) -> Vec<Action> {
        let waiters = self.waiting.remove(&claim.key).unwrap_or_default();
        self.waiting_len -= waiters.len();
        waiters.into_iter().map(|w| w.reply_with(claim)).collect()
    }
}
