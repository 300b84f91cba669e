//! Identifiers of instances, pools, failure domains and planners.

/// Number of an instance. Numbers are never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instance(pub u32);

/// Number of a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pool(pub u32);

/// Number of a data centre.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DataCentre(pub u32);

/// Number of a rack, unique over all data centres.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rack(pub u32);

/// Number of a service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Service(pub u32);

/// Fencing token of a planner, which increases with each holder of the
/// planners' lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Position of an order among all orders for one instance.
///
/// The version is that of the pool record in which the step was recorded. Later
/// versions of a record never have a lower token, so stamps are ordered by token
/// and then by version.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Token under which the step was recorded.
    pub token: Token,
    /// Version of the pool record.
    pub version: u64,
}

/// Instance and the failure domains that it belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Upstream {
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Number of the instance.
    pub instance: Instance,
    /// Rack of the instance.
    pub rack: Rack,
}
