//! Start of a planner that has become the holder of the lease.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    BudgetRecord,
    Instance,
    PoolRecord,
    Service,
    Step,
    Token,
    Versioned,
    Write, //
};

/// Action of the driver for the budget of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverAction {
    /// Reads the budget record.
    Read,
    /// Stops: a planner with a higher token is in charge.
    Stop,
    /// Writes the budget record.
    Write(Write<BudgetRecord>),
}

/// Answer to a [`TakeoverAction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverEvent {
    /// The write was refused, or its answer or that of the read was lost.
    Retry,
    /// The record was read.
    Read(Versioned<BudgetRecord>),
    /// The write took effect.
    Written {
        /// Version that the write expected.
        expected_version: u64,
    },
}

/// Stamps the budgets of all services under the token of a new planner.
///
/// After that, planners with lower tokens can take no outage. They may still
/// record a move whose outage they took before; [`Takeover::instances_to_resume`] names
/// those instances, and the movers that resume them stamp their pool records.
#[derive(Clone, Debug)]
pub struct Takeover {
    charged: BTreeSet<Instance>,
    is_fenced: bool,
    pending: BTreeMap<Service, TakeoverAction>,
    token: Token,
}

impl Takeover {
    /// Returns the takeover of `services`. The driver begins with a read for
    /// each of them.
    pub fn new(token: Token, services: impl IntoIterator<Item = Service>) -> Self {
        let read = |service| (service, TakeoverAction::Read);
        Self {
            charged: BTreeSet::new(),
            is_fenced: false,
            pending: services.into_iter().map(read).collect(),
            token,
        }
    }

    /// Takes an answer for a service and returns the next action for it, or
    /// `None` if the service is done or the answer is a late or repeated one.
    pub fn on_event(&mut self, service: Service, event: TakeoverEvent) -> Option<TakeoverAction> {
        let pending = self.pending.get(&service)?;
        let action = match (pending, event) {
            (TakeoverAction::Read, TakeoverEvent::Read(read)) => self.on_read(&read),
            (TakeoverAction::Write(write), TakeoverEvent::Written { expected_version })
                if write.expected_version == expected_version =>
            {
                let charged = voluntary(&write.value);
                self.charged.extend(charged);
                self.pending.remove(&service);
                return None;
            }
            (TakeoverAction::Stop, _) => return None,
            (_, TakeoverEvent::Retry) => TakeoverAction::Read,
            _ => return None,
        };
        self.pending.insert(service, action.clone());
        Some(action)
    }

    /// Returns whether all budgets are stamped. Before that, the planner starts
    /// no mover.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether a planner with a higher token was found.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the instances to resume, given the pool records as read after
    /// the takeover was complete.
    ///
    /// # Panics
    ///
    /// Panics if the takeover is not complete: a move could be missed.
    pub fn instances_to_resume<'a>(
        &self,
        pools: impl IntoIterator<Item = (Instance, &'a PoolRecord)>,
    ) -> BTreeSet<Instance> {
        assert!(self.is_complete(), "not all budgets are stamped yet");
        let is_moving = |(_, record): &(Instance, &PoolRecord)| record.step != Step::Settled;
        let moving = pools.into_iter().filter(is_moving);
        let mut resume = self.charged.clone();
        resume.extend(moving.map(|(instance, _)| instance));
        resume
    }

    fn on_read(&mut self, read: &Versioned<BudgetRecord>) -> TakeoverAction {
        match read.value.with_token(self.token) {
            Ok(value) => TakeoverAction::Write(Write {
                expected_version: read.version,
                value,
            }),
            Err(_) => {
                self.is_fenced = true;
                TakeoverAction::Stop
            }
        }
    }
}

fn voluntary(record: &BudgetRecord) -> impl Iterator<Item = Instance> + '_ {
    let taken = record.charges().iter().filter(|c| c.voluntary.is_some());
    taken.map(|charge| charge.upstream.instance)
}
