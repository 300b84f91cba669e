//! Record of the pool of one instance.

use crate::{
    Pool,
    Token, //
};

/// Way of an instance from its pool to the next, or back to the same one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// Whether the instance is maintained while it is in no pool.
    pub maintain: bool,
    /// Pool to attach to.
    pub to: Pool,
}

/// Step of a move.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The instance is in no pool and is being attached.
    Attach {
        /// Pool to attach to.
        to: Pool,
    },
    /// The instance gets no new work and finishes the work it has.
    ConfirmEmpty(Route),
    /// The instance is empty and is being detached.
    Detach(Route),
    /// The instance is being told to accept no new work.
    Drain(Route),
    /// The instance is in no pool and is being updated or rebooted.
    Maintain {
        /// Pool to attach to later.
        to: Pool,
    },
    /// No move is in progress.
    Settled,
}

/// Pool of one instance and the step of its move.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PoolRecord {
    /// Pool of the instance, or the pool it leaves while a move is in progress.
    pub pool: Pool,
    /// Step that is in progress.
    pub step: Step,
    /// Token under which the step was recorded.
    pub token: Token,
}

impl PoolRecord {
    /// Returns the record of the step that follows, given that this one took
    /// effect. A settled record stays as it is.
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

    /// Returns the record under another token.
    pub fn with_token(&self, token: Token) -> Self {
        Self { token, ..*self }
    }
}
