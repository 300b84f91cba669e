//! Stand-in for the platform's metadata store.

use std::{
    collections::BTreeMap,
    sync::{
        Condvar,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    json,
    Value, //
};

use crate::http::{
    Reply,
    Request, //
};

const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                items: BTreeMap::new(),
                history: Vec::new(),
                revision: 1,
                leases: BTreeMap::new(),
                next_lease: 100,
            }),
            changed: Condvar::new(),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        true
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease})
}

fn reply(status: u16, body: Value) -> Reply {
    Reply::Json(status, body.to_string())
}

impl Store {
    /// Ends leases whose time is over, until the process ends.
    pub fn expire(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, (_, until))| now >= *until);
            let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
            for lease in ended {
                state.end_lease(lease);
            }
            self.changed.notify_all();
        }
    }

    /// Writes a value as an operator or a runner does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let value = base64(value);
        state.write(key, &value, 0);
        self.changed.notify_all();
    }

    /// Removes a key as an operator or a runner does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Returns the decoded value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        state.items.get(key).map(|item| from_base64(&item.value))
    }

    pub fn answer(&self, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.commit(&body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body["ttlMs"].as_u64().unwrap_or(1000).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                reply(200, json!({"lease": lease, "ttlMs": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path[9..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        let ttl_ms = ttl.as_millis() as u64;
                        reply(200, json!({"ttlMs": ttl_ms}))
                    }
                    None => reply(404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path[14..].parse().unwrap_or(0);
                let was_there = self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                reply(if was_there { 200 } else { 404 }, json!({}))
            }
            _ => reply(400, json!({})),
        }
    }

    fn key(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => reply(200, item_json(&key, item)),
            None => reply(404, json!({})),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in &state.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            let size = key.len() + item.value.len();
            let is_full = items.len() >= MAX_PAGE_ITEMS || bytes + size > MAX_PAGE_BYTES;
            if is_full && !items.is_empty() {
                has_more = true;
                break;
            }
            bytes += size;
            items.push(item_json(key, item));
        }
        reply(
            200,
            json!({"items": items, "hasMore": has_more, "at": state.revision}),
        )
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let is_new = |(revision, key, _): &&(u64, String, Option<Item>)| {
                *revision > after && key.starts_with(&prefix)
            };
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(is_new)
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return reply(200, json!({"events": events, "at": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Value) -> Reply {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removes) =
            (list("expectedRevision"), list("writes"), list("remove"));
        if expected.len() + writes.len() + removes.len() > 32 {
            return reply(400, json!({}));
        }
        let mut state = self.state.lock().unwrap();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let keys: Vec<String> = expected.iter().map(|row| text(&row["key"])).collect();
        let holds = expected
            .iter()
            .zip(&keys)
            .all(|(row, key)| row["revision"].as_u64().unwrap_or(0) == revision_of(&state, key));
        if !holds {
            let item = |key: &String| state.items.get(key).map(|item| item_json(key, item));
            let items: Vec<Value> = keys.iter().filter_map(item).collect();
            return reply(412, json!({"items": items}));
        }
        let lease_of = |write: &Value| write["lease"].as_u64().unwrap_or(0);
        let has_lease = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
        if !writes.iter().all(|write| has_lease(lease_of(write))) {
            return reply(404, json!({}));
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let mut changed = writes.iter().map(|write| text(&write["key"]));
        if changed.any(|key| is_foreign(&key)) {
            return reply(403, json!({}));
        }
        state.revision += 1;
        for write in &writes {
            let (key, value) = (text(&write["key"]), text(&write["value"]));
            state.write(&key, &value, lease_of(write));
        }
        for key in &removes {
            state.remove(&text(key));
        }
        let revision = state.revision;
        self.changed.notify_all();
        reply(200, json!({"revision": revision}))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().enumerate().fold(0_u32, |sum, (index, byte)| {
            sum | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut number, mut bits) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|known| *known == digit) else {
            break;
        };
        number = number << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits & 255) as u8);
        }
    }
    bytes
}
