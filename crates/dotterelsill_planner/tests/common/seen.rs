//! Checks of the changes that the stand-in platform has recorded.

use std::collections::BTreeMap;

use dotterelsill_proto::platform::{
    ObserveResponse,
    OrderKind, //
};

use super::FLOOR;

pub(crate) const DRAIN: i32 = OrderKind::Drain as i32;
pub(crate) const DETACH: i32 = OrderKind::Detach as i32;
pub(crate) const REBOOT: i32 = OrderKind::Reboot as i32;
pub(crate) const ATTACH: i32 = OrderKind::Attach as i32;

/// Returns the kinds of the orders that each instance has executed. An order that
/// a later planner repeats counts once.
pub(crate) fn steps(seen: &ObserveResponse) -> BTreeMap<String, Vec<i32>> {
    let mut steps = BTreeMap::<String, Vec<i32>>::new();
    for change in &seen.changes {
        let kinds = steps.entry(change.instance.clone()).or_default();
        if kinds.last() != Some(&change.kind) {
            kinds.push(change.kind);
        }
    }
    steps
}

/// Checks that no order was harmful, that no floor was ever broken, and that the
/// tokens of the orders that each instance executed never decrease.
pub(crate) fn check_safe(seen: &ObserveResponse) {
    assert_eq!(seen.harmful, 0, "{seen:?}");
    assert_eq!(seen.pools.len(), 2, "{seen:?}");
    for pool in &seen.pools {
        assert!(pool.least_in_service >= FLOOR, "{seen:?}");
    }
    let mut tokens = BTreeMap::new();
    for change in &seen.changes {
        let last = tokens.insert(&change.instance, change.token).unwrap_or(0);
        assert!(last <= change.token, "{seen:?}");
    }
}
