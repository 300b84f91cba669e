//! Setup of the logger.

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
    queued::QueuedWriter, //
};

/// Maximum number of lines of one event name in a second for a daemon that logs each
/// request: twice the number of jobs that arrive in a burst.
const MAX_REQUEST_LINES_PER_SECOND: u64 = 200;

/// The logger cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The setting of the levels is invalid.
    #[snafu(display(
        "log_level: {level:?} is invalid; use one of off, error, warn, info, debug and trace, \
         and after commas module=level, each module once, for example \
         info,dotterelsill_entry::sync=debug"
    ))]
    Level {
        /// Invalid part of the setting.
        level: String,
    },
    /// The writer thread cannot be started.
    #[snafu(display("the log writer thread cannot be started: {source}"))]
    Thread {
        /// Underlying error.
        source: io::Error,
    },
    /// A logger has been set up before.
    #[snafu(display("a logger is already set up: {source}"))]
    Set {
        /// Underlying error.
        source: log::SetLoggerError,
    },
}

/// Logs events to standard error as lines of key=value pairs.
///
/// `level` is the level of all modules, followed after commas by `module=level` for
/// single modules and those within them, for example
/// `info,dotterelsill_entry::sync=debug`. If it is empty, the level is `info`. See
/// [`logger`] for the limit on lines.
///
/// # Errors
///
/// Returns an error if `level` is invalid or a logger is already set up.
pub fn init_logs(level: &str) -> Result<(), LogError> {
    let (max_level, logger) = logger(level, SystemTime::now, io::stderr())?;
    log::set_boxed_logger(logger).context(SetSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

/// Logs events to standard output without ever blocking the caller, at most 200 lines
/// of one event name in a second.
///
/// # Errors
///
/// Returns an error if `level` is invalid, a logger is already set up, or the writer
/// thread cannot be started.
pub fn init_request_logs(level: &str) -> Result<(), LogError> {
    let out = QueuedWriter::new(io::stdout()).context(ThreadSnafu)?;
    let (max_level, logger) =
        logger_with(level, SystemTime::now, out, MAX_REQUEST_LINES_PER_SECOND)?;
    log::set_boxed_logger(logger).context(SetSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

/// Creates a logger that writes lines of key=value pairs to `out`; returns it after
/// the most verbose level that it writes.
///
/// At the levels error, warn and info, at most [`MAX_LINES_PER_SECOND`] lines of one
/// event name are written in a second. The number of suppressed lines is written as
/// the event `events_suppressed` together with the first event of another second, or
/// when the logger is flushed.
///
/// # Errors
///
/// Returns an error if `level` is invalid.
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
    max_lines: u64,
) -> Result<(LevelFilter, Box<dyn Log>), LogError> {
    let levels = Levels::parse(level).or_else(|level| LevelSnafu { level }.fail())?;
    let output: Box<dyn Log> = Box::new(Output::new(clock, out, max_lines));
    let dispatch = fern::Dispatch::new().level(levels.default).chain(output);
    let with_module = |dispatch: fern::Dispatch, (module, level)| dispatch.level_for(module, level);
    let dispatch = levels.modules.into_iter().fold(dispatch, with_module);
    Ok(dispatch.into_log())
}
