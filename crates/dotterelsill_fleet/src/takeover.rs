//! Takeover by a planner that has acquired the lease.

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

/// Action that the driver performs on the budget of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverAction {
    /// Read the budget record.
    Read,
    /// Stop, because a planner with a higher token is in charge.
    Stop,
    /// Write the budget record.
    Write(Write<BudgetRecord>),
}

/// Result of a [`TakeoverAction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverEvent {
    /// The write was rejected, or the response to the read or write was lost.
    Retry,
    /// The record was read.
    Read(Versioned<BudgetRecord>),
    /// The write took effect.
    Written {
        /// Version that the write expected.
        expected_version: u64,
    },
}

/// Writes the token of a new planner to the budgets of all services.
///
/// Planners with lower tokens can then no longer charge outages. They may still
/// record a move whose outage they charged before;
/// [`Takeover::instances_to_resume`] returns those instances, and the movers
/// that resume them write the new token to their pool records.
#[derive(Clone, Debug)]
pub struct Takeover {
    charged_instances: BTreeSet<Instance>,
    is_fenced: bool,
    pending: BTreeMap<Service, TakeoverAction>,
    token: Token,
}

impl Takeover {
    /// Creates the takeover of `services`. The driver first performs
    /// [`TakeoverAction::Read`] for each of them.
    pub fn new(token: Token, services: impl IntoIterator<Item = Service>) -> Self {
        let read = |service| (service, TakeoverAction::Read);
        Self {
            charged_instances: BTreeSet::new(),
            is_fenced: false,
            pending: services.into_iter().map(read).collect(),
            token,
        }
    }

    /// Processes a result for a service and returns the next action for it, or
    /// `None` if the service is done or the result is late or repeated.
    pub fn on_event(&mut self, service: Service, event: TakeoverEvent) -> Option<TakeoverAction> {
        let pending = self.pending.get(&service)?;
        let action = match (pending, event) {
            (TakeoverAction::Read, TakeoverEvent::Read(read)) => self.on_read(&read),
            (TakeoverAction::Write(write), TakeoverEvent::Written { expected_version })
                if write.expected_version == expected_version =>
            {
                let instances = voluntary_instances(&write.value);
                self.charged_instances.extend(instances);
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

    /// Returns whether all budgets have the new token. The planner must not start
    /// a mover before that.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether a planner with a higher token was found.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the instances whose moves must be resumed: those with a charged
    /// voluntary outage and those with a move in progress. `pools` are the pool
    /// records, read after the takeover was complete.
    ///
    /// # Panics
    ///
    /// Panics if the takeover is not complete, because a move could be missed.
    pub fn instances_to_resume<'a>(
        &self,
        pools: impl IntoIterator<Item = (Instance, &'a PoolRecord)>,
    ) -> BTreeSet<Instance> {
        assert!(self.is_complete(), "not all budgets have the new token yet");
        let is_moving = |(_, record): &(Instance, &PoolRecord)| record.step != Step::Settled;
        let moving = pools.into_iter().filter(is_moving);
        let mut resume = self.charged_instances.clone();
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

fn voluntary_instances(record: &BudgetRecord) -> impl Iterator<Item = Instance> + '_ {
    let charges = record.charges().iter().filter(|c| c.voluntary.is_some());
    charges.map(|charge| charge.upstream.instance)
}
