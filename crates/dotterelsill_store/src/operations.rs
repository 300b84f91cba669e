//! Operations on a key-value store with revisions, leases and watches.
//!
//! The daemons use these; whichever store is behind them is given as closures.

use std::{
    future::Future,
    pin::Pin,
    time::Duration, //
};

use snafu::Snafu;

/// Answer of the store that is still to come.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, OperationError>> + Send>>;

/// Call of the store with an argument.
pub type Operation<A, T> = Box<dyn Fn(A) -> Pending<T> + Send + Sync>;

/// Call of the store that names a key.
pub type KeyOperation<T> = Box<dyn Fn(&str) -> Pending<T> + Send + Sync>;

/// Call of the store that names a prefix, a key or revision in it, and a mode.
pub type PrefixOperation<A, B, T> = Box<dyn Fn(&str, A, B) -> Pending<T> + Send + Sync>;

/// A call of the store gave no result.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum OperationError {
    /// Nothing was done and nothing will be.
    #[snafu(display("the store did not do it: {reason}"))]
    NotDone {
        /// Reason.
        reason: String,
    },
    /// The call may have been carried out, or may be later.
    #[snafu(display("the store gave no answer: {reason}"))]
    Unknown {
        /// Reason.
        reason: String,
    },
    /// The history from the revision on is no longer kept.
    #[snafu(display("the store has dropped its history from revision {after} on"))]
    HistoryDropped {
        /// Revision that was asked for.
        after: u64,
    },
    /// The lease has ended.
    #[snafu(display("lease {lease} has ended"))]
    LeaseEnded {
        /// Lease.
        lease: u64,
    },
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// Part of the keys below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// One change below a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
    },
}

/// Changes below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchResult {
    /// Changes in order.
    pub events: Vec<Event>,
    /// Revision from which on to watch further.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the key lives under; 0 for none.
    pub lease: u64,
}

/// Changes that are made together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Revisions that keys must have; 0 means that the key does not exist.
    pub expected: Vec<(String, u64)>,
    /// Writes.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All changes were made.
    Done {
        /// Revision of the changes.
        revision: u64,
    },
    /// An expectation did not hold.
    Conflict {
        /// Items of the expected keys as they are; absent keys are left out.
        current: Vec<Item>,
    },
}

/// Operations of a store.
pub struct Operations {
    /// Returns the item of a key.
    pub get: KeyOperation<Option<Item>>,
    /// Returns the items below a prefix that come after a key; stale reads are
    /// cheaper and may be seconds old.
    pub range: PrefixOperation<String, Staleness, Page>,
    /// Waits for changes below a prefix after a revision.
    pub watch: PrefixOperation<u64, Duration, WatchResult>,
    /// Carries out a transaction.
    pub commit: Operation<Transaction, CommitOutcome>,
    /// Creates a lease and returns it.
    pub grant_lease: Operation<Duration, u64>,
    /// Renews a lease.
    pub renew_lease: Operation<u64, ()>,
    /// Ends a lease.
    pub end_lease: Operation<u64, ()>,
}

/// Whether a read may be old.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Staleness {
    /// The read shows all that was acknowledged before it.
    Current,
    /// The read may be seconds old.
    Stale,
}

impl Operations {
    /// Returns all items below a prefix, and the store's revision before the
    /// first page was read.
    ///
    /// # Errors
    ///
    /// Returns an error when a page was not answered.
    pub async fn list(
        &self,
        prefix: &str,
        staleness: Staleness,
    ) -> Result<(Vec<Item>, u64), OperationError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map_or("", |item| &item.key).to_owned();
            let page = (self.range)(prefix, after, staleness).await?;
            revision.get_or_insert(page.revision);
            let is_last = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok((items, revision.unwrap_or_default()));
            }
        }
    }
}
