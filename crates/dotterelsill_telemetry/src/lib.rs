//! Start-up of the daemons: logging as key=value lines, and settings files.

mod event_limit;
mod levels;
mod line;
mod logs;
mod output;
mod queued;
mod redact;
mod settings;
mod start;

pub use event_limit::MAX_LINES_PER_SECOND;
pub use line::format_line;
pub use logs::{
    init_logs,
    init_request_logs,
    logger,
    LogError, //
};
pub use redact::{
    redact,
    REDACTED, //
};
pub use settings::{
    load_settings,
    SettingsError, //
};
pub use start::{
    exit_code,
    init_daemon,
    StartError, //
};
