//! Main loop of the leader.
//!
//! Each round reads the configuration, the pool records and the platform's list,
//! reconciles the budgets and starts moves and maintenance.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::Future,
    pin::Pin,
    time::Instant, //
};

use async_io::Timer;
use dotterelsill_fleet::{
    Goal,
    Instance,
    Outcome,
    Pool,
    PoolRecord,
    Step,
    Takeover, //
};
use futures_util::stream::FuturesUnordered;

use crate::{
    charges::{
        BudgetReconciler,
        ListedStates,
        PoolStates, //
    },
    encode::PoolState,
    error::Error,
    fenced_access::{
        Budgets,
        FencedAccess, //
    },
    maintenance::{
        LastMaintained,
        Maintenance, //
    },
    takeover,
    text,
    topology::{
        self,
        Topology, //
    }, //
};

type MoverFuture<'a> =
    Pin<Box<dyn Future<Output = (Instance, Result<Outcome, Error>)> + Send + 'a>>;

/// Move or maintenance of one instance that a mover is carrying out.
#[derive(Clone, Copy)]
pub(crate) struct ActiveMove {
    pub(crate) goal: Goal,
    /// When the mover was started.
    pub(crate) since: Instant,
}

/// State of the leader between rounds.
pub(crate) struct Leader<'a> {
    pub(crate) access: FencedAccess<'a>,
    /// Budgets as read by the last round.
    pub(crate) budgets: Budgets,
    pub(crate) listed_states: ListedStates,
    pub(crate) maintenance: Maintenance,
    pub(crate) last_maintained: LastMaintained,
    pub(crate) movers: FuturesUnordered<MoverFuture<'a>>,
    pub(crate) active_moves: BTreeMap<Instance, ActiveMove>,
    pub(crate) pools: PoolStates,
    pub(crate) topology: Topology,
    /// Outcomes of movers that stopped before their instance was settled.
    pub(crate) unsettled: BTreeMap<Instance, Outcome>,
}

/// Runs rounds until the lease may have expired or another planner has taken
/// over.
pub(crate) async fn run(access: FencedAccess<'_>) -> Result<(), Error> {
    let topology = wait_for_topology(access).await?;
    let takeover = takeover::run(access, &topology).await?;
    let mut leader = Leader {
        access,
        budgets: BTreeMap::new(),
        listed_states: ListedStates::new(),
        maintenance: Maintenance::new(&access.shared.settings),
        last_maintained: LastMaintained::new(),
        movers: FuturesUnordered::new(),
        active_moves: BTreeMap::new(),
        pools: PoolStates::new(),
        topology,
        unsettled: BTreeMap::new(),
    };
    let mut takeover = Some(takeover);
    loop {
        access.ensure_lease_held()?;
        match leader.round(&mut takeover).await {
            Err(error) if error.ends_leadership() => return Err(error),
            Err(error) => log::warn!(error:%; "round_failed"),
            Ok(()) => {}
        }
        access.shared.view.set(Some(text::texts(&leader)));
        leader.collect_outcomes().await?;
    }
}

/// Reads the configuration, and retries until there is one.
async fn wait_for_topology(access: FencedAccess<'_>) -> Result<Topology, Error> {
    loop {
        access.ensure_lease_held()?;
        match topology::read(access.shared, 0).await {
            Ok(Some(topology)) => return Ok(topology),
            Ok(None) => {}
            Err(error) => log::warn!(error:%; "configuration_not_read"),
        }
        Timer::after(access.shared.settings.tick).await;
    }
}

impl<'a> Leader<'a> {
    /// Reads the current state, reconciles the budgets and starts the moves and
    /// the maintenance that are due. The first round also resumes the moves that
    /// the previous leader left unfinished.
    async fn round(&mut self, takeover: &mut Option<Takeover>) -> Result<(), Error> {
        let shared = self.access.shared;
        match topology::read(shared, self.topology.revision).await {
            Ok(Some(topology)) => self.topology = topology,
            Ok(None) => {}
            // The store may be down, so the last configuration stays in use.
            Err(error) => log::warn!(error:%; "configuration_not_read"),
        }
        self.pools = self.access.list_pools().await?;
        self.read_platform().await?;
        let moving: BTreeSet<Instance> = self.active_moves.keys().copied().collect();
        let reconciler = BudgetReconciler {
            access: self.access,
            listed_states: &self.listed_states,
            moving: &moving,
            pools: &self.pools,
            topology: &self.topology,
        };
        reconciler.delete_orphaned_pools().await?;
        self.budgets = reconciler.run().await?;
        if let Some(takeover) = takeover.take() {
            let pools = self.pools.iter().map(|(i, p)| (*i, &p.value.record));
            for instance in takeover.instances_to_resume(pools) {
                self.start(instance, Goal::Resume);
            }
        }
        self.update_failures();
        self.start_moves();
        self.start_maintenance();
        Ok(())
    }

    /// Reads the platform's list, and creates pool records for new instances.
    async fn read_platform(&mut self) -> Result<(), Error> {
        let names = &self.access.shared.names;
        let instances = self.access.shared.platform.list().await?;
        self.listed_states.clear();
        self.last_maintained.clear();
        for listed in &instances {
            let instance = Instance(names.number(&listed.name));
            self.listed_states.insert(instance, listed.state());
            self.last_maintained
                .insert(instance, listed.maintained_unix_ms);
            if !self.pools.contains_key(&instance) && !listed.pool.is_empty() {
                create_pool_record(self.access, instance, Pool(names.number(&listed.pool))).await?;
            }
        }
        // The list lags behind and may not show the last maintenance yet.
        for (instance, pool) in &self.pools {
            let last_maintained = self.last_maintained.entry(*instance).or_default();
            *last_maintained = pool.value.maintained_unix_ms.max(*last_maintained);
        }
        Ok(())
    }
}

/// Records the pool that the platform assigned to a new instance.
async fn create_pool_record(
    access: FencedAccess<'_>,
    instance: Instance,
    pool: Pool,
) -> Result<(), Error> {
    let record = PoolRecord {
        pool,
        step: Step::Settled,
        token: access.token(),
    };
    let state = PoolState {
        record,
        maintained_unix_ms: 0,
    };
    access.write_pool(instance, &state, 0).await?;
    Ok(())
}
