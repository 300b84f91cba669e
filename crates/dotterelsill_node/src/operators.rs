//! Follows what the operators write.

use std::{
    collections::BTreeMap,
    sync::Arc,
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

/// Time for which one watch waits; a connection that went silent is found soon
/// enough for a change to be in force within the 2 s that are required.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time after which everything is read again, should a watch have missed a
/// change.
const READ_AGAIN: Duration = Duration::from_secs(3);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

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
    pub(crate) changed: Signal,
}

impl Operators {
    /// Returns the view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Adopts what was read, unless an older configuration was read.
    fn adopt(&self, items: &BTreeMap<String, Item>) {
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
                log::info!(
                    version = catalogue.version, revision,
                    queues = catalogue.queues.len() as u64; "configuration_adopted"
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
        if let Err(error) = follow_from_list(&store, &operators).await {
            dependency.on_error(&error);
            Timer::after(RETRY_PAUSE).await;
        } else {
            dependency.on_answer();
        }
    }
}

/// Reads everything, then follows the changes for some time.
async fn follow_from_list(store: &Operations, operators: &Operators) -> Result<(), OperationError> {
    let (list, mut revision) = store.list(OPERATOR_PREFIX, Staleness::Current).await?;
    let mut items: BTreeMap<String, Item> = list
        .into_iter()
        .map(|item| (item.key.clone(), item))
        .collect();
    operators.adopt(&items);
    let read_at = clock::now();
    while clock::now() < read_at + READ_AGAIN {
        let watched = match (store.watch)(OPERATOR_PREFIX, revision, WATCH_WAIT).await {
            Ok(watched) => watched,
            // The list that is read next shows what was missed.
            Err(OperationError::HistoryDropped { .. }) => return Ok(()),
            Err(error) => return Err(error),
        };
        revision = revision.max(watched.revision);
        if watched.events.is_empty() {
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
        operators.adopt(&items);
    }
    Ok(())
}
