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
    BudgetRule,
    Goal,
    Instance,
    Mover,
    Outcome,
    Pool,
    PoolRecord,
    Service,
    Step,
    Takeover,
    Upstream, //
};
use dotterelsill_proto::platform::InstanceState;
use futures_lite::{
    FutureExt as _,
    StreamExt as _, //
};
use futures_util::stream::FuturesUnordered;

use crate::{
    acting::{
        unix_ms,
        Acting,
        BudgetRead, //
    },
    charges::{
        Listed,
        Pools,
        Review, //
    },
    drive::drive,
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

/// Limits for moves of instances whose service is no longer in the text. Such
/// moves are finished only.
const NO_OUTAGES: BudgetRule = BudgetRule {
    floor_percent: 100,
    per_data_centre: 0,
    per_rack: 0,
};

type Driven<'a> = Pin<Box<dyn Future<Output = (Instance, Result<Outcome, Error>)> + Send + 'a>>;

/// Move that is in progress.
#[derive(Clone, Copy)]
pub(crate) struct Moving {
    pub(crate) goal: Goal,
    since: Clock,
}

/// State of the planner in charge.
pub(crate) struct Lead<'a> {
    pub(crate) acting: Acting<'a>,
    pub(crate) budgets: BTreeMap<Service, BudgetRead>,
    pub(crate) listed: Listed,
    pub(crate) maintenance: Maintenance,
    pub(crate) maintained: Maintained,
    movers: FuturesUnordered<Driven<'a>>,
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
        self.budgets = Review {
            acting: self.acting,
            listed: &self.listed,
            moving: &moving,
            pools: &self.pools,
            topology: &self.topology,
        }
        .run()
        .await?;
        if let Some(takeover) = takeover.take() {
            let pools = self.pools.iter().map(|(i, p)| (*i, &p.value.record));
            for instance in takeover.to_resume(pools) {
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
                self.create_record(instance, Pool(names.number(&listed.pool)))
                    .await?;
            }
        }
        // The list lags, so it may still show the maintenance before the last.
        for (instance, pool) in &self.pools {
            let maintained = self.maintained.entry(*instance).or_default();
            *maintained = pool.value.maintained_unix_ms.max(*maintained);
        }
        Ok(())
    }

    /// Records the pool that the platform gave to a new instance.
    async fn create_record(&self, instance: Instance, pool: Pool) -> Result<(), Error> {
        let record = PoolRecord {
            pool,
            step: Step::Settled,
            token: self.acting.token(),
        };
        let state = PoolState {
            record,
            maintained_unix_ms: 0,
        };
        self.acting.write_pool(instance, &state, 0).await?;
        Ok(())
    }

    /// Tells the maintenance which instances have failed or returned.
    fn report_failures(&mut self) {
        let now = Clock::now();
        let settings = &self.acting.shared.settings;
        let watch_ms = settings.wave.watch.as_millis() as u64;
        let now_unix_ms = unix_ms();
        for (instance, state) in &self.listed {
            let maintained = self.maintained.get(instance).copied().unwrap_or(0);
            let is_watched = now_unix_ms.saturating_sub(maintained) <= watch_ms;
            let moving = self.moving.get(instance);
            let is_late = moving.is_some_and(|m| now >= m.since + settings.move_limit);
            let has_failed = *state == InstanceState::Failed;
            if is_late || has_failed && (moving.is_some() || is_watched) {
                self.maintenance.on_failed(*instance, now);
            } else if moving.is_none() && !has_failed {
                self.maintenance.on_recovered(*instance, now);
            }
        }
    }

    /// Starts the moves of instances that the text gives to another service.
    fn start_moves(&mut self) {
        let members = self.topology.members.values();
        let is_elsewhere = |instance: &Instance, service: Service| {
            let record = self.pools.get(instance).map(|pool| pool.value.record);
            record.is_some_and(|r| r.step == Step::Settled && r.pool.0 != service.0)
        };
        let elsewhere: Vec<_> = members
            .map(|member| (member.upstream.instance, member.service))
            .filter(|(instance, service)| is_elsewhere(instance, *service))
            .collect();
        for (instance, service) in elsewhere {
            self.start(instance, Goal::Move(Pool(service.0)));
        }
    }

    fn start_maintenance(&mut self) {
        let now = Clock::now();
        let is_resuming = self.moving.values().any(|m| m.goal == Goal::Resume);
        if !is_resuming {
            self.maintenance
                .advance(now, unix_ms(), &self.topology, &self.maintained);
        }
        while let Some(instance) = self.maintenance.next(now) {
            let is_free = !self.moving.contains_key(&instance);
            if is_free && self.topology.members.contains_key(&instance) {
                self.start(instance, Goal::Maintain);
            } else {
                self.maintenance.on_settled(instance, now);
            }
        }
    }

    /// Starts a mover unless the instance has one.
    fn start(&mut self, instance: Instance, goal: Goal) {
        if self.moving.contains_key(&instance) {
            return;
        }
        let Some((service, upstream)) = self.locate(instance) else {
            return;
        };
        let rule = self.topology.services.get(&service);
        let rule = rule.map_or(NO_OUTAGES, |service| service.rule);
        let acting = self.acting;
        let mover = Mover::new(acting.token(), upstream, goal, rule);
        let since = Clock::now();
        self.moving.insert(instance, Moving { goal, since });
        self.movers.push(Box::pin(async move {
            let result = drive(acting, instance, service, mover).await;
            (instance, result)
        }));
    }

    /// Returns the service whose budget has the charge of an instance, or else
    /// the one that it is in the pool of.
    fn locate(&self, instance: Instance) -> Option<(Service, Upstream)> {
        for (service, (budget, _)) in &self.budgets {
            let mut charges = budget.value.charges().iter();
            let is_own = |c: &&_| is_voluntary(c, instance);
            if let Some(charge) = charges.find(is_own) {
                return Some((*service, charge.upstream));
            }
        }
        let member = self.topology.members.get(&instance)?;
        let pool = self.pools.get(&instance)?.value.record.pool;
        Some((Service(pool.0), member.upstream))
    }

    /// Takes the outcomes of movers until the next round.
    async fn take_outcomes(&mut self) -> Result<(), Error> {
        let until = Clock::now() + self.acting.shared.settings.tick;
        loop {
            let over = async {
                Timer::at(until).await;
                None
            };
            let outcome = async {
                match self.movers.next().await {
                    Some(outcome) => Some(outcome),
                    None => std::future::pending().await,
                }
            };
            let Some((instance, result)) = outcome.or(over).await else {
                return Ok(());
            };
            self.on_outcome(instance, result?)?;
        }
    }

    fn on_outcome(&mut self, instance: Instance, outcome: Outcome) -> Result<(), Error> {
        let moving = self.moving.remove(&instance);
        let is_maintenance = moving.is_some_and(|m| m.goal == Goal::Maintain);
        self.waits.remove(&instance);
        match outcome {
            Outcome::Fenced => return Err(Error::Fenced),
            Outcome::Waits(error) if is_maintenance => {
                self.maintenance.on_refused(instance, error);
            }
            Outcome::Settled(_) | Outcome::Missing if is_maintenance => {
                self.maintenance.on_settled(instance, Clock::now());
            }
            Outcome::Waits(_) | Outcome::Settled(_) | Outcome::Missing => {}
        }
        if !matches!(outcome, Outcome::Settled(_)) {
            self.waits.insert(instance, outcome);
        }
        Ok(())
    }
}

fn is_voluntary(charge: &dotterelsill_fleet::Charge, instance: Instance) -> bool {
    charge.upstream.instance == instance && charge.voluntary.is_some()
}
