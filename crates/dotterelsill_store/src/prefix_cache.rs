//! The keys below a prefix, as an instance knows them from lists, watches and peers.
//!
//! The type does no I/O and reads no clock: the caller passes in every instant, as
//! the time since some fixed one.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    Event,
    Item,
    WatchResult, //
};

/// What an instance knows, in a form that is short enough for every ping.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Summary {
    /// Revision up to which all changes are known; 0 before the first list.
    pub revision: u64,
    /// Highest revision of an item.
    pub newest: u64,
    /// Number of items.
    pub items: u64,
}

/// What follows from the summary of a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Comparison {
    /// The peer knows the same.
    Same,
    /// The peer knows a change that is not known here.
    PeerIsNewer,
    /// An item is known to one of both only and may have been removed, or missed by a
    /// watch. Only a list tells.
    Unclear,
    /// The peer knows nothing that is not known here.
    Older,
}

/// The items below a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixCache {
    items: BTreeMap<String, Item>,
    /// All changes up to this revision are known.
    revision: u64,
    /// Revision of the last list, which shows all that was removed before it.
    listed: u64,
    /// Latest instant at which nothing newer was stored.
    current_at: Option<Duration>,
}

impl Summary {
    /// Returns whether the items were those of one revision of the store. The pages
    /// of a list may be of several.
    fn is_of_one_revision(&self) -> bool {
        self.revision > 0 && self.newest <= self.revision
    }
}

impl PrefixCache {
    /// Returns the items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the revision after which to watch.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time since the items were last known to be current; `None` if
    /// they never were.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.current_at?))
    }

    /// Returns the summary for peers.
    pub fn summary(&self) -> Summary {
        let revisions = self.items.values().map(|item| item.revision);
        Summary {
            revision: self.revision,
            newest: revisions.max().unwrap_or_default(),
            items: self.items.len() as u64,
        }
    }

    /// Takes a list that was asked for at an instant, with the store's revision
    /// before its first page. A list that is older than what is known is left out.
    /// Returns whether an item changed.
    pub fn on_list(&mut self, items: Vec<Item>, revision: u64, sent_at: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        self.note_current(sent_at);
        self.listed = revision;
        self.replace(items, revision)
    }

    /// Takes the answer to a watch after a revision; `current_at` is an instant at
    /// which it was not answered yet. An answer is left out if a list or a peer has
    /// shown more since the watch began. Returns whether an item changed.
    pub fn on_watch(&mut self, after: u64, watched: WatchResult, current_at: Duration) -> bool {
        if after != self.revision {
            return false;
        }
        self.note_current(current_at);
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

    /// Compares with what a peer knows.
    ///
    /// Two sets of items of one history with the same number and the same highest
    /// revision are the same: a change between them is a write, which has a higher
    /// revision, or a removal.
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

    /// Takes the summary of a peer that knows the same, and whose items were current
    /// at an instant.
    pub fn on_same_summary(&mut self, peer: &Summary, current_at: Duration) {
        if self.compare(peer) == Comparison::Same {
            self.note_current(current_at);
            // An older answer that is still on its way must not count any more.
            self.revision = self.revision.max(peer.revision);
        }
    }

    /// Takes the items of a peer. Returns whether an item changed.
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

    fn note_current(&mut self, at: Duration) {
        self.current_at = self.current_at.max(Some(at));
    }
}
