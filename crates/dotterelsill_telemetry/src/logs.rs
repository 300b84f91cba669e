//! One line of key=value pairs for each event.

use std::{
    fmt::Write as _,
    time::SystemTime, //
};

use log::{
    kv::{
        Error,
        Key,
        Value,
        VisitSource, //
    },
    LevelFilter,
    Record, //
};
use snafu::Snafu;

/// The log cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level is not known.
    #[snafu(display("log_level {level:?} is not known; use error, warn, info, debug or trace"))]
    Level {
        /// Text of the setting.
        level: String,
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
/// An empty level means `info`.
///
/// # Errors
///
/// Returns an error when the level is not known or a logger is already set up.
pub fn init_logs(level: &str) -> Result<(), LogError> {
    let filter = match level {
        "" => LevelFilter::Info,
        text => text.parse().map_err(|_| LogError::Level {
            level: text.to_owned(),
        })?,
    };
    fern::Dispatch::new()
        .level(filter)
        .format(|out, _message, record| {
            out.finish(format_args!("{}", line(SystemTime::now(), record)));
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|source| LogError::Set { source })
}

/// Returns the line of an event: time in seconds since the epoch, level, event
/// name, then the event's own pairs.
fn line(now: SystemTime, record: &Record<'_>) -> String {
    let since_epoch = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = format!(
        "time={}.{:06} level={} event={}",
        since_epoch.as_secs(),
        since_epoch.subsec_micros(),
        record.level().as_str().to_ascii_lowercase(),
        quoted(&record.args().to_string()),
    );
    // Writing to a string cannot fail.
    let _ = record.key_values().visit(&mut Pairs(&mut line));
    line
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Quotes a value that would break the line or the pair.
fn quoted(value: &str) -> String {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
