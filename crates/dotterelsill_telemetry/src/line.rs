//! Format of log lines: one line of key=value pairs for each event.

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
    Level,
    Record, //
};

use crate::redact;

/// Formats an event as a line without a line break: time in seconds since the Unix
/// epoch, level, event name, then the pairs of the event.
///
/// Values with characters other than visible ASCII, letters and digits are quoted and
/// escaped. Text that may be an API key is redacted.
pub fn format_line(now: SystemTime, record: &Record<'_>) -> String {
    let mut line = line_start(now, record.level(), &record.args().to_string());
    // Writing to a string cannot fail.
    let _ = record.key_values().visit(&mut PairWriter(&mut line));
    redact(line)
}

/// Formats the line that reports how many events of one name were not written.
pub(crate) fn suppressed_line(now: SystemTime, name: &str, suppressed: u64) -> String {
    let mut line = line_start(now, Level::Warn, "events_suppressed");
    // Writing to a string cannot fail.
    let _ = write!(line, " name={} suppressed={suppressed}", quoted(name));
    redact(line)
}

fn line_start(now: SystemTime, level: Level, event: &str) -> String {
    let since_epoch = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "time={}.{:06} level={} event={}",
        since_epoch.as_secs(),
        since_epoch.subsec_micros(),
        level.as_str().to_ascii_lowercase(),
        quoted(event),
    )
}

/// Appends each key-value pair of an event to its line.
struct PairWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let (key, value) = (escaped_key(key.as_str()), quoted(&value.to_string()));
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Returns the key of a pair, with `_` for each character that would break the pair or
/// the line.
fn escaped_key(key: &str) -> String {
    let plain = |c: char| if is_plain(c) { c } else { '_' };
    key.chars().map(plain).collect()
}

/// Quotes and escapes a value that would break the pair or the line.
fn quoted(value: &str) -> String {
    if !value.is_empty() && value.chars().all(is_plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}

/// Returns whether a character is written unescaped. Invisible characters are not,
/// even if they are neither white space nor control characters, such as those that
/// change the writing direction.
fn is_plain(c: char) -> bool {
    c.is_alphanumeric() || (c.is_ascii_graphic() && c != '"' && c != '=')
}
