//! Set-up of the log.

use std::{
    io::{
        self,
        Write, //
    },
    time::SystemTime, //
};

use log::{
    LevelFilter,
    Log, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    event_limit::MAX_LINES_PER_SECOND,
    levels::Levels,
    output::Output,
    queued::Queued, //
};

/// Lines of one event name in a second where each request has lines of its own:
/// twice the jobs that arrive in a burst.
const REQUEST_LINES_MAX: u64 = 200;

/// The log cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level is not known.
    #[snafu(display(
        "log_level: {level:?} cannot be used; give one of off, error, warn, info, debug and trace, \
         and after commas module=level, each module once, such as \
         info,dotterelsill_entry::sync=debug"
    ))]
    Level {
        /// Part of the setting.
        level: String,
    },
    /// The writing thread cannot be started.
    #[snafu(display("the log's thread cannot be started: {source}"))]
    Thread {
        /// Reason.
        source: io::Error,
    },
    /// Another logger was set up before.
    #[snafu(display("a logger is already set up: {source}"))]
    Set {
        /// Reason.
        source: log::SetLoggerError,
    },
}

/// Sends log events to standard error as lines of key=value pairs.
///
/// The level applies to all modules, and after commas each `module=level` to
/// one module and those in it, such as `info,dotterelsill_entry::sync=debug`.
/// An empty level means `info`. See [`logger`] for the limit on lines.
///
/// # Errors
///
/// Returns an error when a level is not known or a logger is already set up.
pub fn init_logs(level: &str) -> Result<(), LogError> {
    let (max_level, logger) = logger(level, SystemTime::now, io::stderr())?;
    log::set_boxed_logger(logger).context(SetSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

/// Sends log events to standard output without ever blocking, at most
/// 200 lines of one event name in a second.
///
/// # Errors
///
/// Returns an error when a level is not known, a logger is already set up, or
/// the writing thread cannot be started.
pub fn init_request_logs(level: &str) -> Result<(), LogError> {
    let out = Queued::new(io::stdout()).context(ThreadSnafu)?;
    let (max_level, logger) = logger_with(level, SystemTime::now, out, REQUEST_LINES_MAX)?;
    log::set_boxed_logger(logger).context(SetSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

/// Returns a logger that writes lines of key=value pairs to `out`, and the
/// highest level that it writes.
///
/// At levels up to info, at most [`MAX_LINES_PER_SECOND`](crate::MAX_LINES_PER_SECOND) lines of one
/// event name are written in a second. The number of further ones is written as the event
/// `events_suppressed` with the first event of any name in another second, or
/// when the logger is flushed.
///
/// # Errors
///
/// Returns an error when a level is not known.
pub fn logger(
    level: &str,
    clock: impl Fn() -> SystemTime + Send + Sync + 'static,
    out: impl Send + Write + 'static,
) -> Result<(LevelFilter, Box<dyn Log>), LogError> {
    logger_with(level, clock, out, MAX_LINES_PER_SECOND)
}

fn logger_with(
    level: &str,
    clock: impl Fn() -> SystemTime + Send + Sync + 'static,
    out: impl Send + Write + 'static,
    lines_max: u64,
) -> Result<(LevelFilter, Box<dyn Log>), LogError> {
    let levels = Levels::parse(level).or_else(|level| LevelSnafu { level }.fail())?;
    let output: Box<dyn Log> = Box::new(Output::new(clock, out, lines_max));
    let dispatch = fern::Dispatch::new().level(levels.default).chain(output);
    let with_module = |dispatch: fern::Dispatch, (module, level)| dispatch.level_for(module, level);
    let dispatch = levels.modules.into_iter().fold(dispatch, with_module);
    Ok(dispatch.into_log())
}
