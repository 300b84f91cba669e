//! What an apply would change.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    fmt::{
        Display,
        Formatter,
        Result, //
    },
};

use crate::{
    fields::{
        records,
        Field,
        Record, //
    },
    CheckedFleet,
};

/// One difference between two fleets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Change {
    /// Path by names, such as `teams[billing].limit_requests`.
    pub path: String,
    /// What changes.
    pub kind: ChangeKind,
    /// Whether a team's upper limit is lowered, or removed with the team. The
    /// change is then in force only after credits have been given back.
    pub lowers_limit: bool,
}

/// The way in which something changes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ChangeKind {
    /// A record is added.
    Added {
        /// Its keys with their values.
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
        /// Its keys with their values.
        old: String,
    },
}

impl Display for Change {
    /// Writes the change as one line: `+` for added, `-` for removed and `~` for
    /// changed.
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match &self.kind {
            ChangeKind::Added { new } => write!(f, "+ {}: {new}", self.path)?,
            ChangeKind::Changed { old, new } => write!(f, "~ {}: {old} -> {new}", self.path)?,
            ChangeKind::Removed { old } => write!(f, "- {}: {old}", self.path)?,
        }
        if self.lowers_limit {
            f.write_str(" (lowers a limit: in force once enough credits are given back)")?;
        }
        Ok(())
    }
}

/// Returns what changes from an old to a new fleet.
///
/// Records are compared by name, so their order in the text does not matter.
/// Added and changed records come first, in the order of the new text, and then
/// the removed ones.
pub fn diff(old: &CheckedFleet, new: &CheckedFleet) -> Vec<Change> {
    let before = records(old.fleet());
    let after = records(new.fleet());
    let by_path: HashMap<&str, &Record> = before.iter().map(|r| (r.path.as_str(), r)).collect();
    let kept: HashSet<&str> = after.iter().map(|r| r.path.as_str()).collect();
    let mut changes = Vec::new();
    for record in &after {
        match by_path.get(record.path.as_str()) {
            Some(old) => changes.extend(changed(old, record)),
            None => changes.push(added(record)),
        }
    }
    let removed_records = before.iter().filter(|r| !kept.contains(r.path.as_str()));
    changes.extend(removed_records.map(removed));
    changes
}

/// Returns the text form of a list of changes, one per line.
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
            new: text(&record.fields),
        },
        lowers_limit: false,
    }
}

/// Returns the change that removes a record.
fn removed(record: &Record) -> Change {
    Change {
        path: record.path.clone(),
        kind: ChangeKind::Removed {
            old: text(&record.fields),
        },
        lowers_limit: record
            .fields
            .iter()
            .any(|(key, _)| *key == "limit_requests"),
    }
}

/// Returns the changes of a record's values. Both records have the same keys.
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
        lowers_limit: *key == "limit_requests" && number(value) < number(old),
    })
}

/// Returns a value as a number.
fn number(value: &str) -> Option<u32> {
    value.parse().ok()
}

/// Returns keys and values as text.
fn text(fields: &[Field]) -> String {
    let fields: Vec<String> = fields.iter().map(|(key, v)| format!("{key} {v}")).collect();
    fields.join(", ")
}
