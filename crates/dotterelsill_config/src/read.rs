//! Deserializes the fleet and reports every key that the deserializer rejects.

use dotterelsill_proto::config::{
    DataCentre,
    Fleet,
    Queue,
    Service,
    Team,
    Upstream, //
};
use serde::de::DeserializeOwned;
use serde_saphyr::{
    options::MergeKeyPolicy,
    Error,
    Options, //
};

use crate::{
    emit,
    finding::Finding,
    index::{
        Content,
        Entry,
        Index,
        NodeId,
        Position, //
    },
    limits::MAX_FINDINGS,
    place::KeyPath,
    rules::{
        structure,
        unknown_key,
        value, //
    }, //
};

/// Result of deserializing a text, which may be partial.
#[derive(Default)]
pub(crate) struct ParsedFleet {
    /// The fleet; rejected values keep their defaults.
    pub(crate) fleet: Fleet,
    /// Findings for the rejected keys.
    pub(crate) findings: Vec<Finding>,
    /// The deserializer's error for the whole text. It is reported only if there
    /// is no other error.
    pub(crate) document_error: Option<Finding>,
    /// Paths of the known keys that rejected keys were probably intended to be.
    pub(crate) intended_paths: Vec<String>,
}

/// Deserializes the fleet of a text.
///
/// If the deserializer rejects the text, each part is deserialized separately, so
/// that all rejected keys are reported and not only the first.
pub(crate) fn read(text: &str, index: &Index<'_>, root: NodeId) -> ParsedFleet {
    let error = match deserialize::<Fleet>(text) {
        Ok(fleet) => {
            return ParsedFleet {
                fleet,
                ..ParsedFleet::default()
            }
        }
        Err(error) => error,
    };
    let mut reader = Reader {
        index,
        parsed: ParsedFleet::default(),
    };
    reader.parsed.fleet = reader.fleet(root);
    reader.parsed.document_error = Some(document_error(&error));
    reader.parsed
}

/// Deserializes a YAML text.
fn deserialize<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_saphyr::from_str_with_options(text, options())
}

/// Returns the deserializer options: merge keys are ordinary keys, and only
/// `true` and `false` are booleans.
fn options() -> Options {
    serde_saphyr::options! {
        emit_comments: false,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
        with_snippet: false,
    }
}

/// Returns the finding for an error of the whole text, which may not recur when
/// its parts are deserialized separately.
fn document_error(error: &Error) -> Finding {
    let at = error.location().map_or((1, 1), |l| (l.line(), l.column()));
    let at = Position {
        line: usize::try_from(at.0).unwrap_or(1),
        column: usize::try_from(at.1).unwrap_or(1),
    };
    structure::syntax(at, &value::reason(error))
}

/// Deserializes the parts of a text separately.
struct Reader<'i, 't> {
    /// Index of the text's nodes.
    index: &'i Index<'t>,
    /// Result so far.
    parsed: ParsedFleet,
}

impl<'i, 't> Reader<'i, 't> {
    /// Deserializes the fleet.
    fn fleet(&mut self, root: NodeId) -> Fleet {
        let path = KeyPath::default();
        let lists = ["data_centres", "teams", "services", "queues"];
        let fleet: Fleet = self.record(root, &path, &lists);
        Fleet {
            data_centres: self.list(root, &path, "data_centres", Self::leaf::<DataCentre>),
            teams: self.list(root, &path, "teams", Self::leaf::<Team>),
            services: self.list(root, &path, "services", Self::service),
            queues: self.list(root, &path, "queues", Self::leaf::<Queue>),
            ..fleet
        }
    }

    /// Deserializes a service with its upstreams.
    fn service(&mut self, node: NodeId, path: &KeyPath<'_>) -> Service {
        let service: Service = self.record(node, path, &["upstreams"]);
        let upstreams = self.list(node, path, "upstreams", Self::leaf::<Upstream>);
        Service {
            upstreams,
            ..service
        }
    }

    /// Deserializes a record that contains no list of records.
    fn leaf<T: Default + DeserializeOwned>(&mut self, node: NodeId, path: &KeyPath<'_>) -> T {
        self.record(node, path, &[])
    }

    /// Deserializes the records of a list. `read_record` is called for each record
    /// that the deserializer rejects.
    fn list<T: Default + DeserializeOwned>(
        &mut self,
        parent: NodeId,
        parent_path: &KeyPath<'_>,
        key: &str,
        read_record: impl Fn(&mut Self, NodeId, &KeyPath<'_>) -> T + Copy,
    ) -> Vec<T> {
        let index = self.index;
        let Some(entry) = index.entries(parent).iter().find(|e| e.key == key) else {
            return Vec::new();
        };
        let path = parent_path.key(key);
        let Content::Sequence(items) = index.content(entry.value) else {
            let mut text = String::new();
            emit::node(index, entry.value, &mut text);
            if let Err(error) = deserialize::<Vec<T>>(&text) {
                self.reject(&error, &path);
            }
            return Vec::new();
        };
        let mut records = Vec::new();
        self.items(items, 0, &path, read_record, &mut records);
        records
    }

    /// Deserializes a part of a list and appends its records. A rejected part is
    /// split in half until each rejected record is isolated.
    fn items<T: Default + DeserializeOwned>(
        &mut self,
        items: &[NodeId],
        first: usize,
        path: &KeyPath<'_>,
        read_record: impl Fn(&mut Self, NodeId, &KeyPath<'_>) -> T + Copy,
        records: &mut Vec<T>,
    ) {
        if items.is_empty() || self.is_full() {
            return;
        }
        let mut text = String::new();
        emit::sequence(self.index, items, &mut text);
        match deserialize::<Vec<T>>(&text) {
            Ok(part) => records.extend(part),
            Err(_) if items.len() == 1 => {
                records.push(read_record(self, items[0], &path.item(first)))
            }
            Err(_) => {
                let half = items.len() / 2;
                self.items(&items[..half], first, path, read_record, records);
                self.items(&items[half..], first + half, path, read_record, records);
            }
        }
    }

    /// Deserializes a record without the keys in `excluded`, which are deserialized
    /// separately, and without the rejected keys.
    fn record<T: Default + DeserializeOwned>(
        &mut self,
        node: NodeId,
        path: &KeyPath<'_>,
        excluded: &[&str],
    ) -> T {
        let index = self.index;
        if !matches!(index.content(node), Content::Mapping(_)) {
            let mut text = String::new();
            emit::node(index, node, &mut text);
            let result = deserialize::<T>(&text);
            return result.unwrap_or_else(|error| {
                self.reject(&error, path);
                T::default()
            });
        }
        let mut kept = Vec::new();
        for entry in index.entries(node) {
            let is_excluded = excluded.contains(&entry.key.as_ref());
            if !is_excluded && self.accepts::<T>(entry, path) {
                kept.push(entry);
            }
        }
        let mut text = String::new();
        emit::mapping(index, kept, &mut text);
        deserialize(&text).unwrap_or_default()
    }

    /// Returns whether the deserializer accepts a record that has only this key.
    fn accepts<T: DeserializeOwned>(&mut self, entry: &Entry<'t>, path: &KeyPath<'_>) -> bool {
        if self.is_full() {
            return false;
        }
        let mut text = String::new();
        emit::mapping(self.index, [entry], &mut text);
        let Err(error) = deserialize::<T>(&text) else {
            return true;
        };
        self.reject(&error, &path.key(&entry.key));
        false
    }

    /// Adds the finding for a rejected key.
    fn reject(&mut self, error: &Error, path: &KeyPath<'_>) {
        let finding = match error {
            Error::SerdeUnknownField {
                field, expected, ..
            } => {
                let (finding, intended) = unknown_key::check(self.index, path, field, expected);
                self.parsed.intended_paths.extend(intended);
                finding
            }
            error => value::check(self.index, path, error),
        };
        self.parsed.findings.push(finding);
    }

    /// Returns whether [`MAX_FINDINGS`] findings have been collected.
    fn is_full(&self) -> bool {
        self.parsed.findings.len() >= MAX_FINDINGS
    }
}
