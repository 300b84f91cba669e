//! Keeps the configuration and requests written by the operators up to date.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use arc_swap::ArcSwap;
use async_io::Timer;
use dotterelsill_freshness::Drift;
use dotterelsill_jobs::{
    ApplyBounds,
    Configuration,
    OperatorRequests,
    Validity, //
};
use dotterelsill_platform::{
    decode_operator_input,
    OPERATOR_PREFIX, //
};
use dotterelsill_proto::jobs::{
    EntriesRequest,
    EntriesResponse,
    EntriesSummary, //
};
use dotterelsill_rpc::timeout;
use dotterelsill_store::{
    Comparison,
    Item,
    OperationError,
    Operations,
    PrefixCache,
    Staleness,
    Summary, //
};
use futures_lite::FutureExt as _;

use crate::{
    clock,
    dependency::Dependency,
    peers::Peers,
    relay,
    signal::Signal, //
};

/// Longest wait of one watch call. A dead connection is detected when the watch has
/// no answer 0.7 s after this wait.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Interval between full listings, in case a watch missed a change.
const RELIST_INTERVAL: Duration = Duration::from_secs(3);

/// Minimum time between the starts of two attempts, so that calls that fail
/// immediately are not repeated without a pause.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for a peer to send its entries: enough for a megabyte over the slowest
/// link of an instance, 10 Mbit/s.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Decoded operator entries, as last known.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) requests: Arc<OperatorRequests>,
    /// Store revision of the configuration; 0 until the first one is known.
    pub(crate) revision: u64,
}

/// The current view and the entries that it is decoded from.
#[derive(Default)]
pub(crate) struct OperatorState {
    view: ArcSwap<View>,
    entries: Mutex<PrefixCache>,
    /// Whether the newest entries cannot be decoded, so that the view is older than
    /// the entries.
    is_unreadable: AtomicBool,
    /// Peer that has newer entries, until they are fetched.
    newer_peer: Mutex<Option<SocketAddr>>,
    newer_peer_found: Signal,
    /// Set to request a full listing from the store without delay.
    relist_wanted: Signal,
}

impl OperatorState {
    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the time since the entries were last known to be current.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        self.entries().age(now).unwrap_or(Duration::MAX)
    }

    /// Returns which decisions a view of the given age still permits. If the newest
    /// entries cannot be decoded, the view is not current and justifies no refusal.
    pub(crate) fn validity(&self, bounds: &ApplyBounds, age: Duration, has_key: bool) -> Validity {
        match bounds.validity(age, has_key) {
            Validity::Current if self.is_unreadable.load(Ordering::Relaxed) => {
                Validity::Unconfirmed
            }
            validity => validity,
        }
    }

    fn entries(&self) -> MutexGuard<'_, PrefixCache> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the summary of the entries that is sent with each ping.
    pub(crate) fn summary(&self) -> EntriesSummary {
        let Summary {
            revision,
            newest,
            items,
        } = self.entries().summary();
        EntriesSummary {
            revision,
            newest,
            count: items,
        }
    }

    /// Returns the age of the entries for peers, in microseconds and rounded up; 0 if
    /// the entries have not been read yet.
    pub(crate) fn age_us(&self, now: Duration) -> u64 {
        let age = self.entries().age(now);
        age.map_or(0, |age| age.as_micros() as u64 + 1)
    }

    /// Returns all entries, as sent to a peer that fetches them.
    pub(crate) fn response(&self) -> EntriesResponse {
        let entries = self.entries();
        EntriesResponse {
            revision: entries.revision(),
            entries: entries
                .items()
                .cloned()
                .map(relay::to_stored_item)
                .collect(),
        }
    }

    /// Compares the entries with the summary of a peer, from its ping or from its
    /// response to one. For a response, `proof` holds the time at which the ping was
    /// sent and the age of the peer's entries in microseconds.
    pub(crate) fn on_summary(
        &self,
        peer: SocketAddr,
        peer_summary: &EntriesSummary,
        proof: Option<(Duration, u64)>,
    ) {
        let peer_summary = Summary {
            revision: peer_summary.revision,
            newest: peer_summary.newest,
            items: peer_summary.count,
        };
        let comparison = self.entries().compare(&peer_summary);
        match comparison {
            Comparison::Same => {
                let current_at = proof.and_then(|(asked_at, age_us)| current_at(asked_at, age_us));
                if let Some(current_at) = current_at {
                    self.entries().on_same_summary(&peer_summary, current_at);
                }
            }
            Comparison::PeerIsNewer => {
                *self
                    .newer_peer
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = Some(peer);
                self.newer_peer_found.set();
            }
            Comparison::Unclear => {
                log::info!(peer:%, newest = peer_summary.newest; "peer_knows_other_entries");
                self.relist_wanted.set();
            }
            Comparison::Older => {}
        }
    }

    /// Rebuilds the view from the entries; an older configuration does not replace the
    /// current one. `source` names the call that delivered the entries. The caller
    /// holds the lock of the entries, so that a view of older entries cannot be stored
    /// after this one.
    fn rebuild_view(&self, entries: &PrefixCache, known_age: Duration, source: &str) {
        let items: Vec<Item> = entries.items().cloned().collect();
        let decoded = decode_operator_input(&items);
        self.is_unreadable
            .store(decoded.is_err(), Ordering::Relaxed);
        let operators = match decoded {
            Ok(operators) => operators,
            Err(error) => {
                log::error!(error:%; "configuration_unreadable");
                return;
            }
        };
        let old = self.view.load_full();
        let mut view = View {
            configuration: old.configuration.clone(),
            requests: old.requests.clone(),
            revision: old.revision,
        };
        if let Some((configuration, revision)) = operators.configuration {
            if revision > old.revision {
                let known_age_ms = known_age.as_millis() as u64;
                log::info!(
                    version = configuration.version, revision,
                    queues = configuration.queues.len() as u64, source, known_age_ms;
                    "configuration_adopted"
                );
                view.configuration = Arc::new(configuration);
                view.revision = revision;
            }
        }
        if *view.requests != operators.requests {
            log::info!(
                out:? = operators.requests.excluded_data_centres,
                waves = operators.requests.waves.len() as u64, source; "requests_adopted"
            );
            view.requests = Arc::new(operators.requests);
        }
        self.view.store(Arc::new(view));
    }

    /// Updates the entries, and rebuilds the view if an item changed.
    fn update(&self, source: &str, update: impl FnOnce(&mut PrefixCache) -> bool) {
        let mut entries = self.entries();
        let known_age = entries.age(clock::now()).unwrap_or_default();
        if update(&mut entries) {
            self.rebuild_view(&entries, known_age, source);
        }
    }
}

/// Returns the time at which a peer's entries were known to be current, allowing
/// for clock drift; `None` if the peer has not read them.
fn current_at(asked_at: Duration, age_us: u64) -> Option<Duration> {
    if age_us == 0 {
        return None;
    }
    let age = Drift::default().checked_widen(Duration::from_micros(age_us))?;
    asked_at.checked_sub(age)
}

/// Keeps the operator entries up to date until the program stops.
pub(crate) async fn sync(store: Arc<Operations>, operators: Arc<OperatorState>) {
    let dependency = Dependency::new("operators");
    loop {
        let started_at = clock::now();
        if let Err(error) = list_and_watch(&store, &operators).await {
            dependency.on_error(&error);
            let took = clock::now().saturating_sub(started_at);
            Timer::after(RETRY_INTERVAL.saturating_sub(took)).await;
        } else {
            dependency.on_answer();
        }
    }
}

/// Lists all entries, then watches for changes until the next full listing is due
/// or requested.
async fn list_and_watch(
    store: &Operations,
    operators: &OperatorState,
) -> Result<(), OperationError> {
    let sent_at = clock::now();
    let (list, revision) = store.list(OPERATOR_PREFIX, Staleness::Current).await?;
    operators.update("list", |entries| entries.on_list(list, revision, sent_at));
    let listed_at = clock::now();
    let watching = async {
        while clock::now() < listed_at + RELIST_INTERVAL {
            watch(store, operators).await?;
        }
        Ok(())
    };
    let relist_wanted = async {
        operators.relist_wanted.wait().await;
        Ok(())
    };
    match watching.or(relist_wanted).await {
        // The next full listing includes the missed changes.
        Err(OperationError::HistoryDropped { .. }) => Ok(()),
        result => result,
    }
}

async fn watch(store: &Operations, operators: &OperatorState) -> Result<(), OperationError> {
    let sent_at = clock::now();
    let after = operators.entries().revision();
    let watched = (store.watch)(OPERATOR_PREFIX, after, WATCH_WAIT).await?;
    let current_at = match watched.events.is_empty() {
        true => unchanged_at(sent_at, clock::now()),
        false => sent_at,
    };
    operators.update("watch", |entries| {
        entries.on_watch(after, watched, current_at)
    });
    Ok(())
}

/// Returns the latest time at which the entries are known to be unchanged, after a
/// watch without changes. The store sends such an answer when the wait is over.
fn unchanged_at(sent_at: Duration, answered_at: Duration) -> Duration {
    let waited_until = sent_at + WATCH_WAIT;
    if answered_at < waited_until {
        sent_at
    } else {
        waited_until
    }
}

/// Fetches entries from peers that have newer ones, until the program stops.
pub(crate) async fn fetch_from_peers(peers: Arc<Peers>, operators: Arc<OperatorState>) {
    loop {
        operators.newer_peer_found.wait().await;
        let newer_peer = operators
            .newer_peer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(peer) = newer_peer else {
            continue;
        };
        let started_at = clock::now();
        let mut client = peers.client_of(peer);
        let error = match timeout(ENTRIES_TIMEOUT, client.entries(EntriesRequest {})).await {
            Ok(Ok(response)) => {
                let EntriesResponse { revision, entries } = response.into_inner();
                let items = entries.into_iter().map(relay::from_stored_item).collect();
                operators.update("peer", |entries| entries.on_peer_items(items, revision));
                continue;
            }
            Ok(Err(error)) => error.message().to_owned(),
            Err(error) => error.to_string(),
        };
        let took_ms = clock::now().saturating_sub(started_at).as_millis() as u64;
        log::info!(peer:%, took_ms, error; "entries_not_sent_by_peer");
    }
}
