//! Limits of a budget.

/// Limits that a voluntary outage of a service must keep. Outages of all causes
/// count.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BudgetLimits {
    /// Minimum share of the service's upstreams in service, in percent.
    pub floor_percent: u32,
    /// Maximum number of instances that may be out in one data centre.
    pub per_data_centre: u32,
    /// Maximum number of instances that may be out in one rack.
    pub per_rack: u32,
}

impl BudgetLimits {
    /// Returns how many of `upstreams` must stay in service, rounded up.
    pub fn floor(&self, upstreams: u32) -> u32 {
        let product = u64::from(upstreams) * u64::from(self.floor_percent.min(100));
        u32::try_from(product.div_ceil(100)).unwrap_or(u32::MAX)
    }
}
