//! Limits of a budget.

/// Limits of the voluntary outages of a service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BudgetLimits {
    /// Share of the service's upstreams that stays in service, in percent.
    pub floor_percent: u32,
    /// Instances that may be out in one data centre.
    pub per_data_centre: u32,
    /// Instances that may be out in one rack.
    pub per_rack: u32,
}

impl BudgetLimits {
    /// Returns how many of `upstreams` must stay in service, rounded up.
    pub fn floor(&self, upstreams: u32) -> u32 {
        let product = u64::from(upstreams) * u64::from(self.floor_percent.min(100));
        u32::try_from(product.div_ceil(100)).unwrap_or(u32::MAX)
    }
}
