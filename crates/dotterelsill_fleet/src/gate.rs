//! Fencing of outdated orders at the instance.

use crate::Stamp;

/// Fencing check of an instance, which stores the highest stamp seen so far.
///
/// Every order and every query to an instance is checked by its gate. The store
/// rejects late writes by their version; for late orders this is the only check.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Gate {
    highest: Option<Stamp>,
}

impl Gate {
    /// Creates a gate that has seen no stamp.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the stamp and returns whether the order or query is admitted. It
    /// is rejected if a higher stamp was seen.
    ///
    /// A repeated stamp is admitted, because each step is idempotent.
    pub fn admit(&mut self, stamp: Stamp) -> bool {
        if self.highest.is_some_and(|highest| stamp < highest) {
            return false;
        }
        self.highest = Some(stamp);
        true
    }
}
