//! Waits until a stored change of the configuration is in force on every
//! registered instance.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::peer;
use dotterelsill_revision::{
    ChangeConfirmation,
    ConfirmationStatus,
    Incarnation,
    Limits,
    Member,
    MemberState, //
};
use futures_util::future::join_all;

use crate::{
    ledgers,
    members,
    peers,
    shared::Shared, //
};

/// Maximum time that a call of the command line waits for a change to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(9);

/// Time between two rounds of queries to the instances.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two lists of the registered instances.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Waits until a stored change is in force, for at most [`WAIT_TIMEOUT`].
pub(crate) async fn wait(shared: &Shared, revision: u64, lowers_limit: bool) -> ConfirmationStatus {
    let stored_at = Instant::now();
    let mut confirmation =
        ChangeConfirmation::new(revision, stored_at, lowers_limit, Limits::default());
    let mut listed: Vec<peer::Member> = Vec::new();
    let mut list_at = stored_at;
    loop {
        if Instant::now() >= list_at {
            list_at = Instant::now() + LIST_INTERVAL;
            if let Some(members) = refresh_members(shared, &mut confirmation).await {
                listed = members;
            }
        }
        query_members(shared, &mut confirmation, &listed).await;
        if lowers_limit && are_credits_within_limits(shared).await {
            confirmation.on_credits_within_limits();
        }
        let status = confirmation.status(Instant::now());
        let is_over = stored_at.elapsed() >= WAIT_TIMEOUT;
        if is_over || matches!(status, ConfirmationStatus::InForce { .. }) {
            return status;
        }
        Timer::after(QUERY_INTERVAL).await;
    }
}

/// Returns whether the credits held of each team are within the limit in force
/// here.
async fn are_credits_within_limits(shared: &Shared) -> bool {
    let Ok(records) = ledgers::list(shared).await else {
        return false;
    };
    let snapshot = shared.snapshot.load_full();
    snapshot.limits.iter().all(|(team, limit)| {
        let ledger = records.get(team).and_then(|(_, ledger)| ledger.as_ref());
        // A record that does not exist yet has no credits in use.
        ledger.is_none_or(|ledger| ledger.limit_in_force() <= *limit)
    })
}

/// Reads the registered instances and their leases; `None` if a read fails.
async fn refresh_members(
    shared: &Shared,
    confirmation: &mut ChangeConfirmation,
) -> Option<Vec<peer::Member>> {
    let sent_at = Instant::now();
    let listed = members::list(shared).await.ok()?;
    let members: Vec<Member> = listed.iter().filter_map(decode_member).collect();
    let alive_sent_at = Instant::now();
    let alive = members::list_alive(shared).await.ok()?;
    // Both reads are sent after the change was stored, so neither is rejected as
    // too old.
    confirmation.on_members(sent_at, &members).ok()?;
    confirmation
        .on_leases(alive_sent_at, Instant::now(), &alive)
        .ok()?;
    Some(listed)
}

/// Queries every instance that has not confirmed the change yet.
async fn query_members(
    shared: &Shared,
    confirmation: &mut ChangeConfirmation,
    listed: &[peer::Member],
) {
    // This instance confirms without a network call.
    if let Some(instance) = shared.authority.update().as_ref() {
        let own = instance.relay(Instant::now());
        confirmation.on_member_response(own.incarnation, own.in_force);
    }
    let unconfirmed: Vec<String> = confirmation
        .members_to_query()
        .map(|member| member.incarnation.to_string())
        .collect();
    let queries = listed
        .iter()
        .filter(|member| unconfirmed.contains(&member.incarnation))
        .map(|member| peers::relay(shared, member, 0));
    for answer in join_all(queries).await.into_iter().flatten() {
        if let Some(answer) = peers::decode_relay(&answer) {
            confirmation.on_member_response(answer.incarnation, answer.in_force);
        }
    }
}

/// Converts a registered instance; `None` if its incarnation is malformed.
pub(crate) fn decode_member(member: &peer::Member) -> Option<Member> {
    let incarnation = u128::from_str_radix(&member.incarnation, 16).ok()?;
    let state = match member.state.as_str() {
        "fenced" => MemberState::Fenced,
        "leaving" => MemberState::Leaving,
        _ => MemberState::Live,
    };
    Some(Member {
        incarnation: Incarnation(incarnation),
        instance: Arc::from(member.instance.as_str()),
        isolation_limit: Duration::from_millis(member.isolation_limit_ms),
        state,
    })
}
