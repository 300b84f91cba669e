//! One instance and the order that it carries out.

use std::time::{
    Duration,
    Instant as Clock,
    SystemTime, //
};

use dotterelsill_fleet::{
    Gate,
    Stamp, //
};
use dotterelsill_proto::{
    platform::{
        Instance as Listed,
        InstanceState,
        OrderKind, //
    },
    settings::{
        StandinInstance,
        StandinPlatformSettings, //
    }, //
};

/// Times that the steps of an instance take.
#[derive(Clone, Copy)]
pub(crate) struct Times {
    drain: Duration,
    empty: Duration,
    detach: Duration,
    attach: Duration,
    reboot: Duration,
}

impl Times {
    /// Reads the times from the settings.
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

/// Order of an instance that is being carried out, or the last one that was.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) ends_at: Clock,
    pub(crate) is_done: bool,
    pub(crate) kind: OrderKind,
    pub(crate) pool: String,
    pub(crate) stamp: Stamp,
}

/// An instance. The gate lives as long as it does.
pub(crate) struct Instance {
    empty_at: Option<Clock>,
    pub(crate) fails_reboot: bool,
    pub(crate) gate: Gate,
    /// Name, place and state as they are now.
    pub(crate) listed: Listed,
    pub(crate) lose_order_answers: u32,
    times: Times,
    pub(crate) work: Option<Work>,
}

impl Instance {
    /// Returns an instance in service.
    pub(crate) fn new(settings: &StandinInstance, times: Times) -> Self {
        Self {
            empty_at: None,
            fails_reboot: false,
            gate: Gate::new(),
            listed: Listed {
                name: settings.name.clone(),
                pool: settings.pool.clone(),
                rack: settings.rack.clone(),
                data_centre: settings.data_centre.clone(),
                state: InstanceState::InService.into(),
                maintained_unix_ms: settings.maintained_unix_ms,
            },
            lose_order_answers: 0,
            times,
            work: None,
        }
    }

    /// Returns whether the instance is attached and accepts work.
    pub(crate) fn is_in_service(&self) -> bool {
        self.listed.state() == InstanceState::InService
    }

    /// Returns whether the instance has no work left.
    pub(crate) fn is_empty(&self, now: Clock) -> bool {
        match self.listed.state() {
            InstanceState::InService => false,
            InstanceState::Draining => self.empty_at.is_some_and(|at| at <= now),
            InstanceState::Detached | InstanceState::Failed => true,
        }
    }

    /// Starts an order, unless it was started before with the same stamp. An
    /// order that the instance failed is carried out anew.
    pub(crate) fn start(&mut self, kind: OrderKind, pool: &str, stamp: Stamp, now: Clock) {
        let has_failed = self.listed.state() == InstanceState::Failed;
        let is_same = |work: &Work| {
            let is_failed = work.is_done && has_failed;
            work.stamp == stamp && work.kind == kind && !is_failed
        };
        if self.work.as_ref().is_some_and(is_same) {
            return;
        }
        // A drain takes the instance out of service when it starts; an attach
        // puts it in service when it ends. Counts are therefore never too high.
        if kind == OrderKind::Drain && self.is_in_service() {
            self.listed.set_state(InstanceState::Draining);
            self.empty_at = Some(now + self.times.drain + self.times.empty);
        }
        self.work = Some(Work {
            ends_at: now + self.times.of(kind),
            is_done: false,
            kind,
            pool: pool.to_owned(),
            stamp,
        });
    }

    /// Ends the order in progress if its time is over; returns it and whether
    /// it was harmful.
    pub(crate) fn settle(&mut self, now: Clock) -> Option<(Work, bool)> {
        let work = self.work.as_mut()?;
        if work.is_done || work.ends_at > now {
            return None;
        }
        work.is_done = true;
        let work = work.clone();
        let is_harmful = self.is_harmful(&work, now);
        self.apply(&work);
        Some((work, is_harmful))
    }

    /// Returns whether an order would interrupt work or put the instance in two
    /// pools.
    fn is_harmful(&self, work: &Work, now: Clock) -> bool {
        match work.kind {
            OrderKind::Drain => false,
            OrderKind::Detach => !self.is_empty(now),
            OrderKind::Reboot => !self.listed.pool.is_empty(),
            OrderKind::Attach => !self.listed.pool.is_empty() && self.listed.pool != work.pool,
        }
    }

    fn apply(&mut self, work: &Work) {
        match work.kind {
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
                self.listed.pool.clone_from(&work.pool);
                self.listed.set_state(InstanceState::InService);
            }
        }
    }

    /// Returns whether the last order with this stamp took effect.
    pub(crate) fn has_carried(&self, stamp: Stamp) -> bool {
        let failed = self.listed.state() == InstanceState::Failed;
        let carried = |work: &Work| work.is_done && work.stamp == stamp;
        !failed && self.work.as_ref().is_some_and(carried)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
