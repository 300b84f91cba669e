//! Keeps the newest configuration revision in force.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
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
use sha2::{
    Digest as _,
    Sha256, //
};
use snafu::{
    ensure,
    OptionExt,
    ResultExt,
    Snafu, //
};

use crate::{
    authority::head_of,
    peers,
    register::{
        self,
        RegisterError, //
    },
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

/// Why the newest revision cannot be put in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum SyncError {
    #[snafu(display("{source}"))]
    Store { source: dotterelsill_store::Error },
    #[snafu(display("{key}: {source}"))]
    Decode { key: String, source: DecodeError },
    #[snafu(display("{key}: missing in the store"))]
    Missing { key: String },
    #[snafu(display("document {write_id}: its digest differs from the head's"))]
    Digest { write_id: String },
    #[snafu(display("registration: {source}"))]
    Register { source: RegisterError },
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

/// Reads the head every second until shutdown.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let begin = Instant::now();
        refresh(&shared).await;
        Timer::at(begin + READ_INTERVAL).await;
    }
}

/// Reads the head, queries the peers if that gives no fresh proof, and puts the
/// newest known revision in force.
pub(crate) async fn refresh(shared: &Shared) {
    if let Err(error) = read_head(shared).await {
        log::warn!(error:%; "head_not_read");
    }
    let queries_peers = match shared.authority.update().as_ref() {
        Some(instance) => instance.freshness().should_ask_peer(Instant::now()),
        None => false,
    };
    if queries_peers {
        peers::query_all(shared, 0).await;
    }
    if let Err(error) = load(shared).await {
        log::warn!(error:%; "revision_not_loaded");
    }
}

/// Reads the head from the store and records it with the time of the read, which
/// proves that the head was current then.
async fn read_head(shared: &Shared) -> Result<(), SyncError> {
    let sent_at = Instant::now();
    let entry = shared.store.get(HEAD_KEY).await.context(StoreSnafu)?;
    let head = match &entry {
        Some(entry) => {
            let head = Head::decode(entry.value.as_slice());
            Some(head.context(DecodeSnafu { key: HEAD_KEY })?)
        }
        None => None,
    };
    if let Some(head) = &head {
        shared.authority.keep_head(head);
    }
    if let Some(instance) = shared.authority.update().as_mut() {
        instance.on_store_read(sent_at, head.as_ref().map(head_of).as_ref());
    }
    Ok(())
}

/// Loads the document of the newest head and puts it in force.
///
/// The snapshot is replaced before its revision counts as in force, so a request
/// that sees the revision also sees its configuration.
pub(crate) async fn load(shared: &Shared) -> Result<(), SyncError> {
    let head = shared.authority.head();
    let current = shared.snapshot.load_full();
    if head.revision > current.revision {
        let document = fetch(shared, &head).await?;
        let revision = head.revision;
        let snapshot = Snapshot::build(revision, document, &current, shared)
            .context(BuildSnafu { revision })?;
        // Before work of this revision starts, other instances must be ready to
        // wait for it for as long as it may run.
        if shared.authority.is_registered() {
            let registered = register::ensure_registered(shared, snapshot.bounds())
                .await
                .context(RegisterSnafu)?;
            if registered {
                // Only a proof obtained after the registration counts.
                read_head(shared).await?;
            }
        }
        replace(shared, snapshot);
        log::info!(revision; "revision_in_force");
    }
    confirm(shared);
    Ok(())
}

/// Replaces the snapshot unless a newer one is in force.
fn replace(shared: &Shared, snapshot: Snapshot) {
    let snapshot = Arc::new(snapshot);
    shared.snapshot.rcu(|current| {
        if current.revision < snapshot.revision {
            snapshot.clone()
        } else {
            current.clone()
        }
    });
    let revision = shared.snapshot.load().revision;
    shared.metrics.revision.set(revision as i64);
}

/// Reports the revision in force and its isolation limit to the authority state.
fn confirm(shared: &Shared) {
    let snapshot = shared.snapshot.load_full();
    if snapshot.revision == 0 {
        return;
    }
    if let Some(instance) = shared.authority.update().as_mut() {
        let head = snapshot.head();
        instance.on_head(&head);
        instance.on_body(&head);
        let limit = snapshot.isolation_limit;
        let now = Instant::now();
        instance.authority_mut().on_isolation_limit(limit, now);
    }
}

/// Reads the document of a head from the store, or from a peer if that fails, and
/// checks its digest.
async fn fetch(shared: &Shared, head: &Head) -> Result<Document, SyncError> {
    let write_id = &head.write_id;
    let document = match read_document(shared, write_id).await {
        Ok(document) => document,
        Err(error) => match peers::document(shared, head.revision).await {
            Some(document) => document,
            None => return Err(error),
        },
    };
    let digest = Sha256::digest(document.encode_to_vec());
    ensure!(
        digest.as_slice() == head.document_sha256,
        DigestSnafu { write_id }
    );
    Ok(document)
}

/// Reads a document by its write identifier.
pub(crate) async fn read_document(shared: &Shared, write_id: &str) -> Result<Document, SyncError> {
    let key = body_key(write_id);
    let entry = shared.store.get(&key).await.context(StoreSnafu)?;
    let entry = entry.context(MissingSnafu { key: &key })?;
    Document::decode(entry.value.as_slice()).context(DecodeSnafu { key })
}
