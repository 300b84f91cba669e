//! Record of the outages of one service, stored as one value.

use super::{
    error::{
        DataCentreFullSnafu,
        FencedSnafu,
        FloorSnafu,
        RackFullSnafu, //
    },
    BudgetError,
    BudgetLimits,
    Charge, //
};
use crate::{
    Instance,
    Token,
    Upstream, //
};

/// Outages charged to one service.
///
/// All changes return a new record, which the driver writes by compare-and-swap
/// against the version at which the old one was read. Concurrent changes can
/// therefore not exceed the budget together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BudgetRecord {
    /// Charges, sorted by instance.
    charges: Vec<Charge>,
    /// Token of the planner that last wrote the record, which is the highest.
    token: Token,
    /// Number of upstreams that the service is meant to have.
    upstreams: u32,
}

impl BudgetRecord {
    /// Creates a record without charges.
    pub fn new(token: Token, upstreams: u32) -> Self {
        Self {
            charges: Vec::new(),
            token,
            upstreams,
        }
    }

    /// Returns the charges, sorted by instance.
    pub fn charges(&self) -> &[Charge] {
        &self.charges
    }

    /// Returns the number of instances that are out, for any cause.
    pub fn outage_count(&self) -> u32 {
        u32::try_from(self.charges.len()).unwrap_or(u32::MAX)
    }

    /// Returns the token of the planner that last wrote the record, which is the
    /// highest.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns whether a voluntary outage of the instance is charged.
    pub fn has_voluntary_charge(&self, instance: Instance) -> bool {
        self.charges
            .iter()
            .any(|c| c.upstream.instance == instance && c.voluntary.is_some())
    }

    /// Charges a voluntary outage.
    ///
    /// The result must be written even if the outage was charged before: the write
    /// changes the version, so a clearance prepared by an earlier planner fails.
    /// The limits are also checked for an instance that is already out for another
    /// cause, because that cause may end while the voluntary outage lasts.
    ///
    /// # Errors
    ///
    /// Returns the limit that the outage would exceed, or
    /// [`BudgetError::Fenced`] if the record has a higher token.
    pub fn charge_voluntary(
        &self,
        token: Token,
        limits: &BudgetLimits,
        upstream: Upstream,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        if !self.has_voluntary_charge(upstream.instance) {
            self.check_limits(limits, upstream)?;
        }
        next.update_charge(upstream, |charge| charge.voluntary = Some(token));
        Ok(next)
    }

    /// Clears a voluntary outage.
    ///
    /// Only a [`crate::Mover`] may call this, after it has written its token to the
    /// pool record and has seen the instance in service.
    pub(crate) fn clear_voluntary(
        &self,
        token: Token,
        upstream: Upstream,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        next.update_charge(upstream, |charge| charge.voluntary = None);
        Ok(next)
    }

    /// Charges or clears an involuntary outage. No limit is checked.
    ///
    /// The caller clears it once the instance was seen in service again.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError::Fenced`] if the record has a higher token.
    pub fn set_involuntary(
        &self,
        token: Token,
        upstream: Upstream,
        out: bool,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        next.update_charge(upstream, |charge| charge.involuntary = out);
        Ok(next)
    }

    /// Charges or clears the outage of a data centre that operators have excluded.
    /// No limit is checked. `upstreams` are the instances of the service in the
    /// data centre.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError::Fenced`] if the record has a higher token.
    pub fn set_ordered(
        &self,
        token: Token,
        upstreams: &[Upstream],
        out: bool,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        for upstream in upstreams {
            next.update_charge(*upstream, |charge| charge.ordered = out);
        }
        Ok(next)
    }

    /// Removes an instance that no longer exists, with all its charges.
    ///
    /// The pool record must have been deleted before, so that no mover can still
    /// detach or attach the instance.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError::Fenced`] if the record has a higher token.
    pub fn remove(&self, token: Token, instance: Instance) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        next.charges.retain(|c| c.upstream.instance != instance);
        Ok(next)
    }

    /// Sets the number of upstreams that the service is meant to have.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError::Fenced`] if the record has a higher token.
    pub fn set_upstreams(&self, token: Token, upstreams: u32) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        next.upstreams = upstreams;
        Ok(next)
    }

    /// Returns the record with a planner's token, so that planners with lower
    /// tokens can no longer change it. A planner does this for every service
    /// before it acts.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError::Fenced`] if the record has a higher token.
    pub fn with_token(&self, token: Token) -> Result<Self, BudgetError> {
        if self.token > token {
            return FencedSnafu {
                found: self.token,
                own: token,
            }
            .fail();
        }
        let mut next = self.clone();
        next.token = token;
        Ok(next)
    }

    fn check_limits(&self, limits: &BudgetLimits, upstream: Upstream) -> Result<(), BudgetError> {
        self.check_floor(limits, upstream)?;
        self.check_data_centre(limits, upstream)?;
        self.check_rack(limits, upstream)
    }

    fn check_floor(&self, limits: &BudgetLimits, upstream: Upstream) -> Result<(), BudgetError> {
        let out = self.count_others(upstream, |_| true) + 1;
        let left = self.upstreams.saturating_sub(out);
        let floor = limits.floor(self.upstreams);
        if out > self.upstreams || left < floor {
            return FloorSnafu { floor, left }.fail();
        }
        Ok(())
    }

    fn check_data_centre(
        &self,
        limits: &BudgetLimits,
        upstream: Upstream,
    ) -> Result<(), BudgetError> {
        let data_centre = upstream.data_centre;
        let out = self.count_others(upstream, |other| other.data_centre == data_centre);
        let limit = limits.per_data_centre;
        if out >= limit {
            return DataCentreFullSnafu {
                data_centre,
                limit,
                out,
            }
            .fail();
        }
        Ok(())
    }

    fn check_rack(&self, limits: &BudgetLimits, upstream: Upstream) -> Result<(), BudgetError> {
        let rack = upstream.rack;
        let out = self.count_others(upstream, |other| other.rack == rack);
        let limit = limits.per_rack;
        if out >= limit {
            return RackFullSnafu { limit, out, rack }.fail();
        }
        Ok(())
    }

    fn count_others(&self, upstream: Upstream, in_domain: impl Fn(&Upstream) -> bool) -> u32 {
        let count = self
            .charges
            .iter()
            .map(|charge| &charge.upstream)
            .filter(|other| other.instance != upstream.instance && in_domain(other))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn update_charge(&mut self, upstream: Upstream, change: impl FnOnce(&mut Charge)) {
        let found = self
            .charges
            .binary_search_by_key(&upstream.instance, |c| c.upstream.instance);
        let index = found.unwrap_or_else(|index| {
            self.charges.insert(index, Charge::new(upstream));
            index
        });
        change(&mut self.charges[index]);
        if !self.charges[index].has_cause() {
            self.charges.remove(index);
        }
    }
}
