//! Stand-in for the platform's interface for machines. Each pool has machines of its own
//! kind, so that none can be moved to another one.

use std::{
    collections::BTreeSet,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
};

use serde_json::{
    json,
    Value, //
};

use crate::{
    http::{
        Reply,
        Request, //
    },
    runner::Runner,
    store::Store,
    Record, //
};

const UPKEEP_TIME: Duration = Duration::from_secs(2);

struct Machine {
    name: String,
    runner: Arc<Runner>,
    is_in_upkeep: bool,
    fence: u64,
    /// Waves in which the machine had its upkeep.
    waves: BTreeSet<u64>,
}

pub struct Cloud {
    machines: Mutex<Vec<Machine>>,
    is_down: AtomicBool,
    /// Token of the second page of the list; the list has one page without it.
    page_token: Mutex<Option<String>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Cloud {
    pub fn new(runners: &[Arc<Runner>], store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let machine = |runner: &Arc<Runner>| Machine {
            name: format!("m-{}", runner.id),
            runner: runner.clone(),
            is_in_upkeep: false,
            fence: 0,
            waves: BTreeSet::new(),
        };
        Arc::new(Self {
            machines: Mutex::new(runners.iter().map(machine).collect()),
            is_down: AtomicBool::new(false),
            page_token: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        })
    }

    /// Takes the interface down, so that it does not answer, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.record.note(format!("cloud  is down: {is_down}"));
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Divides the list into two pages.
    pub fn set_page_token(&self, token: &str) {
        self.record
            .note(format!("cloud  the second page is {token:?}"));
        *self.page_token.lock().unwrap() = Some(token.to_owned());
    }

    pub fn answer(self: &Arc<Self>, request: &Request) -> Reply {
        if self.is_down.load(Ordering::SeqCst) {
            while self.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            return Reply::Close;
        }
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => (200, self.list(request)),
            ("POST", "/machine-upkeep") => self.upkeep(request),
            _ => (400, json!({})),
        };
        Reply::Json(status, body.to_string())
    }

    fn list(&self, request: &Request) -> Value {
        let machines = self.machines.lock().unwrap();
        let entry = |machine: &Machine| {
            let mut entry = machine.runner.machine(&machine.name);
            if machine.is_in_upkeep {
                entry["state"] = json!("upkeep");
                entry["id"] = json!("");
            }
            entry
        };
        let machines: Vec<Value> = machines.iter().map(entry).collect();
        let token = self.page_token.lock().unwrap().clone();
        let (first, rest) = machines.split_at(machines.len() / 2);
        match (token, request.query("pageToken")) {
            (None, _) => json!({"machines": machines, "nextToken": null}),
            (Some(token), None) => json!({"machines": first, "nextToken": token}),
            (Some(_), Some(_)) => json!({"machines": rest, "nextToken": null}),
        }
    }

    fn upkeep(self: &Arc<Self>, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let token = request.header("dotterelsill-fencing-token");
        let token: u64 = token.and_then(|text| text.parse().ok()).unwrap_or(0);
        let wave = body["wave"].as_u64().unwrap_or(0);
        let mut machines = self.machines.lock().unwrap();
        let found = machines
            .iter_mut()
            .find(|machine| body["machine"] == machine.name);
        let Some(machine) = found else {
            return (400, json!({}));
        };
        let refused = |reason: &str| (409, json!({"reason": reason}));
        if token < machine.fence {
            return refused("fence");
        }
        machine.fence = token;
        let requested = self
            .store
            .get(&format!("op/wave/{wave}"))
            .unwrap_or_default();
        let requested: Value = serde_json::from_slice(&requested).unwrap_or(Value::Null);
        let mut names = requested["machines"].as_array().into_iter().flatten();
        if !names.any(|name| *name == machine.name) {
            return refused("wave");
        }
        if machine.waves.contains(&wave) {
            return (200, json!({}));
        }
        if machine.is_in_upkeep {
            return refused("busy");
        }
        self.record
            .note(format!("cloud  {} has its upkeep", machine.name));
        machine.waves.insert(wave);
        machine.is_in_upkeep = true;
        machine.runner.leave();
        let (cloud, name) = (self.clone(), machine.name.clone());
        thread::spawn(move || {
            thread::sleep(UPKEEP_TIME);
            let mut machines = cloud.machines.lock().unwrap();
            let found = machines.iter_mut().find(|machine| machine.name == name);
            if let Some(machine) = found {
                let id = format!("{}-next", machine.runner.id);
                machine.runner = machine.runner.successor(&id, &cloud.store);
                machine.is_in_upkeep = false;
            }
        });
        (200, json!({}))
    }
}
