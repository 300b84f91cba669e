//! Store calls that fall back to a relay over peers.
//!
//! The store may reject some instances while it serves others. A call that the
//! store did not execute is relayed by a peer, so that a rejected instance can
//! continue to serve and, if it is the scheduler, to schedule.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    node_client::NodeClient,
    relay_request::Call,
    ChangeEntry,
    CommitCall,
    RangeCall,
    RelayError,
    RelayRequest,
    RelayResponse,
    StoredItem,
    WatchCall, //
};
use dotterelsill_rpc::{
    hedged,
    timeout,
    Attempt,
    Channel, //
};
use dotterelsill_store::{
    CommitOutcome,
    Event,
    Item,
    OperationError,
    Operations,
    Page,
    Pending,
    Staleness,
    Transaction,
    WatchResult,
    Write, //
};

use crate::{
    clock,
    metrics::Metrics,
    peers::Peers,
    reach::Reachability, //
};

/// Time for which calls go to a peer first after a direct call to the store failed.
const DIRECT_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which peers are not used after none of them reached the store.
const PEER_BACKOFF: Duration = Duration::from_millis(700);

/// Timeout for a relayed call, not counting the requested wait of a watch.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of peers that are tried for one call.
const MAX_RELAY_PEERS: usize = 3;

/// Time, beyond the requested wait of a watch, after which an unanswered call is
/// also sent over the next route: many times the latency within a region.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// The store, reached directly or over a peer.
pub(crate) struct RelayedStore {
    direct: Operations,
    peers: Arc<Peers>,
    reachability: Arc<Reachability>,
    metrics: Arc<Metrics>,
    /// Time until which calls go to a peer first, in microseconds since boot.
    avoid_direct_until_us: AtomicU64,
    /// Time until which no peer is used because none reached the store, in
    /// microseconds since boot.
    avoid_peers_until_us: AtomicU64,
}

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

impl RelayedStore {
    fn call<T: Send + 'static>(
        self: Arc<Self>,
        call: Call,
        decode: fn(RelayResponse) -> T,
        direct: impl Fn() -> Pending<T> + Send + Sync + 'static,
    ) -> Pending<T> {
        Box::pin(async move {
            let is_in_future =
                |at: &AtomicU64| clock::now().as_micros() < at.load(Ordering::Relaxed).into();
            let avoids_direct = is_in_future(&self.avoid_direct_until_us);
            let avoids_peers = is_in_future(&self.avoid_peers_until_us);
            if avoids_direct && !avoids_peers {
                if !is_unrepeatable(&call) {
                    return self.hedged(&call, decode, direct()).await;
                }
                match self.call_via_peers(&call).await {
                    Err(OperationError::NotDone { .. }) => {}
                    result => return result.map(decode),
                }
            }
            match self.call_directly(&call, direct()).await {
                Err(OperationError::NotDone { .. }) if !avoids_direct && !avoids_peers => {
                    self.call_via_peers(&call).await.map(decode)
                }
                result => result,
            }
        })
    }

    /// Makes a call over a peer, then directly, then over further peers. Each route is
    /// tried when the previous ones have failed or given no result for some time.
    async fn hedged<T: Send + 'static>(
        &self,
        call: &Call,
        decode: fn(RelayResponse) -> T,
        direct: Pending<T>,
    ) -> Result<T, OperationError> {
        let peers = self.peers.clients().into_iter().take(MAX_RELAY_PEERS);
        let call_via_peer = |(address, client)| -> Attempt<'_, _, _> {
            Box::pin(async move {
                let response = self.call_via_peer(address, client, call).await;
                conclusive(response.map(decode))
            })
        };
        let mut attempts: Vec<Attempt<'_, _, _>> = peers.map(call_via_peer).collect();
        let direct_call = async { conclusive(self.call_directly(call, direct).await) };
        attempts.insert(attempts.len().min(1), Box::pin(direct_call));
        match hedged(attempts, watch_wait(call) + HEDGE_DELAY).await {
            Ok(result) => result,
            Err(error) => {
                self.back_off_peers();
                Err(error)
            }
        }
    }

    /// Makes a call directly to the store, and records the result.
    async fn call_directly<T>(&self, call: &Call, direct: Pending<T>) -> Result<T, OperationError> {
        let started_at = clock::now();
        let result = direct.await;
        self.count("direct", call, result.as_ref().err(), started_at);
        if let Err(error) = &result {
            log_failed(call, "store", started_at, error);
        }
        match &result {
            Err(OperationError::NotDone { .. } | OperationError::Unknown { .. }) => {
                // Later calls go to a peer first.
                self.set_until(&self.avoid_direct_until_us, DIRECT_BACKOFF);
            }
            _ => self.reachability.on_store(clock::now()),
        }
        result
    }

    fn count(
        &self,
        route: &str,
        call: &Call,
        error: Option<&OperationError>,
        started_at: Duration,
    ) {
        let result = match error {
            None => "answered",
            Some(OperationError::NotDone { .. }) => "not_done",
            Some(OperationError::Unknown { .. }) => "unknown",
            Some(OperationError::HistoryDropped { .. }) => "history_dropped",
            Some(OperationError::LeaseEnded { .. }) => "lease_ended",
        };
        let took = clock::now().saturating_sub(started_at);
        self.metrics
            .on_store_call(route, result, took, watch_wait(call));
    }

    fn set_until(&self, until_us: &AtomicU64, time: Duration) {
        let until = clock::now() + time;
        until_us.store(until.as_micros() as u64, Ordering::Relaxed);
    }

    fn back_off_peers(&self) {
        self.set_until(&self.avoid_peers_until_us, PEER_BACKOFF);
    }

    /// Relays a call over the peers, one after the other until one executes it.
    async fn call_via_peers(&self, call: &Call) -> Result<RelayResponse, OperationError> {
        let mut last = OperationError::NotDone {
            reason: "no peer is known".to_owned(),
        };
        for (address, client) in self.peers.clients().into_iter().take(MAX_RELAY_PEERS) {
            match self.call_via_peer(address, client, call).await {
                Err(error @ OperationError::NotDone { .. }) => last = error,
                result => return result,
            }
        }
        self.back_off_peers();
        Err(last)
    }

    /// Relays a call over one peer, and records the result.
    async fn call_via_peer(
        &self,
        address: SocketAddr,
        mut client: NodeClient<Channel>,
        call: &Call,
    ) -> Result<RelayResponse, OperationError> {
        let started_at = clock::now();
        let request = RelayRequest {
            call: Some(call.clone()),
        };
        let answer = timeout(RELAY_TIMEOUT + watch_wait(call), client.relay(request)).await;
        let result = match answer {
            Ok(Ok(response)) => result_of(call, response.into_inner()),
            Ok(Err(error)) => {
                let reason = error.message().to_owned();
                Err(no_answer_error(call, reason, is_unsent(&error)))
            }
            Err(error) => Err(no_answer_error(call, error.to_string(), false)),
        };
        self.count("peer", call, result.as_ref().err(), started_at);
        match &result {
            Err(error @ (OperationError::NotDone { .. } | OperationError::Unknown { .. })) => {
                log_failed(call, &address.to_string(), started_at, error);
            }
            _ => self.reachability.on_store(clock::now()),
        }
        result
    }
}

/// Separates results that end a hedged call (the outer `Ok`) from failures after
/// which another route may still give a result.
fn conclusive<T>(
    result: Result<T, OperationError>,
) -> Result<Result<T, OperationError>, OperationError> {
    match result {
        Err(error @ (OperationError::NotDone { .. } | OperationError::Unknown { .. })) => {
            Err(error)
        }
        result => Ok(result),
    }
}

/// Returns the error for a relayed call without an answer. A repeatable call counts as
/// not done, since it may be made again even if the peer executed it.
fn no_answer_error(call: &Call, reason: String, is_unsent: bool) -> OperationError {
    if is_unrepeatable(call) && !is_unsent {
        OperationError::Unknown { reason }
    } else {
        OperationError::NotDone { reason }
    }
}

/// Logs a call that failed directly (`way` is `store`) or over a peer (`way` is its
/// address).
fn log_failed(call: &Call, way: &str, started_at: Duration, error: &OperationError) {
    let took_ms = clock::now().saturating_sub(started_at).as_millis() as u64;
    let wait_ms = watch_wait(call).as_millis() as u64;
    let (call, subject) = match call {
        Call::Get(key) => ("get", key.as_str()),
        Call::Range(range) => ("list", range.prefix.as_str()),
        Call::Watch(watch) => ("watch", watch.prefix.as_str()),
        Call::Commit(_) => ("commit", ""),
        Call::GrantMs(_) => ("grant", ""),
        Call::Keep(_) => ("keep", ""),
        Call::End(_) => ("end", ""),
    };
    log::info!(call, subject, way, took_ms, wait_ms, error:%; "store_call_failed");
}

/// Returns the requested wait of a watch; zero for other calls.
fn watch_wait(call: &Call) -> Duration {
    match call {
        Call::Watch(watch) => Duration::from_millis(watch.wait_ms),
        _ => Duration::ZERO,
    }
}

/// Returns whether the call certainly did not leave this instance.
fn is_unsent(error: &tonic::Status) -> bool {
    error.message().starts_with("connect to ")
}

/// Returns whether executing the call twice may differ from executing it once.
fn is_unrepeatable(call: &Call) -> bool {
    matches!(call, Call::Commit(_) | Call::GrantMs(_))
}

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

/// Converts a response with an error into `Err`.
fn result_of(call: &Call, response: RelayResponse) -> Result<RelayResponse, OperationError> {
    let reason = response.reason.clone();
    match response.error() {
        RelayError::None => Ok(response),
        RelayError::NotDone => Err(OperationError::NotDone { reason }),
        RelayError::Unknown => Err(OperationError::Unknown { reason }),
        RelayError::HistoryDropped => {
            let after = match call {
                Call::Watch(watch) => watch.after,
                _ => 0,
            };
            Err(OperationError::HistoryDropped { after })
        }
        RelayError::LeaseEnded => {
            let lease = match call {
                Call::Keep(lease) | Call::End(lease) => *lease,
                _ => 0,
            };
            Err(OperationError::LeaseEnded { lease })
        }
    }
}

/// Encodes an item for a peer.
pub(crate) fn to_stored_item(item: Item) -> StoredItem {
    StoredItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
        lease: 0,
    }
}

/// Decodes an item received from a peer.
pub(crate) fn from_stored_item(stored: StoredItem) -> Item {
    Item {
        key: stored.key,
        value: stored.value,
        revision: stored.revision,
    }
}

fn item_of(response: RelayResponse) -> Option<Item> {
    response.items.into_iter().next().map(from_stored_item)
}

fn page_of(response: RelayResponse) -> Page {
    Page {
        items: response.items.into_iter().map(from_stored_item).collect(),
        has_more: response.has_more,
        revision: response.revision,
    }
}

fn watched_of(response: RelayResponse) -> WatchResult {
    let event = |entry: ChangeEntry| match entry.written {
        Some(written) => Event::Written(from_stored_item(written)),
        None => Event::Removed {
            key: entry.removed_key,
        },
    };
    WatchResult {
        events: response.changes.into_iter().map(event).collect(),
        revision: response.revision,
    }
}

fn change_entry(event: Event) -> ChangeEntry {
    match event {
        Event::Written(item) => ChangeEntry {
            written: Some(to_stored_item(item)),
            removed_key: String::new(),
        },
        Event::Removed { key } => ChangeEntry {
            written: None,
            removed_key: key,
        },
    }
}

fn committed_of(response: RelayResponse) -> CommitOutcome {
    if response.is_conflict {
        CommitOutcome::Conflict {
            current: response.items.into_iter().map(from_stored_item).collect(),
        }
    } else {
        CommitOutcome::Done {
            revision: response.revision,
        }
    }
}

fn commit_call(transaction: &Transaction) -> CommitCall {
    let expected = |(key, revision): &(String, u64)| StoredItem {
        key: key.clone(),
        revision: *revision,
        ..StoredItem::default()
    };
    let write = |write: &Write| StoredItem {
        key: write.key.clone(),
        value: write.value.clone(),
        lease: write.lease,
        ..StoredItem::default()
    };
    CommitCall {
        expected: transaction.expected.iter().map(expected).collect(),
        writes: transaction.writes.iter().map(write).collect(),
        removes: transaction.removes.clone(),
    }
}

fn transaction_of(call: CommitCall) -> Transaction {
    Transaction {
        expected: call
            .expected
            .into_iter()
            .map(|expected| (expected.key, expected.revision))
            .collect(),
        writes: call
            .writes
            .into_iter()
            .map(|write| Write {
                key: write.key,
                value: write.value,
                lease: write.lease,
            })
            .collect(),
        removes: call.removes,
    }
}
