//! Follows what the operators write.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use arc_swap::ArcSwap;
use async_io::Timer;
use dotterelsill_jobs::{
    Catalogue,
    Requests, //
};
use dotterelsill_platform::{
    decode_operators,
    OPERATOR_PREFIX, //
};
use dotterelsill_store::{
    Event,
    Item,
    OperationError,
    Operations,
    Staleness, //
};
use event_listener::Event as Signal;

use crate::{
    clock,
    dependency::Dependency, //
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

/// What the operators have written, as known last.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) requests: Arc<Requests>,
    /// Revision of the configuration; 0 before the first is known.
    pub(crate) revision: u64,
}

/// The current view, and a signal for each change.
#[derive(Default)]
pub(crate) struct Operators {
    view: ArcSwap<View>,
    /// Instant at which the view was last known to be current, in microseconds.
    current_us: AtomicU64,
    pub(crate) changed: Signal,
}

impl Operators {
    /// Returns the view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the time since the view was last known to be current.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(
            self.current_us.load(Ordering::Relaxed),
        ))
    }

    /// Notes that the view was current at an instant.
    fn note_current(&self, at: Duration) {
        self.current_us
            .fetch_max(at.as_micros() as u64, Ordering::Relaxed);
    }

    /// Adopts what was read, unless an older configuration was read; `source` names
    /// the call.
    fn adopt(&self, items: &BTreeMap<String, Item>, source: &str) {
        let items: Vec<Item> = items.values().cloned().collect();
        let operators = match decode_operators(&items) {
            Ok(operators) => operators,
            Err(error) => {
                log::error!(error:%; "configuration_unreadable");
                return;
            }
        };
        let old = self.view.load_full();
        let mut view = View {
            catalogue: old.catalogue.clone(),
            requests: old.requests.clone(),
            revision: old.revision,
        };
        if let Some((catalogue, revision)) = operators.catalogue {
            if revision > old.revision {
                let known_age_ms = match old.revision {
                    0 => 0,
                    _ => self.age(clock::now()).as_millis() as u64,
                };
                log::info!(
                    version = catalogue.version, revision,
                    queues = catalogue.queues.len() as u64, source, known_age_ms;
                    "configuration_adopted"
                );
                view.catalogue = Arc::new(catalogue);
                view.revision = revision;
            }
        }
        if *view.requests != operators.requests {
            log::info!(
                out:? = operators.requests.out,
                waves = operators.requests.waves.len() as u64; "requests_adopted"
            );
            view.requests = Arc::new(operators.requests);
        }
        self.view.store(Arc::new(view));
        self.changed.notify(usize::MAX);
    }
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

/// Reads everything, then follows the changes for some time.
async fn follow_from_list(store: &Operations, operators: &Operators) -> Result<(), OperationError> {
    let sent_at = clock::now();
    let (list, mut revision) = store.list(OPERATOR_PREFIX, Staleness::Current).await?;
    let mut items: BTreeMap<String, Item> = list
        .into_iter()
        .map(|item| (item.key.clone(), item))
        .collect();
    operators.adopt(&items, "list");
    operators.note_current(sent_at);
    let read_at = clock::now();
    while clock::now() < read_at + READ_AGAIN {
        let sent_at = clock::now();
        let watched = match (store.watch)(OPERATOR_PREFIX, revision, WATCH_WAIT).await {
            Ok(watched) => watched,
            // The list that is read next shows what was missed.
            Err(OperationError::HistoryDropped { .. }) => return Ok(()),
            Err(error) => return Err(error),
        };
        revision = revision.max(watched.revision);
        if watched.events.is_empty() {
            operators.note_current(unchanged_at(sent_at, clock::now()));
            continue;
        }
        for event in watched.events {
            match event {
                Event::Written(item) => {
                    items.insert(item.key.clone(), item);
                }
                Event::Removed { key } => {
                    items.remove(&key);
                }
            }
        }
        operators.adopt(&items, "watch");
        operators.note_current(sent_at);
    }
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
