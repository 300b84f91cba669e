//! All instances, the lagging list and the record.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::{
        Duration,
        Instant as Clock, //
    }, //
};

use dotterelsill_fleet::Stamp;
use dotterelsill_proto::{
    platform::{
        AskResponse,
        Change,
        Instance as Listed,
        ObserveResponse,
        OrderKind, //
    },
    settings::StandinPlatformSettings, //
};
use tonic::Status;

use crate::{
    instance::{
        Instance,
        Times, //
    },
    record::Record, //
};

/// The platform.
pub(crate) struct State {
    instances: BTreeMap<String, Instance>,
    lag: Duration,
    /// Copies of the list with their time, oldest first.
    lists: VecDeque<(Clock, Vec<Listed>)>,
    record: Record,
}

impl State {
    /// Creates the instances of the settings.
    pub(crate) fn new(settings: &StandinPlatformSettings, now: Clock) -> Self {
        let times = Times::new(settings);
        let new = |instance| Instance::new(instance, times);
        let instances = settings.instances.iter();
        let instances = instances.map(|i| (i.name.clone(), new(i)));
        let mut state = Self {
            instances: instances.collect(),
            lag: Duration::from_millis(settings.list_lag_ms.into()),
            lists: VecDeque::new(),
            record: Record::default(),
        };
        state.count(&settings.instances.iter().map(|i| i.pool.clone()).collect());
        state.advance(now);
        state
    }

    /// Returns an instance.
    pub(crate) fn instance(&mut self, name: &str) -> Result<&mut Instance, Status> {
        let missing = || Status::not_found(format!("instance {name:?} does not exist"));
        self.instances.get_mut(name).ok_or_else(missing)
    }

    /// Removes an instance for good.
    pub(crate) fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }

    /// Ends the orders whose time is over and keeps a copy of the list.
    pub(crate) fn advance(&mut self, now: Clock) {
        let mut ended = Vec::new();
        for (name, instance) in &mut self.instances {
            if let Some((work, is_harmful)) = instance.settle(now) {
                ended.push((name.clone(), work, is_harmful));
            }
        }
        for (instance, work, is_harmful) in ended {
            self.record.harmful += u64::from(is_harmful);
            self.record.add(Change {
                instance,
                kind: work.kind.into(),
                token: work.stamp.token.0,
                pool: work.pool,
            });
        }
        self.recount();
        let list = self.instances.values().map(|i| i.listed.clone()).collect();
        self.lists.push_back((now, list));
        while self
            .lists
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.lists.pop_front();
        }
    }

    /// Returns the list as it was before the lag.
    pub(crate) fn list(&self) -> Vec<Listed> {
        self.lists
            .front()
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }

    /// Starts an order and returns when it ends, or `None` if it is overtaken.
    pub(crate) fn start(
        &mut self,
        name: &str,
        kind: OrderKind,
        pool: &str,
        stamp: Stamp,
        now: Clock,
    ) -> Result<Option<Clock>, Status> {
        self.advance(now);
        let instance = self.instance(name)?;
        if !instance.gate.admit(stamp) {
            self.record.overtaken += 1;
            return Ok(None);
        }
        instance.start(kind, pool, stamp, now);
        let ends_at = instance.work.as_ref().map(|work| work.ends_at);
        self.advance(now);
        Ok(ends_at)
    }

    /// Returns whether the order with a stamp took effect, unless its answer is
    /// lost.
    pub(crate) fn end(&mut self, name: &str, stamp: Stamp, now: Clock) -> Result<bool, Status> {
        self.advance(now);
        let instance = self.instance(name)?;
        if let Some(left) = instance.lose_order_answers.checked_sub(1) {
            instance.lose_order_answers = left;
            return Err(Status::unavailable("the answer is lost"));
        }
        Ok(instance.has_carried(stamp))
    }

    /// Answers a question.
    pub(crate) fn ask(
        &mut self,
        name: &str,
        stamp: Stamp,
        now: Clock,
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

    /// Returns what was seen so far.
    pub(crate) fn observe(&mut self) -> ObserveResponse {
        self.record.to_message()
    }

    fn recount(&mut self) {
        let pools = self.instances.values().map(|i| i.listed.pool.clone());
        let pools = pools.filter(|pool| !pool.is_empty());
        // A pool that has lost all its instances counts as well.
        self.count(&pools.chain(self.record.pools()).collect());
    }

    /// Counts the instances in service of the pools given.
    fn count(&mut self, pools: &BTreeSet<String>) {
        for pool in pools {
            let of_pool = self.instances.values().filter(|i| i.listed.pool == *pool);
            let in_service = of_pool.filter(|i| i.is_in_service()).count();
            self.record.count(pool, in_service as u32);
        }
    }
}
