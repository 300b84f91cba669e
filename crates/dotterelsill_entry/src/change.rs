//! Changes of the configuration.

use dotterelsill_proto::config::{
    Document,
    Head, //
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
    shared::Shared,
    sync::{
        body_key,
        read_document,
        SyncError,
        HEAD_KEY, //
    }, //
};

/// Number of times that a change is tried again after another change came first.
const CONFLICT_RETRIES: usize = 8;

/// A change was not made, or is not known to be made.
#[derive(Debug, Snafu)]
pub(crate) enum ChangeError {
    #[snafu(display("{reason}"))]
    Refused { reason: String },
    #[snafu(display("{source}"))]
    Read { source: SyncError },
    #[snafu(display("{source}"))]
    Write { source: dotterelsill_store::Error },
    #[snafu(display("other changes came first {CONFLICT_RETRIES} times; try again"))]
    Conflict,
}

/// Applies an edit to the newest document and stores it as the next revision.
///
/// Returns the new revision.
pub(crate) async fn make(
    shared: &Shared,
    write_id: &str,
    edit: impl Fn(&mut Document) -> Result<(), String>,
) -> Result<u64, ChangeError> {
    for _ in 0..CONFLICT_RETRIES {
        if let Some(revision) = try_once(shared, write_id, &edit).await? {
            return Ok(revision);
        }
    }
    ConflictSnafu.fail()
}

async fn try_once(
    shared: &Shared,
    write_id: &str,
    edit: impl Fn(&mut Document) -> Result<(), String>,
) -> Result<Option<u64>, ChangeError> {
    let (head, version) = read_head(shared).await?;
    let mut document = if head.revision == 0 {
        Document::default()
    } else {
        read_document(shared, &head.write_id)
            .await
            .context(ReadSnafu)?
    };
    edit(&mut document).map_err(|reason| ChangeError::Refused { reason })?;
    document.previous_write_id = std::mem::replace(&mut document.write_id, write_id.to_owned());
    let body = document.encode_to_vec();
    let next = Head {
        revision: head.revision + 1,
        write_id: write_id.to_owned(),
        document_sha256: Sha256::digest(&body).to_vec(),
    };
    write_body(shared, write_id, body).await?;
    let put = shared
        .store
        .put(HEAD_KEY, next.encode_to_vec(), version, 0)
        .await
        .context(WriteSnafu)?;
    Ok(put.written.then_some(next.revision))
}

async fn read_head(shared: &Shared) -> Result<(Head, u64), ChangeError> {
    let entry = shared
        .store
        .get(HEAD_KEY)
        .await
        .map_err(|source| SyncError::Store { source })
        .context(ReadSnafu)?;
    let Some(entry) = entry else {
        return Ok((Head::default(), 0));
    };
    let head = Head::decode(entry.value.as_slice())
        .map_err(|source| SyncError::Decode {
            key: HEAD_KEY.to_owned(),
            source,
        })
        .context(ReadSnafu)?;
    Ok((head, entry.version))
}

/// Writes the document of a change; an older attempt's document is replaced.
async fn write_body(shared: &Shared, write_id: &str, body: Vec<u8>) -> Result<(), ChangeError> {
    let key = body_key(write_id);
    let put = shared
        .store
        .put(&key, body.clone(), 0, 0)
        .await
        .context(WriteSnafu)?;
    if !put.written {
        shared
            .store
            .put(&key, body, put.version, 0)
            .await
            .context(WriteSnafu)?;
    }
    Ok(())
}
