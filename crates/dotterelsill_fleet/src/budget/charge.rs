//! Outage of one instance as charged to a budget.

use crate::{
    Token,
    Upstream, //
};

/// Causes for which one instance counts as out.
///
/// The causes end independently: the end of a move must not clear the charge
/// of an operator's order, nor the other way round. An instance counts once,
/// however many causes it has.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Charge {
    /// Whether the instance failed and was not seen in service since.
    pub involuntary: bool,
    /// Whether operators have taken the instance's data centre out.
    pub ordered: bool,
    /// Instance that is out.
    pub upstream: Upstream,
    /// Token of the planner that took the voluntary outage, if there is one.
    pub voluntary: Option<Token>,
}

impl Charge {
    /// Returns a charge without a cause.
    pub(super) fn new(upstream: Upstream) -> Self {
        Self {
            involuntary: false,
            ordered: false,
            upstream,
            voluntary: None,
        }
    }

    /// Returns whether the charge has a cause.
    pub(super) fn is_due(&self) -> bool {
        self.involuntary || self.ordered || self.voluntary.is_some()
    }
}
