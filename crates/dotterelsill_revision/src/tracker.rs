//! The newest known revision and the revision in force.

use crate::Head;

/// Maximum number of heads kept while their bodies are not loaded. The store
/// keeps a body for 16 revisions.
const MAX_PENDING: usize = 16;

/// Effect of a head on the known revisions.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeadUpdate {
    /// The revision is higher than all known ones; its body must be loaded.
    New,
    /// The revision is not above the highest known one, because the head was
    /// duplicated, late or reordered.
    Known,
    /// The revision is already known from a different write. The store has lost
    /// writes, or its reads are not linearizable.
    Conflict,
}

/// Tracks the newest known revision and the revision in force.
///
/// Neither of them ever decreases.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RevisionTracker {
    in_force: Option<Head>,
    /// Heads above the one in force whose bodies are not loaded, in ascending
    /// order.
    pending: Vec<Head>,
}

impl RevisionTracker {
    /// Creates a tracker without any known revision.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a head that was read from the store or received from a peer.
    pub fn on_head(&mut self, head: &Head) -> HeadUpdate {
        if self.conflicts_with(head) {
            return HeadUpdate::Conflict;
        }
        if head.revision <= self.known_revision() {
            return HeadUpdate::Known;
        }
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(head.clone());
        HeadUpdate::New
    }

    /// Records that the body of a head is loaded and returns whether its revision
    /// is now in force.
    ///
    /// A body whose head was never received is ignored: bodies are written before
    /// their heads, so a body does not show that its change was stored.
    pub fn on_body(&mut self, head: &Head) -> bool {
        let Some(position) = self.pending.iter().position(|pending| pending == head) else {
            return false;
        };
        self.in_force = self.pending.drain(..=position).next_back();
        true
    }

    /// Returns the head in force: the newest one whose body is loaded.
    pub fn in_force(&self) -> Option<&Head> {
        self.in_force.as_ref()
    }

    /// Returns the newest known head.
    pub fn known(&self) -> Option<&Head> {
        self.pending.last().or(self.in_force.as_ref())
    }

    /// Returns the head whose body must be loaded, or `None` when the newest known
    /// head is in force.
    pub fn head_to_load(&self) -> Option<&Head> {
        self.pending.last()
    }

    /// Returns the highest known revision, or 0 when none is known.
    pub fn known_revision(&self) -> u64 {
        self.known().map_or(0, |head| head.revision)
    }

    fn conflicts_with(&self, head: &Head) -> bool {
        self.pending
            .iter()
            .chain(&self.in_force)
            .any(|known| known.revision == head.revision && known.write_id != head.write_id)
    }
}
