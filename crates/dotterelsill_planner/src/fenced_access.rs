//! Access of the leader to the store and the platform, fenced by its lease.

use std::{
    collections::BTreeMap,
    time::{
        Instant,
        SystemTime, //
    }, //
};

use dotterelsill_fleet::{
    BudgetRecord,
    Instance,
    Order,
    Service,
    Stamp,
    Token,
    Versioned, //
};
use dotterelsill_proto::platform::{
    AskResponse,
    OrderKind, //
};
use dotterelsill_store::PutResult;
use snafu::{
    ensure,
    OptionExt,
    ResultExt, //
};

use crate::{
    encode::{
        decode_budget,
        decode_pool,
        encode_budget,
        encode_pool,
        PoolState, //
    },
    error::{
        Error,
        InvalidValueSnafu,
        LeaseExpiredSnafu,
        StoreSnafu, //
    },
    lease::Lease,
    shared::Shared, //
};

/// Prefix of the keys of pool records.
const POOL_PREFIX: &str = "pool/";

/// Prefix of the keys of budgets.
const BUDGET_PREFIX: &str = "budget/";

/// Budget as read, with the number of upstreams stored with it.
pub(crate) type StoredBudget = (Versioned<BudgetRecord>, u32);

/// Budgets of all services as read.
pub(crate) type Budgets = BTreeMap<Service, StoredBudget>;

/// Store and platform calls of the leader.
///
/// Each write and each call to an instance first checks the lease against the
/// current time. A call that is delayed after this check is refused by the store,
/// because the version of the key has changed, or by the instance, which rejects
/// stamps older than the newest one it has seen.
#[derive(Clone, Copy)]
pub(crate) struct FencedAccess<'a> {
    pub(crate) lease: &'a Lease,
    pub(crate) shared: &'a Shared,
}

impl FencedAccess<'_> {
    /// Returns the fencing token of the lease.
    pub(crate) fn token(&self) -> Token {
        self.lease.token
    }

    /// Reads the pool record of an instance.
    pub(crate) async fn read_pool(
        &self,
        instance: Instance,
    ) -> Result<Option<Versioned<PoolState>>, Error> {
        let key = self.pool_key(instance);
        let Some(entry) = self.shared.store.get(&key).await.context(StoreSnafu)? else {
            return Ok(None);
        };
        let value = decode_pool(&entry.value, &self.shared.names);
        let version = entry.version;
        let value = value.context(InvalidValueSnafu { key })?;
        Ok(Some(Versioned { value, version }))
    }

    /// Reads the pool records of all instances.
    pub(crate) async fn list_pools(
        &self,
    ) -> Result<BTreeMap<Instance, Versioned<PoolState>>, Error> {
        let names = &self.shared.names;
        let entries = self.shared.store.list(POOL_PREFIX).await;
        let mut pools = BTreeMap::new();
        for entry in entries.context(StoreSnafu)? {
            let instance = Instance(names.number(entry.key.trim_start_matches(POOL_PREFIX)));
            let version = entry.version;
            let value = decode_pool(&entry.value, names);
            let value = value.context(InvalidValueSnafu { key: entry.key })?;
            pools.insert(instance, Versioned { value, version });
        }
        Ok(pools)
    }

    /// Writes a pool record if its key still has the expected version.
    pub(crate) async fn write_pool(
        &self,
        instance: Instance,
        state: &PoolState,
        expected_version: u64,
    ) -> Result<PutResult, Error> {
        let value = encode_pool(state, &self.shared.names);
        self.put(&self.pool_key(instance), value, expected_version)
            .await
    }

    /// Deletes a pool record if its key still has the given version.
    pub(crate) async fn delete_pool(&self, instance: Instance, version: u64) -> Result<(), Error> {
        self.ensure_lease_held()?;
        let key = self.pool_key(instance);
        let deleted = self.shared.store.delete(&key, version).await;
        deleted.context(StoreSnafu)?;
        Ok(())
    }

    /// Reads the budget of a service.
    pub(crate) async fn read_budget(
        &self,
        service: Service,
    ) -> Result<Option<StoredBudget>, Error> {
        let key = self.budget_key(service);
        let Some(entry) = self.shared.store.get(&key).await.context(StoreSnafu)? else {
            return Ok(None);
        };
        let value = decode_budget(&entry.value, &self.shared.names);
        let version = entry.version;
        let (value, upstreams) = value.context(InvalidValueSnafu { key })?;
        Ok(Some((Versioned { value, version }, upstreams)))
    }

    /// Reads the budgets of all services, including services that the
    /// configuration no longer names.
    pub(crate) async fn list_budgets(&self) -> Result<Budgets, Error> {
        let names = &self.shared.names;
        let entries = self.shared.store.list(BUDGET_PREFIX).await;
        let mut budgets = Budgets::new();
        for entry in entries.context(StoreSnafu)? {
            let service = Service(names.number(entry.key.trim_start_matches(BUDGET_PREFIX)));
            let version = entry.version;
            let value = decode_budget(&entry.value, names);
            let (value, upstreams) = value.context(InvalidValueSnafu { key: entry.key })?;
            budgets.insert(service, (Versioned { value, version }, upstreams));
        }
        Ok(budgets)
    }

    /// Writes the budget of a service if its key still has the expected version.
    pub(crate) async fn write_budget(
        &self,
        service: Service,
        record: &BudgetRecord,
        upstreams: u32,
        expected_version: u64,
    ) -> Result<PutResult, Error> {
        let value = encode_budget(record, upstreams, &self.shared.names);
        self.put(&self.budget_key(service), value, expected_version)
            .await
    }

    /// Sends an order to an instance and returns whether it took effect.
    pub(crate) async fn order(
        &self,
        instance: Instance,
        order: Order,
        stamp: Stamp,
    ) -> Result<bool, Error> {
        self.ensure_lease_held()?;
        let names = &self.shared.names;
        let (kind, pool) = match order {
            Order::Drain(pool) => (OrderKind::Drain, names.name(pool.0)),
            Order::Detach(pool) => (OrderKind::Detach, names.name(pool.0)),
            Order::Attach(pool) => (OrderKind::Attach, names.name(pool.0)),
            Order::Maintain => (OrderKind::Reboot, String::new()),
        };
        let instance = names.name(instance.0);
        self.shared
            .platform
            .order(&instance, kind, pool, stamp)
            .await
    }

    /// Queries the current state of an instance, which the platform's list may not
    /// show yet.
    pub(crate) async fn ask(&self, instance: Instance, stamp: Stamp) -> Result<AskResponse, Error> {
        self.ensure_lease_held()?;
        let instance = self.shared.names.name(instance.0);
        self.shared.platform.ask(&instance, stamp).await
    }

    /// Returns an error if the lease may have expired.
    pub(crate) fn ensure_lease_held(&self) -> Result<(), Error> {
        ensure!(self.lease.is_held(Instant::now()), LeaseExpiredSnafu);
        Ok(())
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
    ) -> Result<PutResult, Error> {
        self.ensure_lease_held()?;
        let put = self.shared.store.put(key, value, expected_version, 0).await;
        put.context(StoreSnafu)
    }

    fn pool_key(&self, instance: Instance) -> String {
        format!("{POOL_PREFIX}{}", self.shared.names.name(instance.0))
    }

    fn budget_key(&self, service: Service) -> String {
        format!("{BUDGET_PREFIX}{}", self.shared.names.name(service.0))
    }
}

/// Returns the current time in milliseconds since the epoch.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
