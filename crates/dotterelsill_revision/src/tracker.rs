//! The revision known and the revision in force.

use crate::Head;

/// Most heads kept whose body is not loaded; bodies live for 16 revisions.
const MAX_PENDING: usize = 16;

/// What a head changed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeadUpdate {
    /// The revision is the highest known; its body is wanted.
    New,
    /// The revision is not above the highest known: the head was doubled, late
    /// or reordered.
    Known,
    /// Another write holds this revision. The store has lost writes, or its
    /// reads are not linearizable.
    Conflict,
}

/// The revision known and the revision in force; neither ever decreases.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RevisionTracker {
    in_force: Option<Head>,
    /// Heads above the one in force, in ascending order.
    pending: Vec<Head>,
}

impl RevisionTracker {
    /// Creates a state in which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a head that was read from the store or received from a peer.
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

    /// Adds the loaded body of a head and returns whether its revision is now in
    /// force.
    ///
    /// A body whose head was never seen is ignored, because a body is written
    /// before its head and proves nothing.
    pub fn on_body(&mut self, head: &Head) -> bool {
        let Some(position) = self.pending.iter().position(|pending| pending == head) else {
            return false;
        };
        self.in_force = self.pending.drain(..=position).next_back();
        true
    }

    /// Returns the head in force: the highest one whose body is loaded.
    pub fn in_force(&self) -> Option<&Head> {
        self.in_force.as_ref()
    }

    /// Returns the highest head known.
    pub fn known(&self) -> Option<&Head> {
        self.pending.last().or(self.in_force.as_ref())
    }

    /// Returns the head whose body is to be loaded.
    pub fn head_to_load(&self) -> Option<&Head> {
        self.pending.last()
    }

    /// Returns the highest revision known, or 0.
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
