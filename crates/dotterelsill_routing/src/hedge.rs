//! Decision to send repeatable work a second time.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    Deadline,
    LatencyHistogram,
    RetryBudget, //
};

/// Percentile of the observed latency after which a hedge goes out.
const HEDGE_PERCENT: u32 = 95;

/// Delay while too few answers were observed.
const DELAY_UNKNOWN: Duration = Duration::from_millis(500);

/// Least delay; below it a hedge would follow ordinary scheduling delays.
const DELAY_LEAST: Duration = Duration::from_millis(2);

/// Answers needed before the percentile is used.
const ANSWERS_LEAST: u32 = 20;

/// State of a request that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    /// Instant at which the request was sent.
    pub sent_at: Instant,
    /// Instant at which the caller stops waiting.
    pub deadline: Deadline,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a hedge was sent already.
    pub hedged: bool,
}

/// What to do about a hedge now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// Send the hedge now, on a new connection.
    Send,
    /// Ask again at the instant.
    WaitUntil(Instant),
    /// Send no hedge for this request.
    Never,
}

impl HedgeDecision {
    /// Decides about a hedge; `Send` has taken its part of the retry budget.
    ///
    /// The answer is `Never` when the budget is spent: asking again would turn
    /// an overload into a queue of pending hedges.
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
    if latency.count() < ANSWERS_LEAST {
        return DELAY_UNKNOWN;
    }
    latency
        .quantile(HEDGE_PERCENT)
        .map_or(DELAY_UNKNOWN, |delay| delay.max(DELAY_LEAST))
}
