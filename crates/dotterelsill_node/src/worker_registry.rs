//! Tracks the registered workers, and stores which of them may run tasks.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::WorkerReport;
use dotterelsill_platform::{
    decode_report,
    worker_id,
    REPORT_PREFIX, //
};
use dotterelsill_proto::jobs::GrantedRecord;
use dotterelsill_store::{
    Event,
    Item,
    OperationError,
    Staleness, //
};
use prost::Message as _;

use crate::{
    clock,
    dependency::Dependency,
    leadership::Leadership,
    worker_loops, //
};

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Pause between watch calls. Each worker writes about every 1.5 s and each answer
/// costs a call, but the departure of a worker must be detected within 2 s.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Interval between full listings, in case a watch missed a change.
const RELIST_INTERVAL: Duration = Duration::from_secs(5);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Tracks the registered workers until the task group stops.
pub(crate) async fn track(leadership: Arc<Leadership>) {
    let dependency = Dependency::new("registered workers");
    loop {
        match list_and_watch(&leadership).await {
            Ok(()) => dependency.on_answer(),
            Err(error) => {
                dependency.on_error(&error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

async fn list_and_watch(leadership: &Arc<Leadership>) -> Result<(), OperationError> {
    let (list, mut revision) = leadership
        .store
        .list(REPORT_PREFIX, Staleness::Current)
        .await?;
    let mut registered = BTreeSet::new();
    for item in &list {
        on_registration_written(leadership, item);
        registered.extend(worker_id(&item.key).map(str::to_owned));
    }
    mark_absent(leadership, &registered);
    leadership.dispatch.on_workers_listed();
    store_granted(leadership).await;
    let listed_at = clock::now();
    while clock::now() < listed_at + RELIST_INTERVAL {
        let watched = match (leadership.store.watch)(REPORT_PREFIX, revision, WATCH_WAIT).await {
            Ok(watched) => watched,
            Err(OperationError::HistoryDropped { .. }) => return Ok(()),
            Err(error) => return Err(error),
        };
        revision = revision.max(watched.revision);
        let mut newest: HashMap<&str, &Event> = HashMap::new();
        for event in &watched.events {
            let key = match event {
                Event::Written(item) => &item.key,
                Event::Removed { key } => key,
            };
            newest.insert(key, event);
        }
        for event in newest.into_values() {
            match event {
                Event::Written(item) => on_registration_written(leadership, item),
                Event::Removed { key } => {
                    if let Some(id) = worker_id(key) {
                        leadership.scheduler().on_unlisted(id, clock::now());
                    }
                }
            }
        }
        store_granted(leadership).await;
        leadership.on_changed();
        Timer::after(WATCH_PAUSE).await;
    }
    Ok(())
}

fn on_registration_written(leadership: &Arc<Leadership>, item: &Item) {
    let Some(id) = worker_id(&item.key) else {
        return;
    };
    match decode_report(id, &item.value) {
        Some(report) => on_worker_report(leadership, report),
        None => leadership.scheduler().on_unlisted(id, clock::now()),
    }
}

fn on_worker_report(leadership: &Arc<Leadership>, report: WorkerReport) {
    let (key, is_new) = leadership.scheduler().on_report(report, clock::now());
    if is_new || !leadership.handles().contains_key(&key) {
        worker_loops::start(leadership, key);
    }
}

/// Reports workers to the scheduler that are no longer registered.
fn mark_absent(leadership: &Leadership, registered: &BTreeSet<String>) {
    let mut scheduler = leadership.scheduler();
    let known = scheduler.worker_ids();
    for id in known.iter().filter(|id| !registered.contains(*id)) {
        scheduler.on_unlisted(id, clock::now());
    }
}

/// Stores which workers may run tasks, before any of them is granted a lease. The
/// record also drops workers that have ended, so that the next scheduler does not
/// wait for them.
pub(crate) async fn store_granted(leadership: &Leadership) {
    // One write at a time; each one stores the state at the time of its turn.
    let mut stored = leadership.granted.lock().await;
    let granted = {
        let scheduler = leadership.scheduler();
        if !scheduler.has_granted_change() {
            return;
        }
        scheduler.granted()
    };
    let record = GrantedRecord {
        workers: granted.clone(),
    };
    match stored.write(leadership, record.encode_to_vec()).await {
        Ok(true) => {
            log::info!(workers = granted.len() as u64; "granted_workers_stored");
            leadership.scheduler().on_granted_stored(&granted);
        }
        Ok(false) => {}
        Err(error) => log::warn!(error:%; "granted_workers_not_stored"),
    }
}
