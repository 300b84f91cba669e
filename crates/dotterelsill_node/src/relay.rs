//! Calls of the store, over a peer where the store turns this instance away.
//!
//! The store may refuse some instances while it serves the others. A call that
//! it did not carry out is made by a peer instead, so that an instance which is
//! turned away goes on serving and, if it schedules, scheduling.

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
    reach::Reach, //
};

/// Time for which calls go over a peer at once after the store has turned this
/// instance away.
const AVOID_DIRECT: Duration = Duration::from_secs(1);

/// Time for which peers are not asked after none of them reached the store.
const AVOID_PEERS: Duration = Duration::from_millis(700);

/// Longest time that a peer takes for a call that does not wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Peers that are asked for one call.
const PEERS_ASKED: usize = 3;

/// Time beyond its own wait that a call is given on one way before it is made on
/// the next as well: many times what an answer takes within a region.
const HEDGE_DELAY: Duration = Duration::from_millis(200);

/// The store, called directly or over a peer.
pub(crate) struct Relayed {
    direct: Operations,
    peers: Arc<Peers>,
    reach: Arc<Reach>,
    metrics: Arc<Metrics>,
    /// Time until which calls go over a peer at once, in microseconds.
    avoid_until_us: AtomicU64,
    /// Time until which no peer is asked, since none reached the store.
    peers_fail_until_us: AtomicU64,
}

/// Returns operations that go over a peer where the store turns this instance
/// away.
pub(crate) fn operations(
    direct: Operations,
    peers: Arc<Peers>,
    reach: Arc<Reach>,
    metrics: Arc<Metrics>,
) -> Operations {
    let relayed = Arc::new(Relayed {
        direct,
        peers,
        reach,
        metrics,
        avoid_until_us: AtomicU64::new(0),
        peers_fail_until_us: AtomicU64::new(0),
    });
    let shared = || relayed.clone();
    let (get, range, watch, commit) = (shared(), shared(), shared(), shared());
    let (grant, keep, end) = (shared(), shared(), shared());
    Operations {
        get: Box::new(move |key| {
            let call = Call::Get(key.to_owned());
            let key = key.to_owned();
            let direct = get.clone();
            get.clone()
                .call(call, item_of, move || (direct.direct.get)(&key))
        }),
        range: Box::new(move |prefix, after, staleness| {
            let call = Call::Range(RangeCall {
                prefix: prefix.to_owned(),
                after: after.clone(),
                is_stale: staleness == Staleness::Stale,
            });
            let prefix = prefix.to_owned();
            let direct = range.clone();
            range.clone().call(call, page_of, move || {
                (direct.direct.range)(&prefix, after.clone(), staleness)
            })
        }),
        watch: Box::new(move |prefix, after, wait| {
            let call = Call::Watch(WatchCall {
                prefix: prefix.to_owned(),
                after,
                wait_ms: wait.as_millis() as u64,
            });
            let prefix = prefix.to_owned();
            let direct = watch.clone();
            watch.clone().call(call, watched_of, move || {
                (direct.direct.watch)(&prefix, after, wait)
            })
        }),
        commit: Box::new(move |transaction| {
            let call = Call::Commit(commit_call(&transaction));
            let direct = commit.clone();
            commit.clone().call(call, committed_of, move || {
                (direct.direct.commit)(transaction.clone())
            })
        }),
        grant_lease: Box::new(move |ttl| {
            let call = Call::GrantMs(ttl.as_millis() as u64);
            let direct = grant.clone();
            grant.clone().call(
                call,
                |response| response.lease,
                move || (direct.direct.grant_lease)(ttl),
            )
        }),
        renew_lease: Box::new(move |lease| {
            let direct = keep.clone();
            keep.clone().call(
                Call::Keep(lease),
                |_| (),
                move || (direct.direct.renew_lease)(lease),
            )
        }),
        end_lease: Box::new(move |lease| {
            let direct = end.clone();
            end.clone().call(
                Call::End(lease),
                |_| (),
                move || (direct.direct.end_lease)(lease),
            )
        }),
    }
}

impl Relayed {
    fn call<T: Send + 'static>(
        self: Arc<Self>,
        call: Call,
        decode: fn(RelayResponse) -> T,
        direct: impl Fn() -> Pending<T> + Send + Sync + 'static,
    ) -> Pending<T> {
        Box::pin(async move {
            let is_before =
                |at: &AtomicU64| clock::now().as_micros() < at.load(Ordering::Relaxed).into();
            let avoids = is_before(&self.avoid_until_us);
            let peers_fail = is_before(&self.peers_fail_until_us);
            if avoids && !peers_fail {
                if !changes_something(&call) {
                    return self.hedged(&call, decode, direct()).await;
                }
                match self.over_peers(&call).await {
                    Err(OperationError::NotDone { .. }) => {}
                    result => return result.map(decode),
                }
            }
            match self.directly(&call, direct()).await {
                Err(OperationError::NotDone { .. }) if !avoids && !peers_fail => {
                    self.over_peers(&call).await.map(decode)
                }
                result => result,
            }
        })
    }

    /// Makes a call over a peer, directly and over further peers, each when the ones
    /// before give no result for some time.
    async fn hedged<T: Send + 'static>(
        &self,
        call: &Call,
        decode: fn(RelayResponse) -> T,
        direct: Pending<T>,
    ) -> Result<T, OperationError> {
        let peers = self.peers.clients().into_iter().take(PEERS_ASKED);
        let over_peer = |(address, client)| -> Attempt<'_, _, _> {
            Box::pin(async move {
                let response = self.over_peer(address, client, call).await;
                conclusive(response.map(decode))
            })
        };
        let mut ways: Vec<Attempt<'_, _, _>> = peers.map(over_peer).collect();
        let directly = async { conclusive(self.directly(call, direct).await) };
        ways.insert(ways.len().min(1), Box::pin(directly));
        match hedged(ways, wait_of(call) + HEDGE_DELAY).await {
            Ok(result) => result,
            Err(error) => {
                self.peers_fail();
                Err(error)
            }
        }
    }

    /// Makes a call directly.
    async fn directly<T>(&self, call: &Call, direct: Pending<T>) -> Result<T, OperationError> {
        let begin = clock::now();
        let result = direct.await;
        self.count("direct", call, result.as_ref().err(), begin);
        if let Err(error) = &result {
            log_failed(call, "store", begin, error);
        }
        match &result {
            Err(OperationError::NotDone { .. } | OperationError::Unknown { .. }) => {
                // Later calls take the other way.
                self.set_until(&self.avoid_until_us, AVOID_DIRECT);
            }
            _ => self.reach.on_store(clock::now()),
        }
        result
    }

    fn count(&self, way: &str, call: &Call, error: Option<&OperationError>, begin: Duration) {
        let result = match error {
            None => "answered",
            Some(OperationError::NotDone { .. }) => "not_done",
            Some(OperationError::Unknown { .. }) => "unknown",
            Some(OperationError::HistoryDropped { .. }) => "history_dropped",
            Some(OperationError::LeaseEnded { .. }) => "lease_ended",
        };
        let took = clock::now().saturating_sub(begin);
        self.metrics.on_store_call(way, result, took, wait_of(call));
    }

    fn set_until(&self, until_us: &AtomicU64, time: Duration) {
        let until = clock::now() + time;
        until_us.store(until.as_micros() as u64, Ordering::Relaxed);
    }

    fn peers_fail(&self) {
        self.set_until(&self.peers_fail_until_us, AVOID_PEERS);
    }

    /// Has the peers make a call, one after the other until one has.
    async fn over_peers(&self, call: &Call) -> Result<RelayResponse, OperationError> {
        let mut last = OperationError::NotDone {
            reason: "no peer is known".to_owned(),
        };
        for (address, client) in self.peers.clients().into_iter().take(PEERS_ASKED) {
            match self.over_peer(address, client, call).await {
                Err(error @ OperationError::NotDone { .. }) => last = error,
                result => return result,
            }
        }
        self.peers_fail();
        Err(last)
    }

    /// Has a peer make a call.
    async fn over_peer(
        &self,
        address: SocketAddr,
        mut client: NodeClient<Channel>,
        call: &Call,
    ) -> Result<RelayResponse, OperationError> {
        let begin = clock::now();
        let request = RelayRequest {
            call: Some(call.clone()),
        };
        let answer = timeout(RELAY_TIMEOUT + wait_of(call), client.relay(request)).await;
        let result = match answer {
            Ok(Ok(response)) => result_of(call, response.into_inner()),
            Ok(Err(error)) => {
                let reason = error.message().to_owned();
                Err(unanswered(call, reason, is_unsent(&error)))
            }
            Err(error) => Err(unanswered(call, error.to_string(), false)),
        };
        self.count("peer", call, result.as_ref().err(), begin);
        match &result {
            Err(error @ (OperationError::NotDone { .. } | OperationError::Unknown { .. })) => {
                log_failed(call, &address.to_string(), begin, error);
            }
            _ => self.reach.on_store(clock::now()),
        }
        result
    }
}

/// Separates results that end a hedged call from failures after which another way
/// may give a result.
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

/// Returns why a call to a peer gave no result. A call that changes nothing may be
/// made again even if the peer has carried it out.
fn unanswered(call: &Call, reason: String, is_unsent: bool) -> OperationError {
    if changes_something(call) && !is_unsent {
        OperationError::Unknown { reason }
    } else {
        OperationError::NotDone { reason }
    }
}

/// Logs a call that failed on its way to the store or over a peer.
fn log_failed(call: &Call, way: &str, begin: Duration, error: &OperationError) {
    let took_ms = clock::now().saturating_sub(begin).as_millis() as u64;
    let wait_ms = wait_of(call).as_millis() as u64;
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

/// Returns how long a call is to wait at the store.
fn wait_of(call: &Call) -> Duration {
    match call {
        Call::Watch(watch) => Duration::from_millis(watch.wait_ms),
        _ => Duration::ZERO,
    }
}

/// Returns whether the call surely did not leave this instance.
fn is_unsent(error: &tonic::Status) -> bool {
    error.message().starts_with("connect to ")
}

fn changes_something(call: &Call) -> bool {
    matches!(call, Call::Commit(_) | Call::GrantMs(_))
}

/// Makes a call for a peer, directly.
pub(crate) async fn serve(direct: &Operations, call: Call) -> RelayResponse {
    match call {
        Call::Get(key) => {
            respond((direct.get)(&key), |item| RelayResponse {
                items: item.into_iter().map(stored).collect(),
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
                items: page.items.into_iter().map(stored).collect(),
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
                    items: current.into_iter().map(stored).collect(),
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

/// Returns the error of a response, if there is one.
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

/// Returns an item as it is sent to a peer.
pub(crate) fn stored(item: Item) -> StoredItem {
    StoredItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
        lease: 0,
    }
}

/// Returns an item as a peer has sent it.
pub(crate) fn item(stored: StoredItem) -> Item {
    Item {
        key: stored.key,
        value: stored.value,
        revision: stored.revision,
    }
}

fn item_of(response: RelayResponse) -> Option<Item> {
    response.items.into_iter().next().map(item)
}

fn page_of(response: RelayResponse) -> Page {
    Page {
        items: response.items.into_iter().map(item).collect(),
        has_more: response.has_more,
        revision: response.revision,
    }
}

fn watched_of(response: RelayResponse) -> WatchResult {
    let event = |entry: ChangeEntry| match entry.written {
        Some(written) => Event::Written(item(written)),
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
            written: Some(stored(item)),
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
            current: response.items.into_iter().map(item).collect(),
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
