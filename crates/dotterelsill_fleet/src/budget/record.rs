//! Record of the outages of one service.

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
/// on the version that the old one was read at. Racing takers can therefore
/// not exceed the budget together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BudgetRecord {
    /// Outages, in the order of the instances.
    charges: Vec<Charge>,
    /// Highest token that wrote the record.
    token: Token,
    /// Upstreams that the service is meant to have.
    upstreams: u32,
}

impl BudgetRecord {
    /// Returns a record without charges.
    pub fn new(token: Token, upstreams: u32) -> Self {
        Self {
            charges: Vec::new(),
            token,
            upstreams,
        }
    }

    /// Returns the charges, in the order of the instances.
    pub fn charges(&self) -> &[Charge] {
        &self.charges
    }

    /// Returns the number of instances that are out.
    pub fn outage_count(&self) -> u32 {
        u32::try_from(self.charges.len()).unwrap_or(u32::MAX)
    }

    /// Returns the highest token that wrote the record.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns whether the instance has a voluntary outage.
    pub fn has_voluntary_charge(&self, instance: Instance) -> bool {
        self.charges
            .iter()
            .any(|c| c.upstream.instance == instance && c.voluntary.is_some())
    }

    /// Charges a voluntary outage.
    ///
    /// The result differs from the old record in its version even if the
    /// outage was charged before, so that a clearance prepared by an earlier
    /// taker fails. An instance that is out already is not free: it may return
    /// while the voluntary outage lasts.
    ///
    /// # Errors
    ///
    /// Returns the limit that the outage would exceed, or
    /// [`BudgetError::Fenced`].
    pub fn charge_voluntary(
        &self,
        token: Token,
        limits: &BudgetLimits,
        upstream: Upstream,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        if !self.has_voluntary_charge(upstream.instance) {
            self.check(limits, upstream)?;
        }
        next.change(upstream, |charge| charge.voluntary = Some(token));
        Ok(next)
    }

    /// Clears a voluntary outage.
    ///
    /// Only a [`crate::Mover`] may call this, after it has stamped the pool
    /// record and has seen the instance in service.
    pub(crate) fn clear_voluntary(
        &self,
        token: Token,
        upstream: Upstream,
    ) -> Result<Self, BudgetError> {
        let mut next = self.with_token(token)?;
        next.change(upstream, |charge| charge.voluntary = None);
        Ok(next)
    }

    /// Charges or clears an involuntary outage. Its charge is never refused.
    ///
    /// It is cleared once the instance was seen in service again.
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
        next.change(upstream, |charge| charge.involuntary = out);
        Ok(next)
    }

    /// Charges or clears the outage of a data centre that operators ordered.
    /// Its charge is never refused. `upstreams` are the service's instances in
    /// the data centre.
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
            next.change(*upstream, |charge| charge.ordered = out);
        }
        Ok(next)
    }

    /// Removes an instance that no longer exists, with all its charges.
    ///
    /// The pool record must have been deleted before, so that no mover can
    /// still take the instance out or back in.
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

    /// Stamps the record, so that no planner with a lower token can take from
    /// the budget. A planner does this for every service before it acts.
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

    fn check(&self, limits: &BudgetLimits, upstream: Upstream) -> Result<(), BudgetError> {
        self.check_floor(limits, upstream)?;
        self.check_data_centre(limits, upstream)?;
        self.check_rack(limits, upstream)
    }

    fn check_floor(&self, limits: &BudgetLimits, upstream: Upstream) -> Result<(), BudgetError> {
        let out = self.others(upstream, |_| true) + 1;
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
        let out = self.others(upstream, |other| other.data_centre == data_centre);
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
        let out = self.others(upstream, |other| other.rack == rack);
        let limit = limits.per_rack;
        if out >= limit {
            return RackFullSnafu { limit, out, rack }.fail();
        }
        Ok(())
    }

    fn others(&self, upstream: Upstream, in_domain: impl Fn(&Upstream) -> bool) -> u32 {
        let count = self
            .charges
            .iter()
            .map(|charge| &charge.upstream)
            .filter(|other| other.instance != upstream.instance && in_domain(other))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn change(&mut self, upstream: Upstream, change: impl FnOnce(&mut Charge)) {
        let found = self
            .charges
            .binary_search_by_key(&upstream.instance, |c| c.upstream.instance);
        let index = found.unwrap_or_else(|index| {
            self.charges.insert(index, Charge::new(upstream));
            index
        });
        change(&mut self.charges[index]);
        if !self.charges[index].is_due() {
            self.charges.remove(index);
        }
    }
}
