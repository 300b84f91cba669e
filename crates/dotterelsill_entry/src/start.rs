//! Decides whether work may start now, and under which configuration.

use std::{
    sync::Arc,
    time::Instant, //
};

use async_io::Timer;
use dotterelsill_revision::{
    Decision,
    Mode, //
};
use futures_lite::FutureExt as _;
use http::StatusCode;

use crate::{
    outcome::Reason,
    plan::QueuePlan,
    shared::Shared,
    snapshot::Snapshot, //
};

/// Returns the configuration under which work may start now.
///
/// Waits while a newer revision is known whose document is not loaded yet, at most
/// until the deadline.
pub(crate) async fn wait_until_allowed(
    shared: &Shared,
    plan: &QueuePlan,
    deadline: Instant,
) -> Result<Arc<Snapshot>, Reason> {
    loop {
        let changed = shared.authority.listen();
        let now = Instant::now();
        match shared.authority.decide(plan.when_isolated(), now) {
            // A snapshot is replaced before its revision counts as in force, so the
            // one loaded now is at least as new as the revision of the decision.
            Some(Decision::Start { .. }) => return Ok(shared.snapshot.load_full()),
            Some(Decision::WaitForBody) if now < deadline => {
                let over = async {
                    Timer::at(deadline).await;
                };
                changed.or(over).await;
            }
            Some(Decision::WaitForBody) => {
                return Err(refusal("a newer configuration has not been loaded yet"));
            }
            Some(Decision::Refuse { mode }) => return Err(refusal(reason(mode))),
            None => return Err(refusal("this instance is not registered yet")),
        }
    }
}

fn reason(mode: Mode) -> &'static str {
    match mode {
        Mode::Lapsed => "this instance has lost its registration",
        Mode::Fresh | Mode::Isolated => "this instance is cut off and the queue is not served then",
        Mode::Stale => "this instance cannot prove that its configuration is current",
    }
}

fn refusal(reason: &str) -> Reason {
    Reason::new(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("{reason}; send the request again"),
    )
}
