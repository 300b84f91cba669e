//! Keeps the newest revision in force.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_proto::config::{
    Document,
    Head, //
};
use prost::{
    DecodeError,
    Message as _, //
};
use snafu::{
    OptionExt,
    ResultExt,
    Snafu, //
};

use crate::{
    shared::Shared,
    snapshot::{
        Snapshot,
        SnapshotError, //
    }, //
};

/// Store key of the newest revision.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Time between two reads of the head.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The newest revision cannot be put in force.
#[derive(Debug, Snafu)]
pub(crate) enum SyncError {
    #[snafu(display("{source}"))]
    Store { source: dotterelsill_store::Error },
    #[snafu(display("{key}: {source}"))]
    Decode { key: String, source: DecodeError },
    #[snafu(display("{key}: missing in the store"))]
    Missing { key: String },
    #[snafu(display("revision {revision}: {source}"))]
    Build {
        revision: u64,
        source: SnapshotError,
    },
}

/// Returns the store key of a document.
pub(crate) fn body_key(write_id: &str) -> String {
    format!("config/body/{write_id}")
}

/// Reads the head each second until the program stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        if let Err(error) = refresh(&shared).await {
            log::warn!(error:%; "config_refresh_failed");
        }
        Timer::after(READ_INTERVAL).await;
    }
}

/// Reads the head and puts a newer revision in force.
pub(crate) async fn refresh(shared: &Shared) -> Result<(), SyncError> {
    let Some(entry) = shared.store.get(HEAD_KEY).await.context(StoreSnafu)? else {
        return Ok(());
    };
    let head = Head::decode(entry.value.as_slice()).context(DecodeSnafu { key: HEAD_KEY })?;
    let current = shared.snapshot.load_full();
    if head.revision <= current.revision {
        return Ok(());
    }
    let document = read_document(shared, &head.write_id).await?;
    let revision = head.revision;
    let snapshot = Snapshot::build(revision, document, &current, &shared.metrics)
        .context(BuildSnafu { revision })?;
    shared.snapshot.store(Arc::new(snapshot));
    shared.metrics.revision.set(revision as i64);
    log::info!(revision; "revision_in_force");
    Ok(())
}

/// Reads a document by its write identifier.
pub(crate) async fn read_document(shared: &Shared, write_id: &str) -> Result<Document, SyncError> {
    let key = body_key(write_id);
    let entry = shared.store.get(&key).await.context(StoreSnafu)?;
    let entry = entry.context(MissingSnafu { key: &key })?;
    Document::decode(entry.value.as_slice()).context(DecodeSnafu { key })
}
