//! Operations on a key-value store with revisions, leases and watches.
//!
//! The operations are closures, so that the daemons do not depend on a particular
//! store.

use std::{
    future::Future,
    pin::Pin,
    time::Duration, //
};

use snafu::Snafu;

/// Future of the result of a call to the store.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, OperationError>> + Send>>;

/// Store operation that takes one argument.
pub type Operation<A, T> = Box<dyn Fn(A) -> Pending<T> + Send + Sync>;

/// Store operation on a key.
pub type KeyOperation<T> = Box<dyn Fn(&str) -> Pending<T> + Send + Sync>;

/// Store operation on a prefix. The other arguments are where to start below it
/// (a key or a revision), and an option of the operation.
pub type PrefixOperation<A, B, T> = Box<dyn Fn(&str, A, B) -> Pending<T> + Send + Sync>;

/// A store operation failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum OperationError {
    /// The operation was not carried out and will not be.
    #[snafu(display("the store did not carry out the operation: {reason}"))]
    NotDone {
        /// Cause of the failure.
        reason: String,
    },
    /// No response arrived: the operation may have been carried out, or may still
    /// be.
    #[snafu(display("no response from the store: {reason}"))]
    Unknown {
        /// Cause of the failure.
        reason: String,
    },
    /// The store has dropped the changes after the revision, so a watch cannot
    /// start there.
    #[snafu(display("the store no longer has the changes after revision {after}"))]
    HistoryDropped {
        /// Requested start revision of the watch.
        after: u64,
    },
    /// The lease has expired or was ended.
    #[snafu(display("lease {lease} has ended"))]
    LeaseEnded {
        /// Identifier of the lease.
        lease: u64,
    },
}

/// A key with its value and revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the store at which the key was last written.
    pub revision: u64,
}

/// One page of the items below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Items, sorted by key.
    pub items: Vec<Item>,
    /// Key after which the next page begins: the last one of this page, whose item is not
    /// among `items` if its value cannot be read. `None` if the page is empty.
    pub last_key: Option<String>,
    /// Whether more items follow.
    pub has_more: bool,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// One change below a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// Removed key.
        key: String,
    },
}

/// Changes below a prefix that a watch returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchResult {
    /// Changes in the order in which they were made.
    pub events: Vec<Event>,
    /// Revision after which the next watch starts.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key; 0 for none.
    pub lease: u64,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys with the revisions they must have; 0 means that the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All changes took effect.
    Done {
        /// Revision of the store at which they did.
        revision: u64,
    },
    /// An expected key had another revision; nothing was changed.
    Conflict {
        /// Current items of the expected keys, without the keys that do not exist.
        current: Vec<Item>,
    },
}

/// Operations of a key-value store.
pub struct Operations {
    /// Reads a key; returns `None` if it does not exist.
    pub get: KeyOperation<Option<Item>>,
    /// Reads one page of the items below a prefix that come after a key. Stale reads
    /// are cheaper and may be seconds old.
    pub range: PrefixOperation<String, Staleness, Page>,
    /// Waits, at most for the given time, for changes below a prefix after a
    /// revision.
    pub watch: PrefixOperation<u64, Duration, WatchResult>,
    /// Commits a transaction.
    pub commit: Operation<Transaction, CommitOutcome>,
    /// Creates a lease that lives for the given time, and returns its identifier.
    pub grant_lease: Operation<Duration, u64>,
    /// Renews a lease.
    pub renew_lease: Operation<u64, ()>,
    /// Ends a lease, which removes its keys.
    pub end_lease: Operation<u64, ()>,
}

/// Whether a read may return outdated items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Staleness {
    /// The read reflects every write acknowledged before it began.
    Current,
    /// The read may miss writes of the last seconds.
    Stale,
}

impl Operations {
    /// Reads all items below a prefix; returns them with the revision of the first
    /// page. Later pages may hold items of later revisions.
    ///
    /// # Errors
    ///
    /// Returns an error if a page cannot be read.
    pub async fn list(
        &self,
        prefix: &str,
        staleness: Staleness,
    ) -> Result<(Vec<Item>, u64), OperationError> {
        let mut items: Vec<Item> = Vec::new();
        let revision = self
            .for_each_page(prefix, staleness, |page| items.extend(page))
            .await?;
        Ok((items, revision))
    }

    /// Reads all items below a prefix page by page, and hands each page to `handle`;
    /// returns the revision of the first page. Later pages may hold items of later
    /// revisions.
    ///
    /// # Errors
    ///
    /// Returns an error if a page cannot be read. The pages before it were handled.
    pub async fn for_each_page(
        &self,
        prefix: &str,
        staleness: Staleness,
        mut handle: impl FnMut(Vec<Item>),
    ) -> Result<u64, OperationError> {
        let mut after = String::new();
        let mut revision = None;
        loop {
            let page = (self.range)(prefix, after, staleness).await?;
            let revision = *revision.get_or_insert(page.revision);
            handle(page.items);
            match page.last_key {
                Some(last) if page.has_more => after = last,
                _ => return Ok(revision),
            }
        }
    }
}
