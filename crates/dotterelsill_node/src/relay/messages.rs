//! Conversion between store operations and the messages of relayed calls.

use dotterelsill_proto::jobs::{
    relay_request::Call,
    ChangeEntry,
    CommitCall,
    RelayError,
    RelayResponse,
    StoredItem, //
};
use dotterelsill_store::{
    CommitOutcome,
    Event,
    Item,
    OperationError,
    Page,
    Transaction,
    WatchResult,
    Write, //
};

/// Converts a response with an error into `Err`.
pub(super) fn result_of(
    call: &Call,
    response: RelayResponse,
) -> Result<RelayResponse, OperationError> {
    let reason = response.reason.clone();
    match response.error() {
        RelayError::None => Ok(response),
        RelayError::NotDone => Err(OperationError::NotDone { reason }),
        RelayError::Unknown => Err(OperationError::Unknown { reason }),
        RelayError::HistoryDropped => {
            let after = match call {
                Call::Watch(watch) => watch.after,
                _ => 0,
            };
            Err(OperationError::HistoryDropped { after })
        }
        RelayError::LeaseEnded => {
            let lease = match call {
                Call::Keep(lease) | Call::End(lease) => *lease,
                _ => 0,
            };
            Err(OperationError::LeaseEnded { lease })
        }
    }
}

/// Encodes an item for a peer.
pub(crate) fn to_stored_item(item: Item) -> StoredItem {
    StoredItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
        lease: 0,
    }
}

/// Decodes an item received from a peer.
pub(crate) fn from_stored_item(stored: StoredItem) -> Item {
    Item {
        key: stored.key,
        value: stored.value,
        revision: stored.revision,
    }
}

pub(super) fn item_of(response: RelayResponse) -> Option<Item> {
    response.items.into_iter().next().map(from_stored_item)
}

pub(super) fn page_of(response: RelayResponse) -> Page {
    // Instances of earlier versions do not send the key.
    let last = response.items.last().map(|item| item.key.clone());
    Page {
        last_key: Some(response.last_key)
            .filter(|key| !key.is_empty())
            .or(last),
        items: response.items.into_iter().map(from_stored_item).collect(),
        has_more: response.has_more,
        revision: response.revision,
    }
}

pub(super) fn watched_of(response: RelayResponse) -> WatchResult {
    let event = |entry: ChangeEntry| match entry.written {
        Some(written) => Event::Written(from_stored_item(written)),
        None => Event::Removed {
            key: entry.removed_key,
        },
    };
    WatchResult {
        events: response.changes.into_iter().map(event).collect(),
        revision: response.revision,
    }
}

pub(super) fn change_entry(event: Event) -> ChangeEntry {
    match event {
        Event::Written(item) => ChangeEntry {
            written: Some(to_stored_item(item)),
            removed_key: String::new(),
        },
        Event::Removed { key } => ChangeEntry {
            written: None,
            removed_key: key,
        },
    }
}

pub(super) fn committed_of(response: RelayResponse) -> CommitOutcome {
    if response.is_conflict {
        CommitOutcome::Conflict {
            current: response.items.into_iter().map(from_stored_item).collect(),
        }
    } else {
        CommitOutcome::Done {
            revision: response.revision,
        }
    }
}

pub(super) fn commit_call(transaction: &Transaction) -> CommitCall {
    let expected = |(key, revision): &(String, u64)| StoredItem {
        key: key.clone(),
        revision: *revision,
        ..StoredItem::default()
    };
    let write = |write: &Write| StoredItem {
        key: write.key.clone(),
        value: write.value.clone(),
        lease: write.lease,
        ..StoredItem::default()
    };
    CommitCall {
        expected: transaction.expected.iter().map(expected).collect(),
        writes: transaction.writes.iter().map(write).collect(),
        removes: transaction.removes.clone(),
    }
}

pub(super) fn transaction_of(call: CommitCall) -> Transaction {
    Transaction {
        expected: call
            .expected
            .into_iter()
            .map(|expected| (expected.key, expected.revision))
            .collect(),
        writes: call
            .writes
            .into_iter()
            .map(|write| Write {
                key: write.key,
                value: write.value,
                lease: write.lease,
            })
            .collect(),
        removes: call.removes,
    }
}
