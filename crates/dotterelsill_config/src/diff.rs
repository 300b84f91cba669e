//! Differences between two fleets, as shown before a new text is applied.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    fmt::{
        Display,
        Formatter,
        Result, //
    }, //
};

use crate::{
    fields::{
        records,
        Field,
        Record, //
    },
    CheckedFleet, //
};

/// One difference between two fleets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Change {
    /// Path by names, such as `teams[billing].limit_requests`.
    pub path: String,
    /// Old and new value.
    pub kind: ChangeKind,
    /// Whether a team's `limit_requests` is lowered, or removed with the team.
    /// Such a change takes effect only after enough credits are returned.
    pub lowers_limit: bool,
}

/// Kind of a change, with the values before and after it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ChangeKind {
    /// A record is added.
    Added {
        /// Keys and values of the record.
        new: String,
    },
    /// A value is changed.
    Changed {
        /// Value before.
        old: String,
        /// Value after.
        new: String,
    },
    /// A record is removed.
    Removed {
        /// Keys and values of the record.
        old: String,
    },
}

impl Display for Change {
    /// Formats the change as one line, which starts with `+` for added, `-` for
    /// removed or `~` for changed.
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match &self.kind {
            ChangeKind::Added { new } => write!(f, "+ {}: {new}", self.path)?,
            ChangeKind::Changed { old, new } => write!(f, "~ {}: {old} -> {new}", self.path)?,
            ChangeKind::Removed { old } => write!(f, "- {}: {old}", self.path)?,
        }
        if self.lowers_limit {
            f.write_str(" (lowers a limit: takes effect once enough credits are returned)")?;
        }
        Ok(())
    }
}

/// Returns the changes from an old to a new fleet.
///
/// Records are matched by name, so their order in the text does not matter. The
/// added and changed records come first, in the order of the new text, then the
/// removed ones.
pub fn diff(old: &CheckedFleet, new: &CheckedFleet) -> Vec<Change> {
    let before = records(old.fleet());
    let after = records(new.fleet());
    let old_by_path: HashMap<&str, &Record> = before.iter().map(|r| (r.path.as_str(), r)).collect();
    let new_paths: HashSet<&str> = after.iter().map(|r| r.path.as_str()).collect();
    let mut changes = Vec::new();
    for record in &after {
        match old_by_path.get(record.path.as_str()) {
            Some(old) => changes.extend(changed(old, record)),
            None => changes.push(added(record)),
        }
    }
    let removed_records = before
        .iter()
        .filter(|r| !new_paths.contains(r.path.as_str()));
    changes.extend(removed_records.map(removed));
    changes
}

/// Formats a list of changes, one per line.
pub fn diff_text(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no changes\n".into();
    }
    changes.iter().map(|change| format!("{change}\n")).collect()
}

/// Returns the change that adds a record.
fn added(record: &Record) -> Change {
    Change {
        path: record.path.clone(),
        kind: ChangeKind::Added {
            new: format_fields(&record.fields),
        },
        lowers_limit: false,
    }
}

/// Returns the change that removes a record.
fn removed(record: &Record) -> Change {
    Change {
        path: record.path.clone(),
        kind: ChangeKind::Removed {
            old: format_fields(&record.fields),
        },
        lowers_limit: record
            .fields
            .iter()
            .any(|(key, _)| *key == "limit_requests"),
    }
}

/// Returns the changed values of a record. Both records have the same keys.
fn changed<'a>(old: &'a Record, new: &'a Record) -> impl Iterator<Item = Change> + 'a {
    let pairs = old.fields.iter().zip(&new.fields);
    let differing = pairs.filter(|((_, old), (_, new))| old != new);
    differing.map(|((key, old), (_, value))| Change {
        path: match new.path.as_str() {
            "" => (*key).to_owned(),
            path => format!("{path}.{key}"),
        },
        kind: ChangeKind::Changed {
            old: old.clone(),
            new: value.clone(),
        },
        lowers_limit: *key == "limit_requests" && parse_number(value) < parse_number(old),
    })
}

/// Parses a formatted number.
fn parse_number(value: &str) -> Option<u32> {
    value.parse().ok()
}

/// Formats keys and values.
fn format_fields(fields: &[Field]) -> String {
    let fields: Vec<String> = fields.iter().map(|(key, v)| format!("{key} {v}")).collect();
    fields.join(", ")
}
