//! A small deployment: store, list of machines, runners, and the project's program on
//! each of its machines.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    http::{
        self,
        Answer,
        Server, //
    },
    json::Json,
    record::Record,
    runner::{
        Run,
        Runner, //
    },
    store::Store, //
};

pub const HOST: &str = "jobs.example";
pub const QUEUE: &str = "/work/";
pub const OPEN_QUEUE: &str = "/open/";
pub const KEY: &str = "key-of-red";

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// Processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_started() {
    for pid in STARTED.lock().expect("lock").drain(..) {
        // SAFETY: the call has no memory effects; the process is a child of this one that
        // was not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

pub struct Node {
    pub name: String,
    folder: PathBuf,
    index: u8,
    pub callers: SocketAddr,
    internal_port: u16,
    readiness_port: u16,
    child: Option<Child>,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub store_server: Option<Server>,
    pub store_address: SocketAddr,
    pub runners: Arc<Mutex<Vec<Arc<Runner>>>>,
    pub nodes: Vec<Node>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    /// Number of lists of machines that were asked for.
    pub lists: Arc<AtomicU64>,
    folder: PathBuf,
    cloud: Server,
    program: String,
}

/// Returns a free port of an address, and the one after it.
fn free_ports(ip: &str) -> u16 {
    loop {
        let any = std::net::TcpListener::bind((ip, 0)).expect("a free port");
        let port = any.local_addr().expect("bound").port();
        if port < 65_000 && std::net::TcpListener::bind((ip, port + 1)).is_ok() {
            return port;
        }
    }
}

pub fn any(ip: &str) -> SocketAddr {
    format!("{ip}:0").parse().expect("an address")
}

pub fn free(ip: &str) -> SocketAddr {
    format!("{ip}:{}", free_ports(ip))
        .parse()
        .expect("an address")
}

/// The configuration: one queue with keys, one that is anonymous.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, prefix: &str, anonymous: bool| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"non_idempotent","timeoutMs":3000,"targetCompletionMs":600,"priority":1,"service":"pool","maxAttempts":3,"slackFactor":1.6,"anonymous":{anonymous}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"pool","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,"enforcesLimits":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"red","apiKeys":[{}],"priority":1,"weight":54,"cap":{{"cpu":100000,"memMb":0,"gpu":0}}}}]}}"#,
        route("r-work", QUEUE, false),
        route("r-open", OPEN_QUEUE, true),
        keys.join(",")
    )
}

impl Fleet {
    pub fn start(record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new();
        let store_server = store.serve(any("127.0.0.1"));
        let runners: Arc<Mutex<Vec<Arc<Runner>>>> = Arc::default();
        let listed = runners.clone();
        let lists: Arc<AtomicU64> = Arc::default();
        let asked = lists.clone();
        let cloud = Server::start(any("127.0.0.1"), move |request| {
            if !request.path.starts_with("/machines") {
                // No machine may be moved: each pool is one of other machines.
                return (400, "{}".to_owned());
            }
            let runners = listed.lock().expect("lock");
            let machines: Vec<String> = runners.iter().map(|r| r.machine_json()).collect();
            let machines = machines.join(",");
            asked.fetch_add(1, Ordering::SeqCst);
            (
                200,
                format!(r#"{{"machines":[{machines}],"nextToken":null}}"#),
            )
        });
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned());
        Self {
            store_address: store_server.address,
            store,
            store_server: Some(store_server),
            runners,
            nodes: Vec::new(),
            runs: Arc::default(),
            record: record.clone(),
            lists,
            folder,
            cloud,
            program: format!("{root}/target/release/dotterelsill-node"),
        }
    }

    pub fn add_runner(&self, number: usize, labels: &[&str]) -> Arc<Runner> {
        let address = free("127.0.0.1");
        self.add_runner_at(number, labels, address, address)
    }

    /// Adds a runner that registers another address than that at which it listens.
    pub fn add_runner_at(
        &self,
        number: usize,
        labels: &[&str],
        address: SocketAddr,
        registered: SocketAddr,
    ) -> Arc<Runner> {
        let runner = Runner::start(
            &format!("i-{number:04x}"),
            &format!("m-{number:04x}"),
            "zone-a",
            "pool",
            labels,
            address,
            registered,
            &self.runs,
            &self.record,
            &self.store,
        );
        self.runners.lock().expect("lock").push(runner.clone());
        runner
    }

    /// Adds a machine of the system.
    pub fn add_node(&mut self) {
        let index = self.nodes.len() as u8 + 2;
        let ip = format!("127.0.0.{index}");
        let name = format!("frontend-{index}");
        self.nodes.push(Node {
            folder: self.folder.clone(),
            index,
            callers: free(&ip),
            internal_port: free_ports(&ip),
            readiness_port: free_ports(&ip),
            child: None,
            name,
        });
        let number = self.nodes.len() - 1;
        self.write_settings(number);
        self.start_node(number);
    }

    pub fn write_settings(&self, number: usize) {
        let node = &self.nodes[number];
        let Node {
            name,
            index,
            callers,
            internal_port,
            readiness_port,
            ..
        } = node;
        let ip = format!("127.0.0.{index}");
        let (store, cloud) = (self.store_address, self.cloud.address);
        let last = internal_port + 1;
        let text = format!(
            r#"nodeName = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "zone-a"
region = "region"
internalPorts = [{internal_port},{last}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
controlMode = "invocation"
advisor = ""
[zones]
zone-a = "region"
[listenAddrs]
frontend = "{callers}"
readiness = "{ip}:{readiness_port}"
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
coldOverrun = 1.5
coldSlack = 5
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
        fs::write(node.folder.join(format!("{name}.toml")), text).expect("settings");
    }

    pub fn start_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = node.folder.join(format!("{}.log", node.name));
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .env(
                "DOTTERELSILL_NODE_FILE",
                node.folder.join(format!("{}.toml", node.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("clone"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().expect("lock").push(child.id());
                node.child = Some(child);
            }
            Err(error) => {
                eprintln!("{} cannot be started: {error}", self.program);
                std::process::exit(2);
            }
        }
        self.record.add(format!("{} starts", node.name));
    }

    /// Returns the process id of a program that runs.
    pub fn pid(&self, number: usize) -> u32 {
        self.nodes[number].child.as_ref().map_or(0, Child::id)
    }

    fn signal(&self, number: usize, signal: i32) {
        let pid = self.pid(number);
        if pid != 0 {
            // SAFETY: as in `kill_started`.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Tells a program that its settings file has changed.
    pub fn reload_node(&self, number: usize) {
        self.signal(number, SIGHUP);
    }

    /// Kills a program.
    pub fn kill_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if let Some(mut child) = node.child.take() {
            STARTED
                .lock()
                .expect("lock")
                .retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.add(format!("{} is killed", node.name));
    }

    /// Returns the number of the node that schedules, by its name in the store.
    pub fn leader(&self) -> Option<usize> {
        let items = self.store.items("");
        let names = self.nodes.iter().map(|node| node.name.clone());
        for (key, value) in items {
            if key.starts_with("op/") || key.starts_with("servers/") || !key.contains("leader") {
                continue;
            }
            let text = decode64(&value);
            for (number, name) in names.clone().enumerate() {
                if text.windows(name.len()).any(|part| part == name.as_bytes()) {
                    return Some(number);
                }
            }
        }
        None
    }

    pub fn call(
        &self,
        number: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<Answer> {
        let node = &self.nodes[number];
        let mut headers = vec![("Host", HOST), ("Dotterelsill-Deadline-Ms", "3000")];
        if !key.is_empty() {
            headers.push(("Dotterelsill-Credential", key));
        }
        let limit = Duration::from_millis(3000);
        let answer = http::call(node.callers, method, path, &headers, body, limit);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.add(format!(
            "client: {method} {path} {body} key {key:?} to {}: {shown}",
            node.name
        ));
        answer
    }

    /// Waits until a job is accepted by a node: the deployment is up.
    pub fn submit(&self, path: &str, key: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            if let Some((200, _)) = self.call(number, "POST", path, key, body) {
                return true;
            }
            number = (number + 1) % self.nodes.len();
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Asks for the state of a job until it is the given one.
    pub fn wait_for(&self, path: &str, key: &str, state: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            if let Some((200, body)) = self.call(number, "GET", path, key, "") {
                let is_it =
                    Json::parse(&body).is_some_and(|body| body.get("state").text() == state);
                if is_it {
                    return true;
                }
            }
            number = (number + 1) % self.nodes.len();
            thread::sleep(Duration::from_millis(500));
        }
        false
    }
}

fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let digit = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        bits = bits << 6 | u32::from(digit);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                STARTED
                    .lock()
                    .expect("lock")
                    .retain(|pid| *pid != child.id());
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
