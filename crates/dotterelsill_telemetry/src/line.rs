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
    Level,
    Record, //
};

use crate::redact;

/// Returns the line of an event, without a line break: time in seconds since
/// the epoch, level, event name, then the event's own pairs.
///
/// Values with other characters than visible ASCII, letters and digits are
/// quoted and escaped. Values that look like a key are left out.
pub fn format_line(now: SystemTime, record: &Record<'_>) -> String {
    let mut line = start(now, record.level(), &record.args().to_string());
    // Writing to a string cannot fail.
    let _ = record.key_values().visit(&mut Pairs(&mut line));
    redact(line)
}

/// Returns the line that says how many events of one name were not written.
pub(crate) fn suppressed_line(now: SystemTime, name: &str, suppressed: u64) -> String {
    let mut line = start(now, Level::Warn, "events_suppressed");
    // Writing to a string cannot fail.
    let _ = write!(line, " name={} suppressed={suppressed}", quoted(name));
    redact(line)
}

fn start(now: SystemTime, level: Level, event: &str) -> String {
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

struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let (key, value) = (name(key.as_str()), quoted(&value.to_string()));
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Returns the name of a pair, with `_` for each character that would break
/// the line or the pair.
fn name(key: &str) -> String {
    let plain = |c: char| if is_plain(c) { c } else { '_' };
    key.chars().map(plain).collect()
}

/// Quotes a value that would break the line or the pair.
fn quoted(value: &str) -> String {
    if !value.is_empty() && value.chars().all(is_plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}

/// Returns whether a character is written as it is. Invisible characters that
/// are neither white space nor control characters, such as those that change
/// the direction of writing, are not.
fn is_plain(c: char) -> bool {
    c.is_alphanumeric() || (c.is_ascii_graphic() && c != '"' && c != '=')
}
