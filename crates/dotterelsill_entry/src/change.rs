//! Stores changes of the configuration.
//!
//! A change writes its document under its own key and then swaps the head, which
//! names the newest revision, with a compare-and-swap.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_proto::config::{
    Document,
    Head, //
};
use dotterelsill_revision::{
    Action,
    Base,
    BodyResponse,
    ChangeWriter,
    HeadRead,
    Outcome,
    Predecessor,
    SwapResponse,
    UnknownReason,
    WriteId, //
};
use prost::Message as _;
use sha2::{
    Digest as _,
    Sha256, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    authority::head_of,
    shared::Shared,
    sync::{
        self,
        body_key,
        read_document,
        DecodeSnafu,
        StoreSnafu,
        SyncError,
        HEAD_KEY, //
    }, //
};

/// Maximum time that storing a change may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of times that a change is attempted while other changes come first.
const MAX_ATTEMPTS: usize = 8;

/// Number of documents of earlier revisions that are kept. A change whose store
/// answer was lost is found among them.
const KEPT_DOCUMENTS: usize = 16;

/// Pause before a store call without an answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a change was not stored, or is not known to be stored.
#[derive(Debug, Snafu)]
pub(crate) enum ChangeError {
    #[snafu(display("{reason}"))]
    Refused { reason: String },
    #[snafu(display("{source}"))]
    Read { source: SyncError },
    #[snafu(display("the store did not take the change in time; nothing was changed"))]
    NotSent,
    #[snafu(display("{reason}"))]
    OutcomeUnknown { reason: UnknownReason },
    #[snafu(display("other changes came first {MAX_ATTEMPTS} times; try again"))]
    Conflict,
}

/// Applies an edit to the newest document and stores it as the next revision.
///
/// Returns the new revision. If another change is stored first, the edit is
/// repeated on the newer document, with a suffix to the write identifier.
pub(crate) async fn apply_edit(
    shared: &Shared,
    write_id: &str,
    edit: impl Fn(&mut Document) -> Result<(), String>,
) -> Result<u64, ChangeError> {
    for attempt in 0..MAX_ATTEMPTS {
        let write_id = match attempt {
            0 => write_id.to_owned(),
            n => format!("{write_id}.{n}"),
        };
        match attempt_once(shared, &write_id, &edit).await? {
            Outcome::Stored { revision } => {
                // Puts the change in force here at once instead of with the next
                // periodic read.
                if let Err(error) = sync::load(shared).await {
                    log::warn!(error:%; "revision_not_loaded");
                }
                return Ok(revision);
            }
            Outcome::Overtaken => {}
            Outcome::NotSent => return NotSentSnafu.fail(),
            Outcome::Unknown { reason } => return OutcomeUnknownSnafu { reason }.fail(),
        }
    }
    ConflictSnafu.fail()
}

/// Applies the edit to the newest document and tries once to store the result.
async fn attempt_once(
    shared: &Shared,
    write_id: &str,
    edit: impl Fn(&mut Document) -> Result<(), String>,
) -> Result<Outcome, ChangeError> {
    let (version, head) = read_head(shared).await.context(ReadSnafu)?;
    let mut document = match &head {
        Some(head) => read_document(shared, &head.write_id)
            .await
            .context(ReadSnafu)?,
        None => Document::default(),
    };
    edit(&mut document).map_err(|reason| ChangeError::Refused { reason })?;
    document.previous_write_id = std::mem::replace(&mut document.write_id, write_id.to_owned());
    let base = Base {
        version,
        head: head.as_ref().map(head_of),
    };
    let deadline = Instant::now() + STORE_TIMEOUT;
    let change = ChangeWriter::new(WriteId::new(write_id), base, deadline);
    let (kept, expired) = retained_documents(head.as_ref());
    let outcome = store(shared, change, &document.encode_to_vec(), &kept).await;
    if matches!(outcome, Outcome::Stored { .. }) {
        delete_documents(shared, &expired).await;
    }
    Ok(outcome)
}

/// Returns the write identifiers of the documents that are kept after a change of
/// the head, and of those that are deleted.
fn retained_documents(head: Option<&Head>) -> (Vec<String>, Vec<String>) {
    let Some(head) = head else {
        return (Vec::new(), Vec::new());
    };
    let mut kept = head.kept_write_ids.clone();
    kept.push(head.write_id.clone());
    let excess = kept.len().saturating_sub(KEPT_DOCUMENTS);
    let expired = kept.drain(..excess).collect();
    (kept, expired)
}

/// Deletes documents of old revisions. One whose deletion fails is never deleted,
/// which only costs space.
async fn delete_documents(shared: &Shared, write_ids: &[String]) {
    for write_id in write_ids {
        let key = body_key(write_id);
        let deleted = async {
            let version = shared
                .store
                .get(&key)
                .await?
                .map_or(0, |entry| entry.version);
            shared.store.delete(&key, version).await
        };
        if let Err(error) = deleted.await {
            log::debug!(key, error:%; "document_not_deleted");
        }
    }
}

/// Makes the store calls of a change until its outcome is known.
async fn store(shared: &Shared, mut change: ChangeWriter, body: &[u8], kept: &[String]) -> Outcome {
    loop {
        let action = change.next_action();
        let result = match &action {
            Action::WriteBody => write_body(shared, &mut change, body).await,
            Action::SwapHead {
                expected_version, ..
            } => swap_head(shared, &mut change, *expected_version, body, kept).await,
            Action::ReadHead => read_back_head(shared, &mut change).await,
            Action::ReadBody { write_id } => read_predecessor(shared, &mut change, write_id).await,
            Action::Done(outcome) => return outcome.clone(),
        };
        if let Err(error) = result {
            log::debug!(error:%; "change_call_failed");
            change.on_no_response(Instant::now());
            async_io::Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Writes the document. One that exists already with the same content counts as
/// written: an earlier call has stored it and its answer was lost.
async fn write_body(
    shared: &Shared,
    change: &mut ChangeWriter,
    body: &[u8],
) -> Result<(), SyncError> {
    let key = body_key(change.head().write_id.as_str());
    let put = shared
        .store
        .put(&key, body.to_vec(), 0, 0)
        .await
        .context(StoreSnafu)?;
    let answer = if put.written {
        BodyResponse::Written
    } else {
        let stored = shared.store.get(&key).await.context(StoreSnafu)?;
        let is_same = stored.is_some_and(|entry| entry.value == body);
        if is_same {
            BodyResponse::Written
        } else {
            BodyResponse::Different
        }
    };
    change.on_body(answer, Instant::now());
    Ok(())
}

/// Replaces the head if it still has the expected version.
async fn swap_head(
    shared: &Shared,
    change: &mut ChangeWriter,
    expected_version: u64,
    body: &[u8],
    kept: &[String],
) -> Result<(), SyncError> {
    let next = change.head();
    let head = Head {
        revision: next.revision,
        write_id: next.write_id.as_str().to_owned(),
        document_sha256: Sha256::digest(body).to_vec(),
        kept_write_ids: kept.to_vec(),
    };
    let value = head.encode_to_vec();
    let put = shared
        .store
        .put(HEAD_KEY, value, expected_version, 0)
        .await
        .context(StoreSnafu)?;
    if put.written {
        shared.authority.keep_head(&head);
        change.on_swap(SwapResponse::Swapped, Instant::now());
    } else {
        change.on_swap(SwapResponse::Mismatch, Instant::now());
    }
    Ok(())
}

/// Reads the head to find out whether the change was stored.
async fn read_back_head(shared: &Shared, change: &mut ChangeWriter) -> Result<(), SyncError> {
    let (version, head) = read_head(shared).await?;
    if let Some(head) = &head {
        shared.authority.keep_head(head);
    }
    let read = HeadRead {
        version,
        head: head.as_ref().map(head_of),
    };
    change.on_head(&read, Instant::now());
    Ok(())
}

/// Reads which write a document followed.
async fn read_predecessor(
    shared: &Shared,
    change: &mut ChangeWriter,
    write_id: &WriteId,
) -> Result<(), SyncError> {
    let key = body_key(write_id.as_str());
    let entry = shared.store.get(&key).await.context(StoreSnafu)?;
    let document = entry.and_then(|entry| Document::decode(entry.value.as_slice()).ok());
    let predecessor = match document {
        None => Predecessor::BodyMissing,
        Some(document) if document.previous_write_id.is_empty() => Predecessor::None,
        Some(document) => Predecessor::Write(WriteId::new(&document.previous_write_id)),
    };
    change.on_predecessor(write_id, predecessor, Instant::now());
    Ok(())
}

/// Reads the head and its version in the store; the version is 0 without a head.
async fn read_head(shared: &Shared) -> Result<(u64, Option<Head>), SyncError> {
    let entry = shared.store.get(HEAD_KEY).await.context(StoreSnafu)?;
    let Some(entry) = entry else {
        return Ok((0, None));
    };
    let head = Head::decode(entry.value.as_slice()).context(DecodeSnafu { key: HEAD_KEY })?;
    Ok((entry.version, Some(head)))
}
