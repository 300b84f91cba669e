//! Reads the fleet with the deserializer and finds every key that it refuses.

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
    place::Place,
    rules::{
        structure,
        unknown_key,
        value, //
    },
};

/// The fleet of a text, as far as it could be read.
#[derive(Default)]
pub(crate) struct Reading {
    /// The fleet; refused values are left at their defaults.
    pub(crate) fleet: Fleet,
    /// Keys that were refused.
    pub(crate) findings: Vec<Finding>,
    /// The deserializer's reason for refusing the whole text. It is shown when
    /// no other error has been found.
    pub(crate) unplaced: Option<Finding>,
    /// Paths that a refused key stands for, besides its own.
    pub(crate) meant: Vec<String>,
}

/// Returns the fleet of a text.
///
/// When the deserializer refuses the text, each part is read alone, so that one
/// refused key hides no other.
pub(crate) fn read(text: &str, index: &Index<'_>, root: NodeId) -> Reading {
    let error = match deserialize::<Fleet>(text) {
        Ok(fleet) => {
            return Reading {
                fleet,
                ..Reading::default()
            }
        }
        Err(error) => error,
    };
    let mut reader = Reader {
        index,
        reading: Reading::default(),
    };
    reader.reading.fleet = reader.fleet(root);
    reader.reading.unplaced = Some(unplaced(&error));
    reader.reading
}

/// Returns the value of a YAML text.
fn deserialize<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_saphyr::from_str_with_options(text, options())
}

/// Returns the deserializer's options: no merge keys, no `yes` for `true`.
fn options() -> Options {
    serde_saphyr::options! {
        emit_comments: false,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
        with_snippet: false,
    }
}

/// Returns the finding for an error that no part of the text gives alone.
fn unplaced(error: &Error) -> Finding {
    let at = error.location().map_or((1, 1), |l| (l.line(), l.column()));
    let at = Position {
        line: usize::try_from(at.0).unwrap_or(1),
        column: usize::try_from(at.1).unwrap_or(1),
    };
    structure::syntax(at, &value::reason(error))
}

/// Reads the parts of a text one by one.
struct Reader<'i, 't> {
    /// Index of the text.
    index: &'i Index<'t>,
    /// What has been read.
    reading: Reading,
}

impl<'i, 't> Reader<'i, 't> {
    /// Returns the fleet.
    fn fleet(&mut self, root: NodeId) -> Fleet {
        let place = Place::default();
        let lists = ["data_centres", "teams", "services", "queues"];
        let fleet: Fleet = self.record(root, &place, &lists);
        Fleet {
            data_centres: self.list(root, &place, "data_centres", Self::flat::<DataCentre>),
            teams: self.list(root, &place, "teams", Self::flat::<Team>),
            services: self.list(root, &place, "services", Self::service),
            queues: self.list(root, &place, "queues", Self::flat::<Queue>),
            ..fleet
        }
    }

    /// Returns a service with its upstreams.
    fn service(&mut self, node: NodeId, place: &Place<'_>) -> Service {
        let service: Service = self.record(node, place, &["upstreams"]);
        let upstreams = self.list(node, place, "upstreams", Self::flat::<Upstream>);
        Service {
            upstreams,
            ..service
        }
    }

    /// Returns a record without lists of records.
    fn flat<T: Default + DeserializeOwned>(&mut self, node: NodeId, place: &Place<'_>) -> T {
        self.record(node, place, &[])
    }

    /// Returns the records of a list; `one` reads a record that is refused.
    fn list<T: Default + DeserializeOwned>(
        &mut self,
        parent: NodeId,
        parent_place: &Place<'_>,
        key: &str,
        one: impl Fn(&mut Self, NodeId, &Place<'_>) -> T + Copy,
    ) -> Vec<T> {
        let index = self.index;
        let Some(entry) = index.entries(parent).iter().find(|e| e.key == key) else {
            return Vec::new();
        };
        let place = parent_place.key(key);
        let Content::Sequence(items) = index.content(entry.value) else {
            let mut text = String::new();
            emit::node(index, entry.value, &mut text);
            if let Err(error) = deserialize::<Vec<T>>(&text) {
                self.refuse(&error, &place);
            }
            return Vec::new();
        };
        let mut records = Vec::new();
        self.items(items, 0, &place, one, &mut records);
        records
    }

    /// Appends the records of a part of a list. A part that is refused is
    /// halved until the refused records are alone.
    fn items<T: Default + DeserializeOwned>(
        &mut self,
        items: &[NodeId],
        first: usize,
        place: &Place<'_>,
        one: impl Fn(&mut Self, NodeId, &Place<'_>) -> T + Copy,
        records: &mut Vec<T>,
    ) {
        if items.is_empty() || self.is_full() {
            return;
        }
        let mut text = String::new();
        emit::sequence(self.index, items, &mut text);
        match deserialize::<Vec<T>>(&text) {
            Ok(part) => records.extend(part),
            Err(_) if items.len() == 1 => records.push(one(self, items[0], &place.item(first))),
            Err(_) => {
                let half = items.len() / 2;
                self.items(&items[..half], first, place, one, records);
                self.items(&items[half..], first + half, place, one, records);
            }
        }
    }

    /// Returns a record without the keys in `apart` and without those refused.
    fn record<T: Default + DeserializeOwned>(
        &mut self,
        node: NodeId,
        place: &Place<'_>,
        apart: &[&str],
    ) -> T {
        let index = self.index;
        if !matches!(index.content(node), Content::Mapping(_)) {
            let mut text = String::new();
            emit::node(index, node, &mut text);
            let result = deserialize::<T>(&text);
            return result.unwrap_or_else(|error| {
                self.refuse(&error, place);
                T::default()
            });
        }
        let mut kept = Vec::new();
        for entry in index.entries(node) {
            let is_apart = apart.contains(&entry.key.as_ref());
            if !is_apart && self.accepts::<T>(entry, place) {
                kept.push(entry);
            }
        }
        let mut text = String::new();
        emit::mapping(index, kept, &mut text);
        deserialize(&text).unwrap_or_default()
    }

    /// Returns whether the deserializer accepts a key alone.
    fn accepts<T: DeserializeOwned>(&mut self, entry: &Entry<'t>, place: &Place<'_>) -> bool {
        if self.is_full() {
            return false;
        }
        let mut text = String::new();
        emit::mapping(self.index, [entry], &mut text);
        let Err(error) = deserialize::<T>(&text) else {
            return true;
        };
        self.refuse(&error, &place.key(&entry.key));
        false
    }

    /// Adds the finding for a refused key.
    fn refuse(&mut self, error: &Error, place: &Place<'_>) {
        let finding = match error {
            Error::SerdeUnknownField {
                field, expected, ..
            } => {
                let (finding, meant) = unknown_key::check(self.index, place, field, expected);
                self.reading.meant.extend(meant);
                finding
            }
            error => value::check(self.index, place, error),
        };
        self.reading.findings.push(finding);
    }

    /// Returns whether enough findings have been collected.
    fn is_full(&self) -> bool {
        self.reading.findings.len() >= MAX_FINDINGS
    }
}
