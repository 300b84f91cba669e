//! Record of the pool of one instance.

use crate::{
    Pool,
    Token, //
};

/// Step of a move.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// The instance is detached from its old pool and is being attached.
    Attach {
        /// Pool to attach to.
        to: Pool,
    },
    /// The instance gets no new work and finishes the work it has.
    ConfirmEmpty {
        /// Pool to attach to later.
        to: Pool,
    },
    /// The instance is empty and is being detached.
    Detach {
        /// Pool to attach to later.
        to: Pool,
    },
    /// The instance is being told to accept no new work.
    Drain {
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
            Step::Drain { to } => (self.pool, Step::ConfirmEmpty { to }),
            Step::ConfirmEmpty { to } => (self.pool, Step::Detach { to }),
            Step::Detach { to } => (self.pool, Step::Attach { to }),
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
    pub fn under(&self, token: Token) -> Self {
        Self { token, ..*self }
    }
}
