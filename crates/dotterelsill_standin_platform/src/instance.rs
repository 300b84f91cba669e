//! One instance and the order that it executes.

use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use dotterelsill_fleet::{
    Gate,
    Stamp, //
};
use dotterelsill_proto::{
    platform::{
        Instance as ListedInstance,
        InstanceState,
        OrderKind, //
    },
    settings::{
        StandinInstance,
        StandinPlatformSettings, //
    }, //
};

/// Durations of the steps of an instance.
#[derive(Clone, Copy)]
pub(crate) struct StepDurations {
    drain: Duration,
    /// Time from the end of a drain until the instance has no work left.
    empty: Duration,
    detach: Duration,
    attach: Duration,
    reboot: Duration,
}

impl StepDurations {
    /// Reads the durations from the settings.
    pub(crate) fn new(settings: &StandinPlatformSettings) -> Self {
        let ms = |ms: u32| Duration::from_millis(ms.into());
        Self {
            drain: ms(settings.drain_ms),
            empty: ms(settings.empty_ms),
            detach: ms(settings.detach_ms),
            attach: ms(settings.attach_ms),
            reboot: ms(settings.reboot_ms),
        }
    }

    fn of(&self, kind: OrderKind) -> Duration {
        match kind {
            OrderKind::Drain => self.drain,
            OrderKind::Detach => self.detach,
            OrderKind::Attach => self.attach,
            OrderKind::Reboot => self.reboot,
        }
    }
}

/// The order that an instance is executing, or the last one that it completed.
#[derive(Clone)]
pub(crate) struct OrderExecution {
    pub(crate) ends_at: Instant,
    pub(crate) is_done: bool,
    pub(crate) kind: OrderKind,
    pub(crate) pool: String,
    pub(crate) stamp: Stamp,
}

/// An instance. Its gate exists for as long as the instance does.
pub(crate) struct Instance {
    /// When the instance that is being drained has no work left.
    empty_at: Option<Instant>,
    /// Whether reboots fail.
    pub(crate) fails_reboot: bool,
    /// Rejects orders and queries that newer ones have overtaken.
    pub(crate) gate: Gate,
    /// Name, location and current state.
    pub(crate) listed: ListedInstance,
    /// Number of following orders whose answer is lost.
    pub(crate) lose_order_answers: u32,
    durations: StepDurations,
    /// Order in progress, or the last one; `None` before the first.
    pub(crate) order: Option<OrderExecution>,
}

impl Instance {
    /// Creates an instance that is in service.
    pub(crate) fn new(settings: &StandinInstance, durations: StepDurations) -> Self {
        Self {
            empty_at: None,
            fails_reboot: false,
            gate: Gate::new(),
            listed: ListedInstance {
                name: settings.name.clone(),
                pool: settings.pool.clone(),
                rack: settings.rack.clone(),
                data_centre: settings.data_centre.clone(),
                state: InstanceState::InService.into(),
                maintained_unix_ms: settings.maintained_unix_ms,
            },
            lose_order_answers: 0,
            durations,
            order: None,
        }
    }

    /// Returns whether the instance is attached and accepts work.
    pub(crate) fn is_in_service(&self) -> bool {
        self.listed.state() == InstanceState::InService
    }

    /// Returns whether the instance has no work left.
    pub(crate) fn is_empty(&self, now: Instant) -> bool {
        match self.listed.state() {
            InstanceState::InService => false,
            InstanceState::Draining => self.empty_at.is_some_and(|at| at <= now),
            InstanceState::Detached | InstanceState::Failed => true,
        }
    }

    /// Starts an order, unless the same order with the same stamp was started before.
    /// An order that failed is executed again.
    pub(crate) fn start(&mut self, kind: OrderKind, pool: &str, stamp: Stamp, now: Instant) {
        let has_failed = self.listed.state() == InstanceState::Failed;
        let is_same = |order: &OrderExecution| {
            let is_failed = order.is_done && has_failed;
            order.stamp == stamp && order.kind == kind && !is_failed
        };
        if self.order.as_ref().is_some_and(is_same) {
            return;
        }
        // A drain takes the instance out of service when it starts, and an attach puts
        // it in service when it ends, so the counts of instances are never too high.
        if kind == OrderKind::Drain && self.is_in_service() {
            self.listed.set_state(InstanceState::Draining);
            self.empty_at = Some(now + self.durations.drain + self.durations.empty);
        }
        self.order = Some(OrderExecution {
            ends_at: now + self.durations.of(kind),
            is_done: false,
            kind,
            pool: pool.to_owned(),
            stamp,
        });
    }

    /// Completes the order in progress if it is due; returns it and whether it was
    /// harmful.
    pub(crate) fn complete_due_order(&mut self, now: Instant) -> Option<(OrderExecution, bool)> {
        let order = self.order.as_mut()?;
        if order.is_done || order.ends_at > now {
            return None;
        }
        order.is_done = true;
        let order = order.clone();
        let is_harmful = self.is_harmful(&order, now);
        self.apply(&order);
        Some((order, is_harmful))
    }

    /// Returns whether executing an order interrupts work or puts the instance in two
    /// pools.
    fn is_harmful(&self, order: &OrderExecution, now: Instant) -> bool {
        match order.kind {
            OrderKind::Drain => false,
            OrderKind::Detach => !self.is_empty(now),
            OrderKind::Reboot => !self.listed.pool.is_empty(),
            OrderKind::Attach => !self.listed.pool.is_empty() && self.listed.pool != order.pool,
        }
    }

    fn apply(&mut self, order: &OrderExecution) {
        match order.kind {
            OrderKind::Drain => {}
            OrderKind::Detach => {
                self.listed.pool.clear();
                if self.listed.state() != InstanceState::Failed {
                    self.listed.set_state(InstanceState::Detached);
                }
            }
            OrderKind::Reboot if self.fails_reboot => {
                self.listed.set_state(InstanceState::Failed);
            }
            OrderKind::Reboot => {
                if self.listed.pool.is_empty() {
                    self.listed.set_state(InstanceState::Detached);
                }
                self.listed.maintained_unix_ms = unix_ms();
            }
            OrderKind::Attach if self.listed.state() == InstanceState::Failed => {}
            OrderKind::Attach => {
                self.listed.pool.clone_from(&order.pool);
                self.listed.set_state(InstanceState::InService);
            }
        }
    }

    /// Returns whether the order with this stamp was the last one and took effect.
    pub(crate) fn has_completed(&self, stamp: Stamp) -> bool {
        let failed = self.listed.state() == InstanceState::Failed;
        let completed = |order: &OrderExecution| order.is_done && order.stamp == stamp;
        !failed && self.order.as_ref().is_some_and(completed)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
