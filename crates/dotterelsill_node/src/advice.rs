//! Queries the external advisor about which workers may run a step.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_platform::AdvisorClient;

use crate::{
    clock,
    dependency::Dependency,
    leadership::Leadership, //
};

/// Interval between checks for a pending advisor query.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends pending queries one at a time until the task group stops: the advisor
/// handles one call per instance at a time.
pub(crate) async fn run(leadership: Arc<Leadership>, advisor: Option<AdvisorClient>) {
    let dependency = Dependency::new("advisor");
    loop {
        let Some(query) = leadership.scheduler().next_advisor_query(clock::now()) else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        let asked_at = clock::now();
        let answer = match &advisor {
            Some(advisor) => advisor.ask(&query).await,
            None => Err("no advisor is configured".to_owned()),
        };
        match &answer {
            Ok(_) => dependency.on_answer(),
            Err(error) => dependency.on_error(error),
        }
        let approved = answer.as_deref().ok();
        leadership
            .scheduler()
            .on_advice(&query, approved, asked_at, clock::now());
        leadership.on_changed();
    }
}
