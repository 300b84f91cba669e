//! Finds the queue that a request is sent to, and authorizes the request.

use std::sync::Arc;

use dotterelsill_admission::{
    bearer_token,
    hash_key,
    Team, //
};
use http::{
    header,
    HeaderMap,
    StatusCode, //
};

use crate::{
    outcome::Reason,
    plan::QueuePlan,
    snapshot::Snapshot, //
};

/// Path prefix of all queues; the queue's name follows.
const QUEUE_PREFIX: &str = "/q/";

/// Returns the queue that a path names.
pub(crate) fn queue_plan<'a>(snapshot: &'a Snapshot, path: &str) -> Result<&'a QueuePlan, Reason> {
    path.strip_prefix(QUEUE_PREFIX)
        .and_then(|rest| rest.split('/').next())
        .and_then(|name| snapshot.queues.get(name))
        .ok_or_else(|| {
            Reason::new(
                StatusCode::NOT_FOUND,
                format!("no queue at {path}; send work to {QUEUE_PREFIX}<queue>/"),
            )
        })
}

/// Returns the team that a request counts for: the one whose key it carries as a
/// bearer token, or on an open queue the pseudo-team of all callers.
pub(crate) fn authorize<'a>(
    snapshot: &'a Snapshot,
    plan: &QueuePlan,
    headers: &HeaderMap,
) -> Result<&'a Arc<Team>, Reason> {
    let team = if plan.queue.open {
        snapshot.open_team()
    } else {
        headers
            .get(header::AUTHORIZATION)
            .and_then(|value| bearer_token(value.to_str().ok()?))
            .and_then(|key| snapshot.team_of(&hash_key(key)))
    };
    team.ok_or_else(|| {
        Reason::new(
            StatusCode::UNAUTHORIZED,
            format!("queue {} needs a team's key in force", plan.queue.name),
        )
    })
}
