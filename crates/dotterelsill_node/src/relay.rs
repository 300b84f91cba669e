//! Store calls that fall back to a relay over peers.
//!
//! The store may reject some instances while it serves others. A call that the
//! store did not execute is relayed by a peer, so that a rejected instance can
//! continue to serve and, if it is the scheduler, to schedule.

mod messages;
mod operations;
mod serve;

use std::{
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
    RangeCall,
    RelayRequest,
    RelayResponse, //
};
use dotterelsill_rpc::{
    hedged,
    timeout,
    Attempt,
    Channel, //
};
use dotterelsill_store::{
    OperationError,
    Operations,
    Pending, //
};

pub(crate) use messages::{
    from_stored_item,
    to_stored_item, //
};
pub(crate) use operations::operations;
pub(crate) use serve::serve;

use messages::result_of;

use crate::{
    clock,
    keys,
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
        if let (Call::Range(range), Ok(response)) = (call, &result) {
            log_relayed_list(range, address, started_at, response);
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

/// Logs that a list of the jobs or of their progress was read over a peer. Without such
/// a line, a new scheduler has read it directly.
fn log_relayed_list(
    range: &RangeCall,
    peer: SocketAddr,
    started_at: Duration,
    response: &RelayResponse,
) {
    let prefix = range.prefix.as_str();
    if range.is_stale || ![keys::JOBS, keys::PROGRESS].contains(&prefix) {
        return;
    }
    let took_ms = clock::now().saturating_sub(started_at).as_millis() as u64;
    log::info!(
        subject = prefix, peer:%, items = response.items.len() as u64, revision = response.revision,
        took_ms;
        "list_read_over_peer"
    );
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
