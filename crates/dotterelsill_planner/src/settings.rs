//! Settings of the daemon with defaults applied.

use std::time::Duration;

use dotterelsill_fleet::{
    MaintenancePolicy,
    WavePolicy, //
};
use dotterelsill_proto::settings::PlannerSettings;

const DEFAULT_LEASE_MS: u32 = 5_000;
const DEFAULT_TICK_MS: u32 = 1_000;
const DEFAULT_PLAN_HOUR_MS: u32 = 3_600_000;
const DEFAULT_MOVE_LIMIT_MS: u32 = 30 * 60 * 1_000;

/// Settings with units converted and defaults filled in.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Time to live of the lease.
    pub(crate) lease: Duration,
    pub(crate) maintenance: MaintenancePolicy,
    /// Time after which an instance that is still being moved counts as failed.
    pub(crate) move_limit: Duration,
    /// Most instances of a service that may be out in one data centre.
    pub(crate) per_data_centre: u32,
    /// Most instances of a service that may be out in one rack.
    pub(crate) per_rack: u32,
    /// Real duration of one hour of the plan; tests shorten it.
    pub(crate) plan_hour_ms: u32,
    /// Name of this planner.
    pub(crate) planner: String,
    /// Time between rounds and between attempts to acquire the lease.
    pub(crate) tick: Duration,
    pub(crate) wave: WavePolicy,
}

impl Settings {
    /// Converts the settings; a value of 0 selects the default.
    pub(crate) fn new(settings: &PlannerSettings) -> Self {
        let ms = |value, default| Duration::from_millis(or_default(value, default).into());
        let wave = WavePolicy::default();
        Self {
            lease: ms(settings.lease_ms, DEFAULT_LEASE_MS),
            maintenance: maintenance(settings.interval_h),
            move_limit: ms(settings.move_limit_ms, DEFAULT_MOVE_LIMIT_MS),
            per_data_centre: or_default(settings.per_data_centre, u32::MAX),
            per_rack: or_default(settings.per_rack, u32::MAX),
            plan_hour_ms: or_default(settings.plan_hour_ms, DEFAULT_PLAN_HOUR_MS),
            planner: settings.planner.clone(),
            tick: ms(settings.tick_ms, DEFAULT_TICK_MS),
            wave: WavePolicy {
                soak: ms(settings.soak_ms, wave.soak.as_millis() as u32),
                watch: ms(settings.watch_ms, wave.watch.as_millis() as u32),
                ..wave
            },
        }
    }
}

/// Returns the maintenance policy for an interval. The margin is at most a sixth
/// of the interval.
fn maintenance(interval_h: u32) -> MaintenancePolicy {
    let policy = MaintenancePolicy::default();
    let interval_h = or_default(interval_h, policy.interval_h);
    MaintenancePolicy {
        interval_h,
        margin_h: policy.margin_h.min(interval_h / 6),
        ..policy
    }
}

fn or_default(value: u32, default: u32) -> u32 {
    match value {
        0 => default,
        value => value,
    }
}
