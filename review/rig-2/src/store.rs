//! The platform's store: keys with revisions, leases and watches, all linearizable.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
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
        Answer,
        Request,
        Server, //
    },
    json::{
        quoted,
        Json, //
    }, //
};

/// Most items and bytes of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
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
    history: Vec<(u64, String, Option<Item>)>,
    /// When each revision began.
    times: Vec<(Instant, u64)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    /// Age of what reads with `serializable` return.
    pub stale_age: Mutex<Duration>,
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.times.push((Instant::now(), self.revision));
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.times.push((Instant::now(), self.revision));
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.lock().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            if expiring.lock().expire() {
                expiring.changed.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock")
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Server {
        let store = self.clone();
        Server::start(address, move |request| store.answer(request))
    }

    /// Writes a key, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Writes keys with values in Base64, in one change.
    pub fn put_encoded(&self, items: impl Iterator<Item = (String, String)>) {
        let mut state = self.lock();
        state.revision += 1;
        items.for_each(|(key, value)| state.write(&key, &value, 0));
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the keys below a prefix and their values in Base64.
    pub fn items(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.lock();
        let below = state.items.range(prefix.to_owned()..);
        below
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    fn answer(&self, request: &Request) -> Answer {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/kv-key" => {
                let state = self.lock();
                let key = request.query("key");
                match state.items.get(key) {
                    Some(item) => (200, item_json(key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/kv-range" => {
                let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
                let age = *self.stale_age.lock().expect("lock");
                if request.query("serializable") == "1" && !age.is_zero() {
                    return self.stale_range(prefix, age);
                }
                self.range(prefix, after)
            }
            "/kv-watch" => {
                let number = |name| request.query(name).parse().unwrap_or(0);
                self.watch(
                    request.query("pathPrefix"),
                    number("after"),
                    number("waitMs"),
                )
            }
            "/kv-txn" => self.commit(&request.body),
            "/kv-lease" => {
                let ttl_ms = Json::parse(&request.body).map_or(0, |b| b.get("ttlMs").number());
                let ttl = Duration::from_millis(ttl_ms.max(1000));
                let mut state = self.lock();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!(r#"{{"lease":{id},"ttlMs":{}}}"#, ttl.as_millis()),
                )
            }
            _ => self.lease_call(path),
        }
    }

    fn lease_call(&self, path: &str) -> Answer {
        let mut state = self.lock();
        state.expire();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        if let Some(id) = id("/kv-keep/") {
            let Some((ttl, until)) = state.leases.get_mut(&id) else {
                return (404, "{}".to_owned());
            };
            *until = Instant::now() + *ttl;
            let ttl_ms = ttl.as_millis();
            return (200, format!(r#"{{"ttlMs":{ttl_ms}}}"#));
        }
        if let Some(id) = id("/kv-lease-end/") {
            state.end_lease(id);
            drop(state);
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        (400, "{}".to_owned())
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let state = self.lock();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        let begin = prefix.max(after).to_owned();
        for (key, item) in state.items.range(begin..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let items = items.join(",");
        let at = state.revision;
        (
            200,
            format!(r#"{{"items":[{items}],"hasMore":{has_more},"at":{at}}}"#),
        )
    }

    /// Returns all items below a prefix as they were some time ago.
    fn stale_range(&self, prefix: &str, age: Duration) -> Answer {
        let state = self.lock();
        let then = Instant::now().checked_sub(age);
        let is_past = |(at, _): &&(Instant, u64)| then.is_some_and(|then| *at <= then);
        let revision = state
            .times
            .iter()
            .rev()
            .find(is_past)
            .map_or(0, |(_, r)| *r);
        let mut items: BTreeMap<&str, &Item> = BTreeMap::new();
        for (at, key, item) in &state.history {
            if *at > revision || !key.starts_with(prefix) {
                continue;
            }
            match item {
                Some(item) => items.insert(key, item),
                None => items.remove(key.as_str()),
            };
        }
        let items: Vec<String> = items
            .iter()
            .map(|(key, item)| item_json(key, item))
            .collect();
        let items = items.join(",");
        (
            200,
            format!(r#"{{"items":[{items}],"hasMore":false,"at":{revision}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let begin = state.history.partition_point(|(at, _, _)| *at <= after);
            let events: Vec<String> = state.history[begin..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(at, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        r#"{{"key":{},"revision":{at},"deleted":true}}"#,
                        quoted(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            state = self.changed.wait_timeout(state, left).expect("lock").0;
        }
    }

    fn commit(&self, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        state.expire();
        let expected = body.get("expectedRevision").list();
        let is_met = |row: &Json| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        };
        if !expected.iter().all(is_met) {
            let current: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, current.join(",")));
        }
        let writes = body.get("writes").list();
        let has_lease = |row: &Json| {
            let lease = row.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in writes {
            let (key, value) = (row.get("key").text(), row.get("value").text());
            state.write(key, value, row.get("lease").number());
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
