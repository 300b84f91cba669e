//! Refusal of overtaken orders at the instance.

use crate::Stamp;

/// Highest stamp that an instance has seen.
///
/// Every order and every question to an instance passes its gate. The store
/// refuses late writes by their version; a late order has no such check but
/// this one.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Gate {
    highest: Option<Stamp>,
}

impl Gate {
    /// Returns a gate that has seen no stamp.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an order with this stamp may be carried out.
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
