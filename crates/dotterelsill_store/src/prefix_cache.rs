//! Cache of the items below a prefix, updated from lists, watches and peers.
//!
//! The cache does no I/O and reads no clock. The caller passes in each time as a
//! duration since a fixed start.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    Event,
    Item,
    WatchResult, //
};

/// Summary of the items that an instance caches, small enough to be sent with every
/// ping.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Summary {
    /// Revision up to which all changes are included; 0 before the first list.
    pub revision: u64,
    /// Highest revision of any item.
    pub newest: u64,
    /// Number of items.
    pub items: u64,
}

/// Result of comparing the cached items with the summary of a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Comparison {
    /// The peer has the same items.
    Same,
    /// The peer has a change that is missing here.
    PeerIsNewer,
    /// Only one of the two has a certain item: it may have been removed, or a watch may
    /// have missed it. Only a list from the store can tell.
    Unclear,
    /// The peer has nothing that is missing here.
    Older,
}

/// Cached items below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixCache {
    items: BTreeMap<String, Item>,
    /// All changes up to this revision are included.
    revision: u64,
    /// Revision of the last list. Items removed before it are not cached.
    listed: u64,
    /// Latest time at which the store held nothing newer.
    current_at: Option<Duration>,
}

impl Summary {
    /// Returns whether the items are those of a single revision of the store. The
    /// pages of one list may come from several.
    fn is_of_one_revision(&self) -> bool {
        self.revision > 0 && self.newest <= self.revision
    }
}

impl PrefixCache {
    /// Returns the items, sorted by key.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the revision after which the next watch starts.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the items were last known to be current, or `None` if
    /// they never were.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.current_at?))
    }

    /// Returns the summary to send to peers.
    pub fn summary(&self) -> Summary {
        let revisions = self.items.values().map(|item| item.revision);
        Summary {
            revision: self.revision,
            newest: revisions.max().unwrap_or_default(),
            items: self.items.len() as u64,
        }
    }

    /// Replaces the items by a list that was requested at `sent_at`, with the
    /// revision of its first page. A list older than the cache is ignored. Returns
    /// whether an item changed.
    pub fn on_list(&mut self, items: Vec<Item>, revision: u64, sent_at: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        self.update_current_at(sent_at);
        self.listed = revision;
        self.replace(items, revision)
    }

    /// Applies the result of a watch that started after a revision. `current_at` is a
    /// time at which the watch had not returned yet. The result is ignored if a list
    /// or a peer has updated the cache since the watch began. Returns whether an item
    /// changed.
    pub fn on_watch(&mut self, after: u64, watched: WatchResult, current_at: Duration) -> bool {
        if after != self.revision {
            return false;
        }
        self.update_current_at(current_at);
        self.revision = self.revision.max(watched.revision);
        let is_changed = !watched.events.is_empty();
        for event in watched.events {
            match event {
                Event::Written(item) => {
                    self.items.insert(item.key.clone(), item);
                }
                Event::Removed { key } => {
                    self.items.remove(&key);
                }
            }
        }
        is_changed
    }

    /// Compares the cached items with the summary of a peer.
    ///
    /// Two states of the same store with the same number of items and the same highest
    /// revision are equal: a write between them would raise the highest revision, and
    /// a removal without a write would lower the number of items.
    pub fn compare(&self, peer: &Summary) -> Comparison {
        let own = self.summary();
        if !peer.is_of_one_revision() {
            return Comparison::Older;
        }
        if own.revision == 0 {
            return Comparison::PeerIsNewer;
        }
        let is_same = (own.newest, own.items) == (peer.newest, peer.items);
        if is_same && own.is_of_one_revision() {
            Comparison::Same
        } else if peer.revision > own.revision {
            if peer.newest > own.newest {
                Comparison::PeerIsNewer
            } else {
                Comparison::Unclear
            }
        } else if peer.newest > own.newest.max(self.listed) {
            Comparison::Unclear
        } else {
            Comparison::Older
        }
    }

    /// Applies the summary of a peer whose items were current at a time. It has no
    /// effect unless the peer has the same items.
    pub fn on_same_summary(&mut self, peer: &Summary, current_at: Duration) {
        if self.compare(peer) == Comparison::Same {
            self.update_current_at(current_at);
            // Responses that are still in flight and show an older revision must be
            // ignored.
            self.revision = self.revision.max(peer.revision);
        }
    }

    /// Replaces the items by those of a peer if these are newer. Returns whether an
    /// item changed.
    pub fn on_peer_items(&mut self, items: Vec<Item>, revision: u64) -> bool {
        let newest = items.iter().map(|item| item.revision).max();
        let peer = Summary {
            revision,
            newest: newest.unwrap_or_default(),
            items: items.len() as u64,
        };
        self.compare(&peer) == Comparison::PeerIsNewer && self.replace(items, revision)
    }

    fn replace(&mut self, items: Vec<Item>, revision: u64) -> bool {
        let items = items.into_iter().map(|item| (item.key.clone(), item));
        let items: BTreeMap<String, Item> = items.collect();
        self.revision = revision;
        let is_changed = self.items != items;
        self.items = items;
        is_changed
    }

    fn update_current_at(&mut self, at: Duration) {
        self.current_at = self.current_at.max(Some(at));
    }
}
