//! Record of the pool of one instance.

use crate::{
    Pool,
    Token, //
};

/// Route of a move: the pool to attach to, which may be the current one, and
/// whether the instance is maintained.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// Whether the instance is maintained while it is detached.
    pub maintain: bool,
    /// Pool to attach to.
    pub to: Pool,
}

/// Step of a move. [`PoolRecord::next`] defines the order of the steps.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The instance is in no pool and is being attached.
    Attach {
        /// Pool to attach to.
        to: Pool,
    },
    /// The instance gets no new work and finishes the work in progress.
    ConfirmEmpty(Route),
    /// The instance is empty and is being detached.
    Detach(Route),
    /// The instance is being told to accept no new work.
    Drain(Route),
    /// The instance is in no pool and is being updated or rebooted.
    Maintain {
        /// Pool to attach to after the maintenance.
        to: Pool,
    },
    /// No move is in progress.
    Settled,
}

/// Pool of an instance and the step of its move, as stored.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PoolRecord {
    /// Pool of the instance, or the pool that it leaves while a move is in
    /// progress.
    pub pool: Pool,
    /// Step that is in progress.
    pub step: Step,
    /// Token of the planner that wrote the record.
    pub token: Token,
}

impl PoolRecord {
    /// Returns the record of the following step, to be written after the current
    /// step took effect. A settled record is returned unchanged.
    pub fn next(&self) -> Self {
        let (pool, step) = match self.step {
            Step::Drain(route) => (self.pool, Step::ConfirmEmpty(route)),
            Step::ConfirmEmpty(route) => (self.pool, Step::Detach(route)),
            Step::Detach(Route { maintain: true, to }) => (self.pool, Step::Maintain { to }),
            Step::Detach(Route { to, .. }) | Step::Maintain { to } => {
                (self.pool, Step::Attach { to })
            }
            Step::Attach { to } => (to, Step::Settled),
            Step::Settled => (self.pool, Step::Settled),
        };
        Self {
            pool,
            step,
            token: self.token,
        }
    }

    /// Returns the record with another token.
    pub fn with_token(&self, token: Token) -> Self {
        Self { token, ..*self }
    }
}
