//! Model of the store, the instances and the planners for the check of moves and
//! budgets.

pub(crate) mod search;

use dotterelsill_fleet::*;

/// Driver under test. Each one except `Correct` violates one requirement of the
/// crate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Driver {
    AttachBeforeDetach,
    BudgetReturnedWithLease,
    Correct,
    NoFencing,
    UnstampedClearance,
}

/// Actual state of an instance. Bit p of `attached` is set if the instance is
/// attached to pool p.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Node {
    pub(crate) accepting: bool,
    pub(crate) attached: u8,
    pub(crate) busy: bool,
    pub(crate) gate: Gate,
    /// Whether the instance was maintained while it was in a pool or had work.
    pub(crate) maintained_in_use: bool,
    pub(crate) up: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Planner {
    pub(crate) movers: Vec<Mover>,
    pub(crate) token: Token,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ModelState {
    pub(crate) budget: Versioned<BudgetRecord>,
    pub(crate) driver: Driver,
    /// Number of instance failures and excluded data centres that may still occur.
    pub(crate) outages_left: u8,
    /// Number of lost, delayed and duplicated messages that may still occur.
    pub(crate) faults_left: u8,
    /// Message that may still arrive, with the index of its instance.
    pub(crate) delayed: Option<(usize, Action)>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) budget_exceeded: bool,
    pub(crate) planners: Vec<Planner>,
    pub(crate) pools: Vec<Versioned<PoolRecord>>,
    pub(crate) takeovers_left: u8,
}

pub(crate) const LIMITS: BudgetLimits = BudgetLimits {
    floor_percent: 50,
    per_data_centre: 2,
    per_rack: 1,
};

pub(crate) fn upstream(index: usize) -> Upstream {
    let number = u32::try_from(index).expect("a model has few instances");
    Upstream {
        data_centre: DataCentre(0),
        instance: Instance(number),
        rack: Rack(number),
    }
}

impl ModelState {
    /// Creates a state in which instance i is settled in pool i modulo 2. The first
    /// planner has these goals; its movers with the goal `Resume` have already
    /// stopped. Later planners move every instance to pool 0.
    pub(crate) fn new(driver: Driver, goals: &[Goal]) -> Self {
        let pool = |i: usize| Pool(u32::from(i % 2 == 1));
        let settled = |i: usize| PoolRecord {
            pool: pool(i),
            step: Step::Settled,
            token: Token(0),
        };
        let node = |i: usize| Node {
            accepting: true,
            attached: 1 << pool(i).0,
            busy: false,
            gate: Gate::new(),
            maintained_in_use: false,
            up: true,
        };
        let instances = goals.len();
        let count = u32::try_from(instances).expect("a model has few instances");
        let budget = BudgetRecord::new(Token(1), count);
        let mut state = Self {
            budget: versioned(budget),
            driver,
            outages_left: 0,
            faults_left: 0,
            delayed: None,
            nodes: (0..instances).map(node).collect(),
            budget_exceeded: false,
            planners: vec![planner(Token(1), instances, |i| goals[i])],
            pools: (0..instances).map(|i| versioned(settled(i))).collect(),
            takeovers_left: 0,
        };
        for i in (0..instances).filter(|i| goals[*i] == Goal::Resume) {
            state.run_without_faults(0, i);
        }
        state
    }

    /// Runs one mover without faults until it stops or waits for an instance.
    /// 40 iterations are enough for any move.
    pub(crate) fn run_without_faults(&mut self, planner: usize, index: usize) {
        for _ in 0..40 {
            let action = self.planners[planner].movers[index].pending().clone();
            let event = self.perform(index, &action);
            self.deliver(planner, index, &event);
        }
    }

    /// Starts a planner that moves all instances to pool 0. The previous planner is
    /// paused or has crashed and may act again at any time; older ones are removed.
    pub(crate) fn start_planner(&mut self) {
        let last = self.planners.last().expect("the model has a planner").token;
        let token = match self.driver {
            Driver::NoFencing => last,
            _ => Token(last.0 + 1),
        };
        let stamped = match self.driver {
            Driver::BudgetReturnedWithLease => BudgetRecord::new(token, self.upstreams()),
            _ => self
                .budget
                .value
                .with_token(token)
                .expect("the token is higher"),
        };
        self.put_budget(stamped);
        let next = planner(token, self.nodes.len(), |_| Goal::Move(Pool(0)));
        self.planners.push(next);
        if self.planners.len() > 2 {
            self.planners.remove(0);
        }
    }

    /// Performs an action and returns the resulting event.
    pub(crate) fn perform(&mut self, index: usize, action: &Action) -> Event {
        match action {
            Action::ReadBudget => Event::BudgetRead(self.budget.clone()),
            Action::ReadPool => Event::PoolRead(Some(self.pools[index].clone())),
            Action::WriteBudget(write) => self.write_budget(write),
            Action::WritePool(write) => self.write_pool(index, write),
            Action::Order(order, stamp) => self.execute_order(index, *order, *stamp),
            Action::AskEmpty(stamp) => {
                let confirmed = self.is_admitted(index, *stamp) && !self.nodes[index].busy;
                event_if(confirmed, Event::Empty(*stamp))
            }
            Action::AskInService(stamp) => {
                let is_admitted = self.is_admitted(index, *stamp);
                let node = &self.nodes[index];
                let confirmed = is_admitted && node.accepting && node.attached != 0;
                event_if(confirmed, Event::InService(*stamp))
            }
            Action::Stop(_) => Event::Timeout,
        }
    }

    /// Passes an event to a mover twice; the second time must change nothing.
    pub(crate) fn deliver(&mut self, planner: usize, index: usize, event: &Event) {
        let mover = &mut self.planners[planner].movers[index];
        mover.on_event(event.clone());
        if !matches!(event, Event::AnswerLost | Event::Timeout) {
            let repeated = mover.on_event(event.clone());
            assert_eq!(repeated, None, "a duplicated event was processed twice");
        }
    }

    /// Charges or clears an outage that is not voluntary, as the newest planner
    /// would: an excluded data centre for instance 0, a failure for the others.
    pub(crate) fn set_outage(&mut self, index: usize, out: bool) {
        let token = self.budget.value.token();
        let old = &self.budget.value;
        let next = match index {
            0 => old.set_ordered(token, &[upstream(0)], out),
            _ => old.set_involuntary(token, upstream(index), out),
        };
        self.put_budget(next.expect("the token equals that of the record"));
    }

    pub(crate) fn upstreams(&self) -> u32 {
        u32::try_from(self.nodes.len()).expect("a model has few instances")
    }

    fn write_budget(&mut self, write: &Write<BudgetRecord>) -> Event {
        let expected_version = write.expected_version;
        if self.budget.version != expected_version {
            return Event::Conflict;
        }
        let voluntary =
            |b: &BudgetRecord| b.charges().iter().filter(|c| c.voluntary.is_some()).count();
        let charges_more = voluntary(&write.value) > voluntary(&self.budget.value);
        let allowed = self.upstreams() - LIMITS.floor(self.upstreams());
        self.budget_exceeded |= charges_more && write.value.outage_count() > allowed;
        self.put_budget(write.value.clone());
        Event::BudgetWritten { expected_version }
    }

    fn put_budget(&mut self, value: BudgetRecord) {
        self.budget.value = value;
        self.budget.version += 1;
    }

    fn write_pool(&mut self, index: usize, write: &Write<PoolRecord>) -> Event {
        let expected_version = write.expected_version;
        let key = &mut self.pools[index];
        if key.version != expected_version {
            return Event::Conflict;
        }
        let stamps_only = (key.value.step, write.value.step) == (Step::Settled, Step::Settled);
        if self.driver != Driver::UnstampedClearance || !stamps_only {
            key.value = write.value;
            key.version += 1;
        }
        let version = key.version;
        if let (Driver::AttachBeforeDetach, Step::Detach(route)) = (self.driver, write.value.step) {
            self.nodes[index].attached |= 1 << route.to.0;
        }
        Event::PoolWritten {
            expected_version,
            version,
        }
    }

    fn execute_order(&mut self, index: usize, order: Order, stamp: Stamp) -> Event {
        if !self.is_admitted(index, stamp) {
            return Event::Timeout;
        }
        let node = &mut self.nodes[index];
        match order {
            Order::Attach(pool) => {
                node.attached |= 1 << pool.0;
                node.accepting = true;
            }
            Order::Detach(pool) => node.attached &= !(1 << pool.0),
            Order::Drain(_) => node.accepting = false,
            Order::Maintain => node.maintained_in_use |= node.attached != 0 || node.busy,
        }
        Event::OrderCompleted(stamp)
    }

    fn is_admitted(&mut self, index: usize, stamp: Stamp) -> bool {
        let unchecked = self.driver == Driver::NoFencing;
        let node = &mut self.nodes[index];
        node.up && (unchecked || node.gate.admit(stamp))
    }
}

/// Returns a planner with one mover for each instance.
pub(crate) fn planner(token: Token, instances: usize, goal: impl Fn(usize) -> Goal) -> Planner {
    let mover = |i| Mover::new(token, upstream(i), goal(i), LIMITS);
    Planner {
        movers: (0..instances).map(mover).collect(),
        token,
    }
}

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned { value, version: 1 }
}

fn event_if(confirmed: bool, event: Event) -> Event {
    if confirmed {
        event
    } else {
        Event::Timeout
    }
}
