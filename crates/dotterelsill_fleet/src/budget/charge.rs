//! Charge of one instance against a budget.

use crate::{
    Token,
    Upstream, //
};

/// Outage of one instance, with its causes.
///
/// Each cause is cleared independently: the end of a move must not clear the
/// charge of an operator's order, and vice versa. An instance counts once,
/// regardless of the number of causes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Charge {
    /// Whether the instance failed and has not been seen in service since.
    pub involuntary: bool,
    /// Whether operators have excluded the instance's data centre.
    pub ordered: bool,
    /// Instance that is out.
    pub upstream: Upstream,
    /// Token of the planner that charged the voluntary outage, if there is one.
    pub voluntary: Option<Token>,
}

impl Charge {
    /// Creates a charge without a cause.
    pub(super) fn new(upstream: Upstream) -> Self {
        Self {
            involuntary: false,
            ordered: false,
            upstream,
            voluntary: None,
        }
    }

    /// Returns whether the charge has at least one cause. A charge without a
    /// cause is removed from the record.
    pub(super) fn has_cause(&self) -> bool {
        self.involuntary || self.ordered || self.voluntary.is_some()
    }
}
