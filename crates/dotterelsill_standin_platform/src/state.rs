//! The instances, the delayed list of them and the record for the observer.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_fleet::Stamp;
use dotterelsill_proto::{
    platform::{
        AskResponse,
        Change,
        Instance as ListedInstance,
        ObserveResponse,
        OrderKind, //
    },
    settings::StandinPlatformSettings, //
};
use tonic::Status;

use crate::{
    instance::{
        Instance,
        StepDurations, //
    },
    record::Record, //
};

/// State of the platform.
pub(crate) struct State {
    instances: BTreeMap<String, Instance>,
    /// Age of the list that callers get.
    lag: Duration,
    /// Snapshots of the list with the time at which they were taken, oldest first.
    snapshots: VecDeque<(Instant, Vec<ListedInstance>)>,
    record: Record,
}

impl State {
    /// Creates the platform with the instances of the settings.
    pub(crate) fn new(settings: &StandinPlatformSettings, now: Instant) -> Self {
        let durations = StepDurations::new(settings);
        let new = |instance| Instance::new(instance, durations);
        let instances = settings.instances.iter();
        let instances = instances.map(|i| (i.name.clone(), new(i)));
        let mut state = Self {
            instances: instances.collect(),
            lag: Duration::from_millis(settings.list_lag_ms.into()),
            snapshots: VecDeque::new(),
            record: Record::default(),
        };
        state.record_pools(&settings.instances.iter().map(|i| i.pool.clone()).collect());
        state.advance(now);
        state
    }

    /// Returns an instance by its name.
    pub(crate) fn instance(&mut self, name: &str) -> Result<&mut Instance, Status> {
        let missing = || Status::not_found(format!("instance {name:?} does not exist"));
        self.instances.get_mut(name).ok_or_else(missing)
    }

    /// Removes an instance permanently.
    pub(crate) fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }

    /// Completes the orders that are due and takes a snapshot of the list.
    pub(crate) fn advance(&mut self, now: Instant) {
        let mut ended = Vec::new();
        for (name, instance) in &mut self.instances {
            if let Some((order, is_harmful)) = instance.complete_due_order(now) {
                ended.push((name.clone(), order, is_harmful));
            }
        }
        for (instance, order, is_harmful) in ended {
            self.record.harmful += u64::from(is_harmful);
            self.record.add(Change {
                instance,
                kind: order.kind.into(),
                token: order.stamp.token.0,
                pool: order.pool,
            });
        }
        self.record_all_pools();
        let list = self.instances.values().map(|i| i.listed.clone()).collect();
        self.snapshots.push_back((now, list));
        while self
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.snapshots.pop_front();
        }
    }

    /// Returns the newest snapshot that is at least as old as the lag, or the oldest
    /// one.
    pub(crate) fn list(&self) -> Vec<ListedInstance> {
        self.snapshots
            .front()
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }

    /// Starts an order and returns when it ends, or `None` if the gate rejects it because
    /// a newer order or query has overtaken it.
    pub(crate) fn start(
        &mut self,
        name: &str,
        kind: OrderKind,
        pool: &str,
        stamp: Stamp,
        now: Instant,
    ) -> Result<Option<Instant>, Status> {
        self.advance(now);
        let instance = self.instance(name)?;
        if !instance.gate.admit(stamp) {
            self.record.overtaken += 1;
            return Ok(None);
        }
        instance.start(kind, pool, stamp, now);
        let ends_at = instance.order.as_ref().map(|order| order.ends_at);
        self.advance(now);
        Ok(ends_at)
    }

    /// Returns whether the order with a stamp was completed, or an error if its answer is
    /// to be lost.
    pub(crate) fn end(&mut self, name: &str, stamp: Stamp, now: Instant) -> Result<bool, Status> {
        self.advance(now);
        let instance = self.instance(name)?;
        if let Some(remaining) = instance.lose_order_answers.checked_sub(1) {
            instance.lose_order_answers = remaining;
            return Err(Status::unavailable("the answer is lost"));
        }
        Ok(instance.has_completed(stamp))
    }

    /// Answers a query of the state of an instance.
    pub(crate) fn ask(
        &mut self,
        name: &str,
        stamp: Stamp,
        now: Instant,
    ) -> Result<AskResponse, Status> {
        self.advance(now);
        let instance = self.instance(name)?;
        if !instance.gate.admit(stamp) {
            self.record.overtaken += 1;
            return Ok(AskResponse::default());
        }
        Ok(AskResponse {
            admitted: true,
            empty: instance.is_empty(now),
            in_service: instance.is_in_service(),
        })
    }

    /// Returns the record so far.
    pub(crate) fn observe(&mut self) -> ObserveResponse {
        self.record.to_message()
    }

    fn record_all_pools(&mut self) {
        let pools = self.instances.values().map(|i| i.listed.pool.clone());
        let pools = pools.filter(|pool| !pool.is_empty());
        // Includes pools that have lost all their instances.
        self.record_pools(&pools.chain(self.record.pools()).collect());
    }

    /// Records the numbers of instances in service of the given pools.
    fn record_pools(&mut self, pools: &BTreeSet<String>) {
        for pool in pools {
            let of_pool = self.instances.values().filter(|i| i.listed.pool == *pool);
            let in_service = of_pool.filter(|i| i.is_in_service()).count();
            self.record.set_in_service(pool, in_service as u32);
        }
    }
}
