//! Rounds of the planner in charge.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::Future,
    pin::Pin,
    time::Instant as Clock, //
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
    acting::{
        Acting,
        Budgets, //
    },
    charges::{
        Listed,
        Pools,
        Review, //
    },
    encode::PoolState,
    error::Error,
    maintenance::{
        Maintained,
        Maintenance, //
    },
    takeover,
    text,
    topology::{
        self,
        Topology, //
    }, //
};

type Driven<'a> = Pin<Box<dyn Future<Output = (Instance, Result<Outcome, Error>)> + Send + 'a>>;

/// Move that is in progress.
#[derive(Clone, Copy)]
pub(crate) struct Moving {
    pub(crate) goal: Goal,
    pub(crate) since: Clock,
}

/// State of the planner in charge.
pub(crate) struct Lead<'a> {
    pub(crate) acting: Acting<'a>,
    pub(crate) budgets: Budgets,
    pub(crate) listed: Listed,
    pub(crate) maintenance: Maintenance,
    pub(crate) maintained: Maintained,
    pub(crate) movers: FuturesUnordered<Driven<'a>>,
    pub(crate) moving: BTreeMap<Instance, Moving>,
    pub(crate) pools: Pools,
    pub(crate) topology: Topology,
    pub(crate) waits: BTreeMap<Instance, Outcome>,
}

/// Acts until the lease may have ended or another planner is in charge.
pub(crate) async fn run(acting: Acting<'_>) -> Result<(), Error> {
    let topology = first_topology(acting).await?;
    let takeover = takeover::run(acting, &topology).await?;
    let mut lead = Lead {
        acting,
        budgets: BTreeMap::new(),
        listed: Listed::new(),
        maintenance: Maintenance::new(&acting.shared.settings),
        maintained: Maintained::new(),
        movers: FuturesUnordered::new(),
        moving: BTreeMap::new(),
        pools: Pools::new(),
        topology,
        waits: BTreeMap::new(),
    };
    let mut takeover = Some(takeover);
    loop {
        acting.check()?;
        match lead.round(&mut takeover).await {
            Err(error) if error.ends_lead() => return Err(error),
            Err(error) => log::warn!(error:%; "round_failed"),
            Ok(()) => {}
        }
        acting.shared.view.set(Some(text::texts(&lead)));
        lead.take_outcomes().await?;
    }
}

async fn first_topology(acting: Acting<'_>) -> Result<Topology, Error> {
    loop {
        acting.check()?;
        match topology::read(acting.shared, 0).await {
            Ok(Some(topology)) => return Ok(topology),
            Ok(None) => {}
            Err(error) => log::warn!(error:%; "configuration_not_read"),
        }
        Timer::after(acting.shared.settings.tick).await;
    }
}

impl<'a> Lead<'a> {
    /// Reads everything anew, updates the budgets and starts what is due.
    async fn round(&mut self, takeover: &mut Option<Takeover>) -> Result<(), Error> {
        let shared = self.acting.shared;
        match topology::read(shared, self.topology.revision).await {
            Ok(Some(topology)) => self.topology = topology,
            Ok(None) => {}
            // The last configuration stays in use, as the store may be down.
            Err(error) => log::warn!(error:%; "configuration_not_read"),
        }
        self.pools = self.acting.list_pools().await?;
        self.read_platform().await?;
        let moving: BTreeSet<Instance> = self.moving.keys().copied().collect();
        let review = Review {
            acting: self.acting,
            listed: &self.listed,
            moving: &moving,
            pools: &self.pools,
            topology: &self.topology,
        };
        review.forget().await?;
        self.budgets = review.run().await?;
        if let Some(takeover) = takeover.take() {
            let pools = self.pools.iter().map(|(i, p)| (*i, &p.value.record));
            for instance in takeover.instances_to_resume(pools) {
                self.start(instance, Goal::Resume);
            }
        }
        self.report_failures();
        self.start_moves();
        self.start_maintenance();
        Ok(())
    }

    async fn read_platform(&mut self) -> Result<(), Error> {
        let names = &self.acting.shared.names;
        let instances = self.acting.shared.platform.list().await?;
        self.listed.clear();
        self.maintained.clear();
        for listed in &instances {
            let instance = Instance(names.number(&listed.name));
            self.listed.insert(instance, listed.state());
            self.maintained.insert(instance, listed.maintained_unix_ms);
            if !self.pools.contains_key(&instance) && !listed.pool.is_empty() {
                create_record(self.acting, instance, Pool(names.number(&listed.pool))).await?;
            }
        }
        // The list lags, so it may still show the maintenance before the last.
        for (instance, pool) in &self.pools {
            let maintained = self.maintained.entry(*instance).or_default();
            *maintained = pool.value.maintained_unix_ms.max(*maintained);
        }
        Ok(())
    }
}

/// Records the pool that the platform gave to a new instance.
async fn create_record(acting: Acting<'_>, instance: Instance, pool: Pool) -> Result<(), Error> {
    let record = PoolRecord {
        pool,
        step: Step::Settled,
        token: acting.token(),
    };
    let state = PoolState {
        record,
        maintained_unix_ms: 0,
    };
    acting.write_pool(instance, &state, 0).await?;
    Ok(())
}
