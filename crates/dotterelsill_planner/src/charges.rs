//! Reconciliation of the budgets with the observed state.
//!
//! Movers charge the budgets for voluntary outages. This module charges them for
//! failures and for data centres that operators have excluded, and keeps the
//! stored number of upstreams up to date.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dotterelsill_fleet::{
    BudgetError,
    BudgetRecord,
    Instance,
    Service,
    Stamp,
    Step,
    Token,
    Upstream,
    Versioned, //
};
use dotterelsill_proto::platform::InstanceState;

use crate::{
    encode::PoolState,
    error::Error,
    fenced_access::{
        Budgets,
        FencedAccess,
        StoredBudget, //
    },
    takeover::create_budget,
    topology::{
        Member,
        Topology, //
    }, //
};

/// Pool records of all instances as read.
pub(crate) type PoolStates = BTreeMap<Instance, Versioned<PoolState>>;

/// States of the instances in the platform's list, which lags behind.
pub(crate) type ListedStates = BTreeMap<Instance, InstanceState>;

/// Reconciles the budgets with the state that the round has read.
#[derive(Clone, Copy)]
pub(crate) struct BudgetReconciler<'a> {
    pub(crate) access: FencedAccess<'a>,
    pub(crate) listed_states: &'a ListedStates,
    /// Instances with a mover. They are not queried here, as the mover does it.
    pub(crate) moving: &'a BTreeSet<Instance>,
    pub(crate) pools: &'a PoolStates,
    pub(crate) topology: &'a Topology,
}

impl BudgetReconciler<'_> {
    /// Brings the budgets up to date and returns them as they were read.
    pub(crate) async fn run(&self) -> Result<Budgets, Error> {
        let budgets = self.access.list_budgets().await?;
        for service in self.topology.services.keys().copied() {
            if !budgets.contains_key(&service) {
                create_budget(self.access, service, self.topology).await?;
            }
        }
        for (service, read) in &budgets {
            self.update(*service, read).await?;
        }
        Ok(budgets)
    }

    /// Writes the budget if it is out of date. After a conflict with a mover's
    /// write, the next round tries again.
    async fn update(&self, service: Service, read: &StoredBudget) -> Result<(), Error> {
        let (record, stored_upstream_count) = read;
        let upstream_count = self.upstream_count(service);
        let recovered = self.recovered(service, &record.value).await?;
        let next_record = self
            .next_record(service, &record.value, upstream_count, &recovered)
            .map_err(|_| Error::Fenced)?;
        if next_record != record.value || upstream_count != *stored_upstream_count {
            let version = record.version;
            let put = self
                .access
                .write_budget(service, &next_record, upstream_count, version);
            put.await?;
        }
        Ok(())
    }

    /// Returns the budget with up-to-date charges and number of upstreams.
    fn next_record(
        &self,
        service: Service,
        record: &BudgetRecord,
        upstream_count: u32,
        recovered: &BTreeSet<Instance>,
    ) -> Result<BudgetRecord, BudgetError> {
        let token = self.access.token();
        let mut next_record = record.set_upstreams(token, upstream_count)?;
        for member in self.members(service) {
            if self.is_unavailable(member) {
                next_record = next_record.set_involuntary(token, member.upstream, true)?;
            }
        }
        for charge in record.charges() {
            if recovered.contains(&charge.upstream.instance) {
                next_record = next_record.set_involuntary(token, charge.upstream, false)?;
            }
        }
        for charge in record.charges() {
            if self.is_gone(charge.upstream.instance) {
                next_record = next_record.remove(token, charge.upstream.instance)?;
            }
        }
        self.apply_exclusions(service, next_record, token)
    }

    /// Charges the upstreams in excluded data centres and clears the charges of
    /// those whose data centre is no longer excluded.
    fn apply_exclusions(
        &self,
        service: Service,
        mut record: BudgetRecord,
        token: Token,
    ) -> Result<BudgetRecord, BudgetError> {
        let is_excluded = |upstream: &_| self.is_excluded(upstream);
        let excluded: Vec<_> = self
            .topology
            .upstreams_of(service)
            .filter(is_excluded)
            .collect();
        record = record.set_ordered(token, &excluded, true)?;
        let charges = record.charges().iter();
        let no_longer_excluded = charges.map(|charge| charge.upstream);
        let no_longer_excluded: Vec<_> = no_longer_excluded
            .filter(|upstream| !self.is_excluded(upstream))
            .collect();
        record.set_ordered(token, &no_longer_excluded, false)
    }

    /// Returns whether an instance no longer exists and its pool record is deleted.
    fn is_gone(&self, instance: Instance) -> bool {
        !self.exists(instance) && !self.pools.contains_key(&instance)
    }

    fn exists(&self, instance: Instance) -> bool {
        self.listed_states.contains_key(&instance) || self.topology.members.contains_key(&instance)
    }

    /// Deletes the pool records of instances that neither the platform nor the
    /// configuration names any more. Their movers then find no record and stop; a
    /// later round removes their charges.
    pub(crate) async fn delete_orphaned_pools(&self) -> Result<(), Error> {
        for (instance, pool) in self.pools {
            if !self.exists(*instance) {
                self.access.delete_pool(*instance, pool.version).await?;
            }
        }
        Ok(())
    }

    fn is_excluded(&self, upstream: &Upstream) -> bool {
        self.topology
            .excluded_data_centres
            .contains(&upstream.data_centre)
    }

    /// Returns whether an upstream in the configuration is known not to serve its
    /// service: it is not listed, has failed or is not in the pool of the service.
    fn is_unavailable(&self, member: &Member) -> bool {
        let instance = member.upstream.instance;
        match self.listed_states.get(&instance) {
            None | Some(InstanceState::Failed) => return true,
            Some(_) => {}
        }
        let record = self.pools.get(&instance).map(|pool| pool.value.record);
        record.is_none_or(|record| record.pool.0 != member.service.0)
    }

    /// Returns the instances with an involuntary charge that are in service again.
    /// They are queried directly, because the list lags behind.
    async fn recovered(
        &self,
        service: Service,
        record: &BudgetRecord,
    ) -> Result<BTreeSet<Instance>, Error> {
        let mut recovered = BTreeSet::new();
        for charge in record.charges().iter().filter(|c| c.involuntary) {
            let instance = charge.upstream.instance;
            let member = self.topology.members.get(&instance);
            let member = member.filter(|member| member.service == service);
            if member.is_none_or(|m| !self.is_unavailable(m))
                && self.is_in_service(instance).await?
            {
                recovered.insert(instance);
            }
        }
        Ok(recovered)
    }

    /// Queries a settled instance; returns `false` if the call fails.
    async fn is_in_service(&self, instance: Instance) -> Result<bool, Error> {
        let Some(pool) = self.pools.get(&instance) else {
            return Ok(false);
        };
        if self.moving.contains(&instance) || pool.value.record.step != Step::Settled {
            return Ok(false);
        }
        let stamp = Stamp {
            token: self.access.token(),
            version: pool.version,
        };
        match self.access.ask(instance, stamp).await {
            Ok(answer) => Ok(answer.admitted && answer.in_service),
            Err(error) if error.ends_leadership() => Err(error),
            Err(_) => Ok(false),
        }
    }

    /// Returns the number of upstreams of a service: those in the configuration and
    /// those still in its pool.
    fn upstream_count(&self, service: Service) -> u32 {
        let named = self.members(service).map(|m| m.upstream.instance);
        let in_pool = self.pools.iter().filter(|(_, pool)| {
            let record = pool.value.record;
            record.pool.0 == service.0
        });
        let mut all: BTreeSet<Instance> = named.collect();
        all.extend(in_pool.map(|(instance, _)| *instance));
        all.len() as u32
    }

    fn members(&self, service: Service) -> impl Iterator<Item = &Member> {
        let members = self.topology.members.values();
        members.filter(move |member| member.service == service)
    }
}
