//! The operations of a store whose calls fall back to a peer.

use std::sync::{
    atomic::AtomicU64,
    Arc, //
};

use dotterelsill_proto::jobs::{
    relay_request::Call,
    RangeCall,
    WatchCall, //
};
use dotterelsill_store::{
    Operations,
    Staleness, //
};

use super::{
    messages::{
        commit_call,
        committed_of,
        item_of,
        page_of,
        watched_of, //
    },
    RelayedStore, //
};
use crate::{
    metrics::Metrics,
    peers::Peers,
    reach::Reachability, //
};

/// Returns store operations that fall back to a peer if the direct call is not
/// executed.
pub(crate) fn operations(
    direct: Operations,
    peers: Arc<Peers>,
    reachability: Arc<Reachability>,
    metrics: Arc<Metrics>,
) -> Operations {
    let relayed = Arc::new(RelayedStore {
        direct,
        peers,
        reachability,
        metrics,
        avoid_direct_until_us: AtomicU64::new(0),
        avoid_peers_until_us: AtomicU64::new(0),
    });
    let shared = || relayed.clone();
    let (get, range, watch, commit) = (shared(), shared(), shared(), shared());
    let (grant, keep, end) = (shared(), shared(), shared());
    Operations {
        get: Box::new(move |key| {
            let call = Call::Get(key.to_owned());
            let key = key.to_owned();
            let store = get.clone();
            get.clone()
                .call(call, item_of, move || (store.direct.get)(&key))
        }),
        range: Box::new(move |prefix, after, staleness| {
            let call = Call::Range(RangeCall {
                prefix: prefix.to_owned(),
                after: after.clone(),
                is_stale: staleness == Staleness::Stale,
            });
            let prefix = prefix.to_owned();
            let store = range.clone();
            range.clone().call(call, page_of, move || {
                (store.direct.range)(&prefix, after.clone(), staleness)
            })
        }),
        watch: Box::new(move |prefix, after, wait| {
            let call = Call::Watch(WatchCall {
                prefix: prefix.to_owned(),
                after,
                wait_ms: wait.as_millis() as u64,
            });
            let prefix = prefix.to_owned();
            let store = watch.clone();
            watch.clone().call(call, watched_of, move || {
                (store.direct.watch)(&prefix, after, wait)
            })
        }),
        commit: Box::new(move |transaction| {
            let call = Call::Commit(commit_call(&transaction));
            let store = commit.clone();
            commit.clone().call(call, committed_of, move || {
                (store.direct.commit)(transaction.clone())
            })
        }),
        grant_lease: Box::new(move |ttl| {
            let call = Call::GrantMs(ttl.as_millis() as u64);
            let store = grant.clone();
            grant.clone().call(
                call,
                |response| response.lease,
                move || (store.direct.grant_lease)(ttl),
            )
        }),
        renew_lease: Box::new(move |lease| {
            let store = keep.clone();
            keep.clone().call(
                Call::Keep(lease),
                |_| (),
                move || (store.direct.renew_lease)(lease),
            )
        }),
        end_lease: Box::new(move |lease| {
            let store = end.clone();
            end.clone().call(
                Call::End(lease),
                |_| (),
                move || (store.direct.end_lease)(lease),
            )
        }),
    }
}
