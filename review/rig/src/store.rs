//! Stand-in for the platform's store: keys with revisions, leases and watches.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    http::{
        Reply,
        Request, //
    },
    json::Json, //
};

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of each change, in order.
    history: Vec<(u64, String)>,
    /// End and time to live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Start of an outage.
    down_since: Option<Instant>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no writer panics")
    }

    /// Writes a JSON document, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        self.lock().write(key, &value, 0);
    }

    /// Takes the store down or brings it back. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.lock();
        if is_down {
            state.expire();
            state.down_since = Some(Instant::now());
        } else if let Some(since) = state.down_since.take() {
            let paused = since.elapsed();
            state
                .leases
                .values_mut()
                .for_each(|(end, _)| *end += paused);
        }
    }

    /// Returns the value of a key, decoded.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| unbase64(&item.value))
    }

    /// Answers a call. Calls that arrive during an outage wait for its end.
    pub fn answer(&self, request: &Request) -> Reply {
        self.wait_while_down();
        let (status, body) = self.respond(request);
        self.wait_while_down();
        Reply::Answer(status, body)
    }

    fn wait_while_down(&self) {
        while self.lock().down_since.is_some() {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn respond(&self, request: &Request) -> (u16, Json) {
        if request.path == "/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.lock();
        state.expire();
        let empty = Json::Object(Vec::new());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => match state.item(request.query("key")) {
                Some(item) => (200, item),
                None => (404, empty),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
                let is_wanted = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
                let mut keys: Vec<String> = state.items.keys().filter(is_wanted).cloned().collect();
                let has_more = keys.len() > 500;
                keys.truncate(500);
                let items = keys.iter().filter_map(|key| state.item(key)).collect();
                let fields = [
                    ("items", Json::List(items)),
                    ("hasMore", Json::Bool(has_more)),
                    ("at", Json::number(state.revision)),
                ];
                (200, Json::object(&fields))
            }
            ("POST", "/kv-txn") => state.commit(&request.body),
            ("POST", "/kv-lease") => {
                let ttl_ms = request.body.get("ttlMs").as_u64().unwrap_or(0).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                let fields = [
                    ("lease", Json::number(lease)),
                    ("ttlMs", Json::number(ttl_ms)),
                ];
                (200, Json::object(&fields))
            }
            ("POST", path) => match state.leases.get_mut(&last_number(path)) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    let ttl_ms = ttl.as_millis() as u64;
                    (200, Json::object(&[("ttlMs", Json::number(ttl_ms))]))
                }
                None => (404, empty),
            },
            ("DELETE", path) => {
                if let Some((end, _)) = state.leases.get_mut(&last_number(path)) {
                    *end = Instant::now();
                }
                state.expire();
                (200, empty)
            }
            _ => (400, empty),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut state = self.lock();
            state.expire();
            let first = state.history.partition_point(|entry| entry.0 <= after);
            let changed = state.history[first..].iter();
            let changed: Vec<(u64, String)> = changed
                .filter(|entry| entry.1.starts_with(prefix))
                .cloned()
                .collect();
            if !changed.is_empty() || Instant::now() >= until {
                let event = |(revision, key): &(u64, String)| {
                    let deleted = [
                        ("key", Json::text(key)),
                        ("revision", Json::number(*revision)),
                        ("deleted", Json::Bool(true)),
                    ];
                    state.item(key).unwrap_or_else(|| Json::object(&deleted))
                };
                let events = changed.iter().map(event).collect();
                let fields = [
                    ("events", Json::List(events)),
                    ("at", Json::number(state.revision)),
                ];
                return (200, Json::object(&fields));
            }
            drop(state);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn item(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(Json::object(&[
            ("key", Json::text(key)),
            ("value", Json::text(&item.value)),
            ("revision", Json::number(item.revision)),
            ("created", Json::number(item.created)),
            ("lease", Json::number(item.lease)),
            ("at", Json::number(self.revision)),
        ]))
    }

    /// Ends the leases that are over, and removes their keys.
    fn expire(&mut self) {
        if self.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, Json) {
        let holds = |row: &Json| {
            let item = self.items.get(row.get("key").as_str());
            Some(item.map_or(0, |item| item.revision)) == row.get("revision").as_u64()
        };
        let expected = body.get("expectedRevision").as_list();
        if !expected.iter().all(holds) {
            let items = expected
                .iter()
                .filter_map(|row| self.item(row.get("key").as_str()));
            return (412, Json::object(&[("items", Json::List(items.collect()))]));
        }
        let lease_of = |row: &Json| row.get("lease").as_u64().unwrap_or(0);
        let writes = body.get("writes").as_list();
        let is_ended = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if writes.iter().any(|row| is_ended(lease_of(row))) {
            return (404, Json::Object(Vec::new()));
        }
        for row in writes {
            let (key, value) = (row.get("key").as_str(), row.get("value").as_str());
            self.write(key, value, lease_of(row));
        }
        for key in body.get("remove").as_list() {
            self.remove(key.as_str());
        }
        (
            200,
            Json::object(&[("revision", Json::number(self.revision))]),
        )
    }
}

fn last_number(path: &str) -> u64 {
    let digits = path.rsplit('/').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(ALPHABET[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|other| *other == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
