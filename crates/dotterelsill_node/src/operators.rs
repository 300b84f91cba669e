//! Follows what the operators write.

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
    decode_operators,
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

/// Time for which one watch waits. A connection that went silent is found when the
/// watch has no answer 0.7 s after that.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time after which everything is read again, should a watch have missed a
/// change.
const READ_AGAIN: Duration = Duration::from_secs(3);

/// Least time between the beginnings of two tries: calls that fail at once are not
/// repeated without a pause.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a peer takes to send its entries: a megabyte over the slowest
/// link of an instance, 10 Mbit/s.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// What the operators have written, as known last.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) requests: Arc<OperatorRequests>,
    /// Revision of the configuration; 0 before the first is known.
    pub(crate) revision: u64,
}

/// The current view, and the entries that it was made of.
#[derive(Default)]
pub(crate) struct Operators {
    view: ArcSwap<View>,
    entries: Mutex<PrefixCache>,
    /// Whether the newest entries cannot be read, so that the view is an older one.
    is_unreadable: AtomicBool,
    /// Peer that knows more than this instance, until it is asked.
    offer: Mutex<Option<SocketAddr>>,
    offered: Signal,
    /// Set when the entries are to be read from the store at once.
    read_wanted: Signal,
}

impl Operators {
    /// Returns the view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the time since the view was last known to be current.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        self.entries().age(now).unwrap_or(Duration::MAX)
    }

    /// Returns what a view of some age still decides. One that is older than entries
    /// that cannot be read decides no refusal.
    pub(crate) fn validity(&self, bounds: &ApplyBounds, age: Duration) -> Validity {
        match bounds.validity(age) {
            Validity::Current if self.is_unreadable.load(Ordering::Relaxed) => {
                Validity::Unconfirmed
            }
            validity => validity,
        }
    }

    fn entries(&self) -> MutexGuard<'_, PrefixCache> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what peers are told with each ping.
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

    /// Returns the age that peers are told, in microseconds and rounded up; 0 before
    /// the entries were read.
    pub(crate) fn age_us(&self, now: Duration) -> u64 {
        let age = self.entries().age(now);
        age.map_or(0, |age| age.as_micros() as u64 + 1)
    }

    /// Returns the entries for a peer.
    pub(crate) fn response(&self) -> EntriesResponse {
        let entries = self.entries();
        EntriesResponse {
            revision: entries.revision(),
            entries: entries.items().cloned().map(relay::stored).collect(),
        }
    }

    /// Takes what a peer tells that asks, or answers a ping sent at `asked_at`.
    pub(crate) fn on_summary(
        &self,
        peer: SocketAddr,
        told: &EntriesSummary,
        proof: Option<(Duration, u64)>,
    ) {
        let told = Summary {
            revision: told.revision,
            newest: told.newest,
            items: told.count,
        };
        let comparison = self.entries().compare(&told);
        match comparison {
            Comparison::Same => {
                let current_at = proof.and_then(|(asked_at, age_us)| current_at(asked_at, age_us));
                if let Some(current_at) = current_at {
                    self.entries().on_same_summary(&told, current_at);
                }
            }
            Comparison::PeerIsNewer => {
                *self.offer.lock().unwrap_or_else(PoisonError::into_inner) = Some(peer);
                self.offered.set();
            }
            Comparison::Unclear => {
                log::info!(peer:%, newest = told.newest; "peer_knows_other_entries");
                self.read_wanted.set();
            }
            Comparison::Older => {}
        }
    }

    /// Adopts the entries, unless they hold an older configuration; `source` names
    /// the call that showed them. The caller holds the entries' lock, so that no view
    /// of older ones is stored after this one.
    fn adopt(&self, entries: &PrefixCache, known_age: Duration, source: &str) {
        let items: Vec<Item> = entries.items().cloned().collect();
        let decoded = decode_operators(&items);
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

    /// Changes the entries, and adopts them if that changed an item.
    fn change(&self, source: &str, change: impl FnOnce(&mut PrefixCache) -> bool) {
        let mut entries = self.entries();
        let known_age = entries.age(clock::now()).unwrap_or_default();
        if change(&mut entries) {
            self.adopt(&entries, known_age, source);
        }
    }
}

/// Returns the instant at which a peer's entries were current.
fn current_at(asked_at: Duration, age_us: u64) -> Option<Duration> {
    if age_us == 0 {
        return None;
    }
    let age = Drift::default().checked_widen(Duration::from_micros(age_us))?;
    asked_at.checked_sub(age)
}

/// Follows the operators until the program stops.
pub(crate) async fn follow(store: Arc<Operations>, operators: Arc<Operators>) {
    let dependency = Dependency::new("operators");
    loop {
        let begin = clock::now();
        if let Err(error) = follow_from_list(&store, &operators).await {
            dependency.on_error(&error);
            let took = clock::now().saturating_sub(begin);
            Timer::after(RETRY_INTERVAL.saturating_sub(took)).await;
        } else {
            dependency.on_answer();
        }
    }
}

/// Reads everything, then follows the changes for some time, or until everything is
/// to be read again.
async fn follow_from_list(store: &Operations, operators: &Operators) -> Result<(), OperationError> {
    let sent_at = clock::now();
    let (list, revision) = store.list(OPERATOR_PREFIX, Staleness::Current).await?;
    operators.change("list", |entries| entries.on_list(list, revision, sent_at));
    let read_at = clock::now();
    let watching = async {
        while clock::now() < read_at + READ_AGAIN {
            watch(store, operators).await?;
        }
        Ok(())
    };
    let read_wanted = async {
        operators.read_wanted.wait().await;
        Ok(())
    };
    match watching.or(read_wanted).await {
        // The list that is read next shows what was missed.
        Err(OperationError::HistoryDropped { .. }) => Ok(()),
        result => result,
    }
}

async fn watch(store: &Operations, operators: &Operators) -> Result<(), OperationError> {
    let sent_at = clock::now();
    let after = operators.entries().revision();
    let watched = (store.watch)(OPERATOR_PREFIX, after, WATCH_WAIT).await?;
    let current_at = match watched.events.is_empty() {
        true => unchanged_at(sent_at, clock::now()),
        false => sent_at,
    };
    operators.change("watch", |entries| {
        entries.on_watch(after, watched, current_at)
    });
    Ok(())
}

/// Returns the instant at which nothing had changed, for a watch that was answered
/// without changes: the store answers so when the wait is over.
fn unchanged_at(sent_at: Duration, answered_at: Duration) -> Duration {
    let waited_until = sent_at + WATCH_WAIT;
    if answered_at < waited_until {
        sent_at
    } else {
        waited_until
    }
}

/// Asks peers for entries that they know and this instance does not, until the
/// program stops.
pub(crate) async fn ask_peers(peers: Arc<Peers>, operators: Arc<Operators>) {
    loop {
        operators.offered.wait().await;
        let offer = operators
            .offer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(peer) = offer else {
            continue;
        };
        let begin = clock::now();
        let mut client = peers.client_of(peer);
        let error = match timeout(ENTRIES_TIMEOUT, client.entries(EntriesRequest {})).await {
            Ok(Ok(response)) => {
                let EntriesResponse { revision, entries } = response.into_inner();
                let items = entries.into_iter().map(relay::item).collect();
                operators.change("peer", |entries| entries.on_peer_items(items, revision));
                continue;
            }
            Ok(Err(error)) => error.message().to_owned(),
            Err(error) => error.to_string(),
        };
        let took_ms = clock::now().saturating_sub(begin).as_millis() as u64;
        log::info!(peer:%, took_ms, error; "entries_not_sent_by_peer");
    }
}
