//! Hedging: sending a repeatable request a second time before the first attempt
//! has ended.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    Deadline,
    LatencyHistogram,
    RetryBudget, //
};

/// Percentile of the observed latency after which a hedge is sent.
const HEDGE_PERCENTILE: u32 = 95;

/// Hedging delay while fewer than [`MIN_ANSWERS`] answers were observed.
const DEFAULT_DELAY: Duration = Duration::from_millis(500);

/// Minimum hedging delay; a shorter one would hedge on ordinary scheduling
/// delays.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Minimum number of answers for the percentile to be used.
const MIN_ANSWERS: u32 = 20;

/// State of a request in flight, for the decision about a hedge.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// Instant at which the request was sent.
    pub sent_at: Instant,
    /// Instant at which the caller stops waiting.
    pub deadline: Deadline,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a hedge was already sent.
    pub hedged: bool,
}

/// Whether and when to send a hedge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// Send the hedge now, on a new connection.
    Send,
    /// Decide again at this instant.
    WaitUntil(Instant),
    /// Send no hedge for this request.
    Never,
}

impl HedgeDecision {
    /// Decides about a hedge. [`Self::Send`] has been counted against the retry
    /// budget.
    ///
    /// Returns [`Self::Never`] if the budget is exhausted: deciding again later
    /// would build up a queue of pending hedges during an overload.
    pub fn decide(
        request: &InFlightRequest,
        latency: &LatencyHistogram,
        budget: &RetryBudget,
        now: Instant,
    ) -> Self {
        if !request.repeatable || request.hedged || request.deadline.remaining(now).is_none() {
            return Self::Never;
        }
        let due = request.sent_at + hedge_delay(latency);
        if due >= request.deadline.at() {
            return Self::Never;
        }
        if now < due {
            return Self::WaitUntil(due);
        }
        if budget.try_retry(now) {
            Self::Send
        } else {
            Self::Never
        }
    }
}

fn hedge_delay(latency: &LatencyHistogram) -> Duration {
    if latency.count() < MIN_ANSWERS {
        return DEFAULT_DELAY;
    }
    latency
        .quantile(HEDGE_PERCENTILE)
        .map_or(DEFAULT_DELAY, |delay| delay.max(MIN_DELAY))
}
