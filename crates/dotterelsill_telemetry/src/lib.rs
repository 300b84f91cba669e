//! Logs as key=value lines, metrics and settings files.

mod logs;
mod settings;

pub use logs::{
    init_logs,
    LogError, //
};
pub use settings::{
    load_settings,
    SettingsError, //
};
