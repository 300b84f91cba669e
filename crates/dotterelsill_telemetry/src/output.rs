//! Output of log lines.

use std::{
    borrow::Cow,
    fmt,
    io::Write,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::SystemTime, //
};

use log::{
    Level,
    Log,
    Metadata,
    Record, //
};

use crate::{
    event_limit::EventLimit,
    line::{
        format_line,
        suppressed_line, //
    }, //
};

/// Logger that writes each event as one line, unless the limit suppresses it.
pub(crate) struct Output<C, W> {
    clock: C,
    limit: Mutex<EventLimit>,
    out: Mutex<W>,
}

impl<C, W> Output<C, W>
where
    C: Fn() -> SystemTime,
    W: Write,
{
    pub(crate) fn new(clock: C, out: W, max_lines: u64) -> Self {
        Self {
            clock,
            limit: Mutex::new(EventLimit::new(max_lines)),
            out: Mutex::new(out),
        }
    }

    fn write_suppressed(&self, now: SystemTime, suppressed: Vec<(String, u64)>) {
        for (name, count) in suppressed {
            self.write(suppressed_line(now, &name, count));
        }
    }

    /// Writes a line in a single call, so that lines of another process that writes to
    /// the same file do not end up inside it.
    fn write(&self, mut line: String) {
        line.push('\n');
        // An error has nowhere to be reported.
        let _ = locked(&self.out).write_all(line.as_bytes());
    }
}

impl<C, W> Log for Output<C, W>
where
    C: Fn() -> SystemTime + Send + Sync,
    W: Send + Write,
{
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    /// Formats the event without holding a lock, because formatting a value may log,
    /// too.
    fn log(&self, record: &Record<'_>) {
        let now = (self.clock)();
        let name = event_name(record.args());
        let (suppressed, is_allowed) = {
            let mut limit = locked(&self.limit);
            // Debug and trace are only enabled to see every event.
            let is_unlimited = record.level() > Level::Info;
            let suppressed = limit.set_second(unix_second(now));
            (suppressed, is_unlimited || limit.allows(&name))
        };
        self.write_suppressed(now, suppressed);
        if is_allowed {
            self.write(format_line(now, record));
        }
    }

    fn flush(&self) {
        let suppressed = locked(&self.limit).take_suppressed();
        self.write_suppressed((self.clock)(), suppressed);
        let _ = locked(&self.out).flush();
    }
}

fn event_name<'a>(args: &fmt::Arguments<'a>) -> Cow<'a, str> {
    args.as_str()
        .map_or_else(|| Cow::Owned(args.to_string()), Cow::Borrowed)
}

fn unix_second(now: SystemTime) -> u64 {
    let since_epoch = now.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
