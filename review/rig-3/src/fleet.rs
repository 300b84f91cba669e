//! The project's daemons as processes, and calls to them.

use std::{
    fs::{
        self,
        File, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    cloud::Cloud,
    http::{
        call,
        serve, //
    },
    runner::Runner,
    store::Store,
    Record, //
};

pub const KEY: &str = "key-of-the-tenant";
pub const HOST: &str = "queues.example";

pub struct Node {
    pub name: String,
    pub frontend: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Whether the case has ended the process.
    was_ended: bool,
    /// Number of times that the process ended by itself.
    pub own_ends: u32,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub runners: Vec<Arc<Runner>>,
    pub nodes: Vec<Node>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

/// Returns two free ports in a row.
fn free_ports() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = first.local_addr().expect("bound").port();
        if port < 60_000 && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound").port()
}

impl Fleet {
    /// Starts the store, the list of machines, runners (id, service, zone, cpu) and one
    /// daemon in each of the zones.
    pub fn start(
        record: &Arc<Record>,
        runners: &[(&str, &str, &str, u64)],
        zones: &[&str],
        configuration: &str,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("rig-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Arc::new(Store::default());
        store.put("op/config", configuration.as_bytes());
        let expiring = store.clone();
        thread::spawn(move || expiring.expire());
        let serving = store.clone();
        let store_address = serve(move |request| serving.answer(request));
        let start = |(id, service, zone, cpu): &(&str, &str, &str, u64)| {
            Runner::start(id, service, zone, *cpu, &store, record)
        };
        let runners: Vec<Arc<Runner>> = runners.iter().map(start).collect();
        let cloud = Cloud::new(&runners, &store, record);
        let listing = cloud.clone();
        let cloud_address = serve(move |request| listing.answer(request));
        let mut fleet = Self {
            store,
            cloud,
            runners,
            nodes: Vec::new(),
            record: record.clone(),
            folder,
        };
        for (index, zone) in zones.iter().enumerate() {
            fleet.add_node(index, zone, store_address, cloud_address);
        }
        fleet
    }

    fn add_node(&mut self, index: usize, zone: &str, store: SocketAddr, cloud: SocketAddr) {
        let name = format!("frontend-{zone}-{index}");
        let (frontend, readiness, internal) = (free_port(), free_port(), free_ports());
        let last = internal + 1;
        let text = format!(
            r#"nodeName = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "isl"
internalPorts = [{internal},{last}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
controlMode = "invocation"
advisor = ""
[listenAddrs]
frontend = "127.0.0.1:{frontend}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxExtensionMs = 5000
strictRevocation = false
revokeMs = 5000
quotaWindowS = 5
quotaOverrun = 0.1
quotaSlack = 20
evacuationMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 3
checkpointIntervalS = 1
restoreMs = 600
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnabled = true
leaseMs = 3000
thawSlackMs = 300
pacingMs = 100
disruptionMs = 4000
[platform]
address = "{store}"
form = "kv"
mutationsPerS = 400
lookupsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutiesPerS = 64.0
"#
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the temporary folder is writable");
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        self.record
            .note(format!("node   {name} starts, process {}", child.id()));
        self.nodes.push(Node {
            name,
            frontend: SocketAddr::from(([127, 0, 0, 1], frontend)),
            settings,
            log,
            child,
            was_ended: false,
            own_ends: 0,
        });
    }

    /// Starts processes again that have ended, as the platform does.
    pub fn restart_ended(&mut self) {
        for node in &mut self.nodes {
            let Ok(Some(status)) = node.child.try_wait() else {
                continue;
            };
            if !node.was_ended {
                node.own_ends += 1;
                self.record
                    .note(format!("node   {} ended by itself: {status}", node.name));
            }
            node.child = spawn(&node.settings, &node.log);
            node.was_ended = false;
            let id = node.child.id();
            self.record
                .note(format!("node   {} starts again, process {id}", node.name));
        }
    }

    /// Returns the node that holds the scheduler's key in the store.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.get("leader")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        self.nodes.iter().position(|node| text.contains(&node.name))
    }

    /// Sends a signal, such as `KILL`, to a node's process.
    pub fn signal(&mut self, index: usize, name: &str) {
        let node = &mut self.nodes[index];
        let id = node.child.id().to_string();
        if matches!(name, "KILL" | "TERM") {
            node.was_ended = true;
        }
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        let is_sent = sent.is_ok_and(|status| status.success());
        self.record.note(format!(
            "node   {} gets SIG{name}, sent: {is_sent}",
            node.name
        ));
    }

    /// Makes a client's call; `None` without an answer.
    pub fn client(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("dotterelsill-credential", KEY),
            ("dotterelsill-deadline-ms", "3000"),
        ];
        let address = self.nodes[node].frontend;
        let limit = Duration::from_millis(3200);
        let answer = call(address, method, path, &headers, body, limit);
        let name = &self.nodes[node].name;
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record
            .note(format!("client {method} {path} at {name}: {text}"));
        answer
    }

    /// Submits a job until it is accepted; returns whether it was.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        for node in (0..self.nodes.len()).cycle() {
            match self.client(node, "POST", path, body) {
                Some((200..=299, _)) => return true,
                _ if Instant::now() > until => return false,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Waits until a condition holds; returns whether it does.
    pub fn wait(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if holds(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        holds(self)
    }

    /// Waits until one node schedules and all others answer clients.
    pub fn wait_until_ready(&self) -> bool {
        self.wait(Duration::from_secs(15), |fleet| {
            fleet.leader().is_some()
                && (0..fleet.nodes.len()).all(|node| {
                    let answer = fleet.client(node, "GET", "/work/00000000000000ff", "");
                    matches!(answer, Some((410, _)))
                })
        })
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let program =
        std::env::var("RIG_NODE").unwrap_or("target/release/dotterelsill-node".to_owned());
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    Command::new(program)
        .env_clear()
        .env("DOTTERELSILL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon is built")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        if std::env::var("RIG_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}
