//! Format, levels and rate limit of log lines.

use std::{
    fmt,
    io::{
        self,
        Write, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        SystemTime, //
    }, //
};

use dotterelsill_telemetry::{
    format_line,
    logger,
    MAX_LINES_PER_SECOND, //
};
use log::{
    kv::Value,
    Level,
    LevelFilter,
    Log,
    Record, //
};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";

/// Output that the test can read.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A logger that writes to a buffer, with a clock that the test sets.
struct Fixture {
    ms: Arc<AtomicU64>,
    buffer: Buffer,
    max_level: LevelFilter,
    logger: Box<dyn Log>,
}

impl Fixture {
    fn new(level: &str) -> Self {
        let (ms, buffer) = (Arc::<AtomicU64>::default(), Buffer::default());
        let shared = ms.clone();
        let clock = move || at(shared.load(Ordering::Relaxed));
        let (max_level, logger) = logger(level, clock, buffer.clone()).expect("valid level");
        Self {
            ms,
            buffer,
            max_level,
            logger,
        }
    }

    fn log(&self, level: Level, target: &str, event: &str, value: Value<'_>) {
        let pairs = [("value", value)];
        let mut record = Record::builder();
        record.level(level).target(target).key_values(&pairs);
        self.logger
            .log(&record.args(format_args!("{event}")).build());
    }

    fn info(&self, event: &str) {
        self.log(Level::Info, "module", event, Value::from(1));
    }

    /// Returns the lines written since the last call, each from the event name on.
    fn lines(&self) -> Vec<String> {
        let bytes = std::mem::take(&mut *self.buffer.0.lock().expect("not poisoned"));
        let text = String::from_utf8(bytes).expect("text");
        let event = |line: &str| line.split_once("event=").expect("event").1.to_owned();
        text.lines().map(event).collect()
    }
}

fn at(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(ms)
}

fn line_of(event: &str, key: &str, value: &str) -> String {
    let pairs = [(key, value)];
    let mut record = Record::builder();
    record.level(Level::Warn).key_values(&pairs);
    format_line(at(1_500), &record.args(format_args!("{event}")).build())
}

/// Guards against values that break the pair or the line, hide text on a terminal, or
/// cannot be told from other values.
#[test]
fn values_are_quoted_and_escaped() {
    let cases = [
        ("plain-1.5/x", "plain-1.5/x"),
        ("", r#""""#),
        ("two words", r#""two words""#),
        ("a=b", r#""a=b""#),
        ("say \"x\"", r#""say \"x\"""#),
        ("a\nevent=b\r\t", r#""a\nevent=b\r\t""#),
        ("\u{1b}[31m\0\u{7f}", r#""\u{1b}[31m\0\u{7f}""#),
        ("a\u{2028}b\u{85}", r#""a\u{2028}b\u{85}""#),
        ("a\u{202e}b", r#""a\u{202e}b""#),
        ("Rafhlaða", "Rafhlaða"),
    ];
    for (value, written) in cases {
        let expected = format!("time=1.500000 level=warn event=e k={written}");
        assert_eq!(line_of("e", "k", value), expected);
    }
}

/// Guards against event names and keys of pairs that break the line. They are escaped
/// separately from the values.
#[test]
fn names_keep_to_one_line() {
    let line = line_of("a b\nc", "k =\n\u{2028}x", "v");
    assert_eq!(line, r#"time=1.500000 level=warn event="a b\nc" k____x=v"#);
}

/// Guards against an API key that is logged, in any part of the line and inside any
/// other text, and against the redaction of shorter identifiers.
#[test]
fn keys_are_redacted() {
    let header = format!("Bearer {KEY}\n");
    let longer = format!("a{KEY}0");
    for text in [KEY, &KEY.to_lowercase(), &header, &longer, &KEY.repeat(2)] {
        for line in [
            line_of(text, "k", "v"),
            line_of("e", text, "v"),
            line_of("e", "k", text),
        ] {
            assert!(!line.to_lowercase().contains(&KEY[..32]), "{line}");
            assert_eq!(line.matches("[redacted]").count(), 1, "{line}");
        }
    }
    let two = line_of("e", "k", &format!("{KEY} {KEY}"));
    assert!(two.ends_with(r#"k="[redacted] [redacted]""#), "{two}");
    assert!(line_of("e", "k", &KEY[1..]).ends_with(&KEY[1..]));
    let fixture = Fixture::new("");
    (0..=MAX_LINES_PER_SECOND).for_each(|_| fixture.info(KEY));
    fixture.logger.flush();
    assert!(fixture
        .lines()
        .iter()
        .all(|line| line.contains("[redacted]")));
}

/// Guards against a module level that applies to other modules, or does not apply to
/// the modules within the named one.
#[test]
fn levels_apply_by_module() {
    let fixture = Fixture::new("info, dotterelsill_entry::sync=debug,noisy=off");
    assert_eq!(fixture.max_level, LevelFilter::Debug);
    let cases = [
        (Level::Debug, "dotterelsill_entry::sync", true),
        (Level::Debug, "dotterelsill_entry::sync::head", true),
        (Level::Debug, "dotterelsill_entry::sync_later", false),
        (Level::Debug, "dotterelsill_entry", false),
        (Level::Trace, "dotterelsill_entry::sync", false),
        (Level::Info, "dotterelsill_entry", true),
        (Level::Error, "noisy::part", false),
    ];
    for (level, target, is_written) in cases {
        fixture.log(level, target, "e", Value::from(1));
        assert_eq!(
            fixture.lines().len(),
            usize::from(is_written),
            "{level} {target}"
        );
    }
    assert_eq!(Fixture::new("").max_level, LevelFilter::Info);
}

/// Guards against a misspelt setting that is read as another level or silently matches
/// no module.
#[test]
fn invalid_levels_are_refused() {
    let levels = [
        "loud",
        "info,",
        "info,warn",
        "a=",
        "=info",
        "a-b=info",
        "a=b=info",
        "a::=info",
    ];
    for level in levels.into_iter().chain(["a=info,a=debug"]) {
        let error = logger(level, SystemTime::now, io::sink()).err();
        assert!(error.expect(level).to_string().contains("log_level"));
    }
}

/// Guards against debug output that lacks events because of the rate limit.
#[test]
fn debug_events_are_not_limited() {
    let fixture = Fixture::new("debug");
    for _ in 0..25 {
        fixture.log(Level::Debug, "module", "traced", Value::from_display(&1));
    }
    assert_eq!(fixture.lines().len(), 25);
}

/// Guards against a log that is filled by a repeated event, against missing lines that
/// are not counted, and against a limit that suppresses other events.
#[test]
fn repeated_events_are_limited() {
    let fixture = Fixture::new("info");
    (0..25).for_each(|_| fixture.info("repeated"));
    fixture.info("other");
    assert_eq!(fixture.lines().len(), 11);
    fixture.ms.store(1000, Ordering::Relaxed);
    fixture.info("repeated");
    let suppressed = "events_suppressed name=repeated suppressed=15";
    assert_eq!(fixture.lines(), [suppressed, "repeated value=1"]);
    (0..10).for_each(|_| fixture.info("repeated"));
    fixture.lines();
    fixture.logger.flush();
    fixture.logger.flush();
    assert_eq!(
        fixture.lines(),
        ["events_suppressed name=repeated suppressed=1"]
    );
    // The clock was set back.
    (0..11).for_each(|_| fixture.info("repeated"));
    fixture.lines();
    fixture.ms.store(0, Ordering::Relaxed);
    fixture.info("repeated");
    let suppressed = "events_suppressed name=repeated suppressed=1";
    assert_eq!(fixture.lines(), [suppressed, "repeated value=1"]);
}

/// Guards against event names with varying text that exhaust the memory.
#[test]
fn number_of_event_names_is_bounded() {
    let fixture = Fixture::new("info");
    (0..3000).for_each(|index| fixture.info(&format!("event-{index}")));
    assert_eq!(fixture.lines().len(), 1010);
    fixture.logger.flush();
    assert_eq!(
        fixture.lines(),
        ["events_suppressed name=other suppressed=1990"]
    );
}

/// Value that counts how often it is formatted.
struct FormatCounter(AtomicU64);

impl fmt::Display for FormatCounter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fetch_add(1, Ordering::Relaxed);
        f.write_str("value")
    }
}

/// Guards against values that are formatted although their event is not written, which
/// would cost time.
#[test]
fn events_not_written_are_not_formatted() {
    let fixture = Fixture::new("info,other=trace");
    let value = FormatCounter(AtomicU64::new(0));
    fixture.log(Level::Debug, "module", "off", Value::from_display(&value));
    assert_eq!(value.0.load(Ordering::Relaxed), 0);
    for _ in 0..100 {
        fixture.log(Level::Info, "module", "on", Value::from_display(&value));
    }
    assert_eq!(value.0.load(Ordering::Relaxed), MAX_LINES_PER_SECOND);
}
