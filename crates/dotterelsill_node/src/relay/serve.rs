//! The peer's side of a relayed call.

use std::{
    future::Future,
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    relay_request::Call,
    RelayError,
    RelayResponse, //
};
use dotterelsill_store::{
    CommitOutcome,
    OperationError,
    Operations,
    Staleness, //
};

use super::messages::{
    change_entry,
    to_stored_item,
    transaction_of, //
};

/// Executes a relayed call for a peer, directly on the store.
pub(crate) async fn serve(direct: &Operations, call: Call) -> RelayResponse {
    match call {
        Call::Get(key) => {
            respond((direct.get)(&key), |item| RelayResponse {
                items: item.into_iter().map(to_stored_item).collect(),
                ..RelayResponse::default()
            })
            .await
        }
        Call::Range(range) => {
            let staleness = if range.is_stale {
                Staleness::Stale
            } else {
                Staleness::Current
            };
            let page = (direct.range)(&range.prefix, range.after, staleness);
            respond(page, |page| RelayResponse {
                items: page.items.into_iter().map(to_stored_item).collect(),
                has_more: page.has_more,
                last_key: page.last_key.unwrap_or_default(),
                revision: page.revision,
                ..RelayResponse::default()
            })
            .await
        }
        Call::Watch(watch) => {
            let wait = Duration::from_millis(watch.wait_ms);
            let watched = (direct.watch)(&watch.prefix, watch.after, wait);
            respond(watched, |watched| RelayResponse {
                changes: watched.events.into_iter().map(change_entry).collect(),
                revision: watched.revision,
                ..RelayResponse::default()
            })
            .await
        }
        Call::Commit(commit) => {
            let committed = (direct.commit)(transaction_of(commit));
            respond(committed, |committed| match committed {
                CommitOutcome::Done { revision } => RelayResponse {
                    revision,
                    ..RelayResponse::default()
                },
                CommitOutcome::Conflict { current } => RelayResponse {
                    is_conflict: true,
                    items: current.into_iter().map(to_stored_item).collect(),
                    ..RelayResponse::default()
                },
            })
            .await
        }
        Call::GrantMs(ms) => {
            let lease = (direct.grant_lease)(Duration::from_millis(ms));
            respond(lease, |lease| RelayResponse {
                lease,
                ..RelayResponse::default()
            })
            .await
        }
        Call::Keep(lease) => {
            respond((direct.renew_lease)(lease), |()| RelayResponse::default()).await
        }
        Call::End(lease) => respond((direct.end_lease)(lease), |()| RelayResponse::default()).await,
    }
}

async fn respond<T>(
    result: impl Future<Output = Result<T, OperationError>>,
    encode: impl FnOnce(T) -> RelayResponse,
) -> RelayResponse {
    let (error, reason) = match result.await {
        Ok(value) => return encode(value),
        Err(OperationError::NotDone { reason }) => (RelayError::NotDone, reason),
        Err(OperationError::Unknown { reason }) => (RelayError::Unknown, reason),
        Err(OperationError::HistoryDropped { .. }) => (RelayError::HistoryDropped, String::new()),
        Err(OperationError::LeaseEnded { .. }) => (RelayError::LeaseEnded, String::new()),
    };
    RelayResponse {
        error: error.into(),
        reason,
        ..RelayResponse::default()
    }
}
