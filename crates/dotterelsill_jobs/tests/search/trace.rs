//! Prints the events of one simulation run.

use std::sync::Once;

use log::{
    kv::{
        Key,
        Value,
        VisitSource, //
    },
    Level,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

struct Printer;

struct Pairs(String);

impl<'a> VisitSource<'a> for Pairs {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl Log for Printer {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Debug
    }

    fn log(&self, record: &Record<'_>) {
        let mut pairs = Pairs(String::new());
        if record.key_values().visit(&mut pairs).is_ok() {
            eprintln!("  {}{}", record.args(), pairs.0);
        }
    }

    fn flush(&self) {}
}

/// Returns the seed of the run to print, if one is set, and enables the output.
pub(crate) fn seed() -> Option<u64> {
    static SET: Once = Once::new();
    let seed = std::env::var("SEARCH_TRACE").ok()?.parse().ok()?;
    SET.call_once(|| {
        if log::set_logger(&Printer).is_ok() {
            log::set_max_level(LevelFilter::Debug);
        }
    });
    Some(seed)
}
