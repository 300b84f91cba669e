//! Keys with a missing or wrong unit suffix.

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Unit suffixes of the schema's keys, with their names.
const UNITS: [(&str, &str); 4] = [
    ("ms", "milliseconds"),
    ("percent", "percent"),
    ("requests", "requests"),
    ("s", "seconds"),
];

/// Returns the known key that was probably intended, and the finding, if `field`
/// differs from the known key only by a missing or another unit suffix.
pub(crate) fn check(
    index: &Index<'_>,
    path: &KeyPath<'_>,
    field: &str,
    known: &[&'static str],
) -> Option<(&'static str, Finding)> {
    known.iter().find_map(|key| {
        let (stem, suffix) = key.rsplit_once('_')?;
        let (_, unit) = UNITS.iter().find(|(short, _)| *short == suffix)?;
        let rest = field.strip_prefix(stem)?;
        let (problem, fix) = if rest.is_empty() {
            (
                format!("the key `{field}` lacks its unit suffix `_{suffix}`"),
                format!("write `{key}` with the value in {unit}"),
            )
        } else {
            let other = rest.strip_prefix('_').filter(|other| is_unit(other))?;
            (
                format!("the key `{field}` has the unit `{other}`, the schema has `{suffix}`"),
                format!("write `{key}` and convert the value to {unit}"),
            )
        };
        Some((
            *key,
            Finding::error("missing-unit", index, path, problem, fix),
        ))
    })
}

/// Returns whether a word is the suffix or the name of a common unit.
fn is_unit(word: &str) -> bool {
    const COMMON: [&str; 18] = [
        "bytes", "count", "d", "days", "h", "hours", "kb", "m", "mb", "millis", "min", "minutes",
        "ns", "pct", "sec", "secs", "seconds", "us",
    ];
    COMMON.contains(&word)
        || UNITS
            .iter()
            .any(|(short, long)| word == *short || word == *long)
}
