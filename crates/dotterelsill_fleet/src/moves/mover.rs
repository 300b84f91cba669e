//! State machine that moves one instance.

use crate::{
    Action,
    BudgetError,
    BudgetLimits,
    BudgetRecord,
    Event,
    Order,
    Outcome,
    Pool,
    PoolRecord,
    Route,
    Stamp,
    Step,
    Token,
    Upstream,
    Versioned,
    Write, //
};

/// Goal of a mover. A move that is already in progress is finished first,
/// whatever the goal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Goal {
    /// Detach the instance from its pool, maintain it once and attach it again.
    /// If a move is in progress, only that move is finished.
    Maintain,
    /// Move the instance to a pool.
    Move(Pool),
    /// Finish a move in progress and clear a charge that an earlier planner left
    /// behind.
    Resume,
}

/// Move of one instance, performed by one planner.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Mover {
    goal: Goal,
    /// Whether the instance was seen in service under the current record.
    in_service: bool,
    pending: Action,
    record: Option<Versioned<PoolRecord>>,
    limits: BudgetLimits,
    token: Token,
    upstream: Upstream,
}

impl Mover {
    /// Creates a mover of `upstream`. `limits` are the budget limits of its
    /// service.
    pub fn new(token: Token, upstream: Upstream, goal: Goal, limits: BudgetLimits) -> Self {
        Self {
            goal,
            in_service: false,
            pending: Action::ReadPool,
            record: None,
            limits,
            token,
            upstream,
        }
    }

    /// Returns the action that is in progress.
    pub fn pending(&self) -> &Action {
        &self.pending
    }

    /// Processes an event and returns the next action, or `None` if the event does
    /// not belong to the action in progress (a late or repeated response).
    pub fn on_event(&mut self, event: Event) -> Option<Action> {
        let action = match (&self.pending, event) {
            (Action::Stop(_), _) => return None,
            (Action::ReadPool, Event::PoolRead(read)) => self.on_pool_read(read),
            (Action::ReadBudget, Event::BudgetRead(read)) => self.on_budget_read(&read),
            (
                Action::WritePool(write),
                Event::PoolWritten {
                    expected_version,
                    version,
                },
            ) if write.expected_version == expected_version => {
                let value = write.value;
                self.on_record(Versioned { value, version })
            }
            (Action::WriteBudget(write), Event::BudgetWritten { expected_version })
                if write.expected_version == expected_version =>
            {
                self.on_budget_written()
            }
            (Action::Order(_, sent), Event::OrderCompleted(stamp)) if *sent == stamp => {
                self.record_next_step()
            }
            (Action::AskEmpty(sent), Event::Empty(stamp)) if *sent == stamp => {
                self.record_next_step()
            }
            (Action::AskInService(sent), Event::InService(stamp)) if *sent == stamp => {
                self.in_service = true;
                Action::ReadBudget
            }
            (
                Action::WriteBudget(_) | Action::WritePool(_),
                Event::AnswerLost | Event::Conflict | Event::Timeout,
            ) => Action::ReadPool,
            // The instance never confirms an order or query with an outdated
            // stamp. Reading the record again detects that a newer planner has
            // advanced it.
            (Action::AskEmpty(_) | Action::AskInService(_) | Action::Order(..), Event::Timeout) => {
                Action::ReadPool
            }
            (pending, Event::AnswerLost | Event::Timeout) => pending.clone(),
            _ => return None,
        };
        self.pending = action.clone();
        Some(action)
    }

    fn on_pool_read(&mut self, read: Option<Versioned<PoolRecord>>) -> Action {
        match read {
            Some(record) => self.on_record(record),
            None => Action::Stop(Outcome::Missing),
        }
    }

    fn on_record(&mut self, record: Versioned<PoolRecord>) -> Action {
        let value = record.value;
        self.in_service = false;
        self.record = Some(record);
        if value.token > self.token {
            return Action::Stop(Outcome::Fenced);
        }
        if value.step == Step::Settled {
            return Action::ReadBudget;
        }
        if self.goal == Goal::Maintain {
            self.goal = Goal::Resume;
        }
        if value.token < self.token {
            return self.write_pool(value.with_token(self.token));
        }
        let stamp = self.stamp();
        match value.step {
            Step::Drain(_) => Action::Order(Order::Drain(value.pool), stamp),
            Step::ConfirmEmpty(_) => Action::AskEmpty(stamp),
            Step::Detach(_) => Action::Order(Order::Detach(value.pool), stamp),
            Step::Maintain { .. } => Action::Order(Order::Maintain, stamp),
            Step::Attach { to } => Action::Order(Order::Attach(to), stamp),
            Step::Settled => Action::ReadBudget,
        }
    }

    fn on_budget_read(&mut self, read: &Versioned<BudgetRecord>) -> Action {
        let record = self.record().value;
        let budget = &read.value;
        if self.route_to_start().is_some() {
            let charged = budget.charge_voluntary(self.token, &self.limits, self.upstream);
            return write_budget(read.version, charged);
        }
        if !budget.has_voluntary_charge(self.upstream.instance) {
            return Action::Stop(Outcome::Settled(record.pool));
        }
        // If the token were not written first, an earlier planner that made this
        // charge and was paused could still record the drain after the charge is
        // cleared.
        if record.token < self.token {
            return self.write_pool(record.with_token(self.token));
        }
        if !self.in_service {
            return Action::AskInService(self.stamp());
        }
        let cleared = budget.clear_voluntary(self.token, self.upstream);
        write_budget(read.version, cleared)
    }

    fn on_budget_written(&mut self) -> Action {
        let record = self.record().value;
        let Some(route) = self.route_to_start() else {
            return Action::Stop(Outcome::Settled(record.pool));
        };
        self.write_pool(PoolRecord {
            pool: record.pool,
            step: Step::Drain(route),
            token: self.token,
        })
    }

    /// Returns the route of the move to start, if the goal requires a move and
    /// none is in progress.
    fn route_to_start(&self) -> Option<Route> {
        let record = self.record().value;
        if record.step != Step::Settled {
            return None;
        }
        match self.goal {
            Goal::Maintain => Some(Route {
                maintain: true,
                to: record.pool,
            }),
            Goal::Move(to) if to != record.pool => Some(Route {
                maintain: false,
                to,
            }),
            Goal::Move(_) | Goal::Resume => None,
        }
    }

    fn record_next_step(&mut self) -> Action {
        let next = self.record().value.next();
        self.write_pool(next)
    }

    fn write_pool(&self, value: PoolRecord) -> Action {
        Action::WritePool(Write {
            expected_version: self.record().version,
            value,
        })
    }

    fn stamp(&self) -> Stamp {
        Stamp {
            token: self.token,
            version: self.record().version,
        }
    }

    fn record(&self) -> &Versioned<PoolRecord> {
        self.record
            .as_ref()
            .expect("every action that follows the first read has a record")
    }
}

fn write_budget(expected_version: u64, result: Result<BudgetRecord, BudgetError>) -> Action {
    match result {
        Ok(value) => Action::WriteBudget(Write {
            expected_version,
            value,
        }),
        Err(BudgetError::Fenced { .. }) => Action::Stop(Outcome::Fenced),
        Err(error) => Action::Stop(Outcome::BudgetRefused(error)),
    }
}
