//! A small deployment on loopback: the platform, its runners and the daemons.

use std::{
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU16,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use crate::{
    http::{
        call,
        Reply,
        Request,
        Server, //
    },
    json::Json,
    record::Record,
    store::Store,
    worker::{
        Runs,
        Worker, //
    }, //
};

/// Command of the deploy file.
const COMMAND: &str = "target/release/dotterelsill-node";

/// Environment variable with the folder for the logs of the processes.
const LOG_FOLDER_VARIABLE: &str = "RIG_LOGS";

pub const HOST: &str = "host.example";
pub const KEY: &str = "sjnbanfqasnmgkcuyj8p";
/// Key of a second tenant, which has no upper limit.
pub const OTHER_KEY: &str = "jbvk9m68k7b2ex5wa5xw";
pub const PATH_PREFIX: &str = "/kafi706/";

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns the first of some free ports in a row.
pub fn free_ports(count: u16) -> u16 {
    loop {
        let offset = NEXT_PORT.fetch_add(count, Ordering::SeqCst);
        let seed = (std::process::id() % 97) as u16 * 113;
        let first = 11_000 + (seed + offset) % 20_000;
        let is_free = |port: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// An entry machine of the system.
pub struct Node {
    pub name: String,
    zone: String,
    ports: u16,
    store: SocketAddr,
    child: Option<Child>,
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        address(self.ports + 2)
    }
}

/// What a configuration may vary.
#[derive(Clone)]
pub struct Config {
    pub version: u64,
    pub has_route: bool,
    pub max_attempts: u64,
    /// Upper limit of the tenant, in thousandths of a core; 0 for none.
    pub cap_cpu: u64,
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub runs: Runs,
    pub workers: Vec<Worker>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    machines: SocketAddr,
    /// Time that an answer to a request for the list of machines takes.
    pub list_delay_ms: Arc<AtomicU64>,
}

impl Site {
    /// Starts the platform and runners in the given zones.
    pub fn start(out: &Path, zones: &[&str]) -> std::io::Result<Self> {
        let record = Record::create(&out.join("record.txt"))?;
        let store = Store::default();
        let runs = Runs::default();
        let worker = |(index, zone): (usize, &&str)| {
            let address = address(free_ports(1));
            Worker::start(index + 1, "kiosk", zone, address, &store, &record, &runs)
        };
        let workers: Vec<Worker> = zones.iter().enumerate().map(worker).collect();
        let listed = workers.clone();
        let list_delay_ms = Arc::new(AtomicU64::new(0));
        let delay_ms = list_delay_ms.clone();
        let machines = Server::start(address(free_ports(1)), move |request: &Request| {
            if request.path != "/machines" {
                // Each pool has machines of its own kind.
                return Reply::Answer(400, Json::Object(Vec::new()));
            }
            let list = listed.iter().map(Worker::machine).collect();
            thread::sleep(Duration::from_millis(delay_ms.load(Ordering::SeqCst)));
            let fields = [("machines", Json::List(list)), ("nextToken", Json::Null)];
            Reply::Answer(200, Json::object(&fields))
        });
        let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            record,
            store,
            runs,
            workers,
            nodes: Vec::new(),
            folder,
            machines: machines.address,
            list_delay_ms,
        })
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, config: &Config) {
        let route = Json::object(&[
            ("name", Json::text("r-4jcda9r")),
            ("host", Json::text(HOST)),
            ("pathPrefix", Json::text(PATH_PREFIX)),
            ("kind", Json::text("non_idempotent")),
            ("timeoutMs", Json::number(3000)),
            ("targetCompletionMs", Json::number(600)),
            ("priority", Json::number(0)),
            ("service", Json::text("kiosk")),
            ("maxAttempts", Json::number(config.max_attempts)),
            ("slackFactor", Json::Number(1.6)),
            ("anonymous", Json::Bool(false)),
        ]);
        let service = Json::object(&[
            ("name", Json::text("kiosk")),
            ("healthPath", Json::text("/healthz")),
            ("maxConnections", Json::number(64)),
            ("protocol", Json::text("h1")),
            ("tls", Json::Bool(false)),
            ("enforcesLimits", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = Json::object(&[
            ("maxHeaderBytes", Json::number(16_384)),
            ("maxBodyBytes", Json::number(262_144)),
            ("headerTimeoutMs", Json::number(3000)),
            ("idleTimeoutMs", Json::number(15_000)),
        ]);
        let cap = Json::object(&[
            ("cpu", Json::number(config.cap_cpu)),
            ("memMb", Json::number(0)),
            ("gpu", Json::number(0)),
        ]);
        let tenant = Json::object(&[
            ("name", Json::text("cugo130")),
            ("apiKeys", Json::List(vec![Json::text(KEY)])),
            ("priority", Json::number(1)),
            ("weight", Json::number(54)),
            ("cap", cap),
        ]);
        let no_cap = Json::object(&[
            ("cpu", Json::number(0)),
            ("memMb", Json::number(0)),
            ("gpu", Json::number(0)),
        ]);
        let other_tenant = Json::object(&[
            ("name", Json::text("dara217")),
            ("apiKeys", Json::List(vec![Json::text(OTHER_KEY)])),
            ("priority", Json::number(1)),
            ("weight", Json::number(54)),
            ("cap", no_cap),
        ]);
        let routes = if config.has_route {
            vec![route]
        } else {
            Vec::new()
        };
        let document = Json::object(&[
            ("version", Json::number(config.version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![service])),
            ("limits", limits),
            ("tenants", Json::List(vec![tenant, other_tenant])),
        ]);
        self.store.put("op/config", &document);
        self.record.write(&format!(
            "operator: configuration {} is acknowledged, with route: {}",
            config.version, config.has_route
        ));
    }

    /// Adds an entry machine and starts its process.
    pub fn add_node(&mut self, zone: &str) -> std::io::Result<usize> {
        let store = self.store.clone();
        let server = Server::start(address(free_ports(1)), move |request| store.answer(request));
        let number = self.nodes.len() + 1;
        self.nodes.push(Node {
            name: format!("frontend-{zone}-{number}"),
            zone: zone.to_owned(),
            ports: free_ports(4),
            store: server.address,
            child: None,
        });
        self.start_node(number - 1)?;
        Ok(number - 1)
    }

    pub fn start_node(&mut self, index: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[index];
        let (peers, callers, readiness) = (node.ports, node.ports + 2, node.ports + 3);
        let settings = format!(
            "nodeName = \"{}\"\nrole = \"node\"\nmachineClass = \"frontend\"\n\
             serves = [\"frontend\"]\nip = \"127.0.0.1\"\nzone = \"{}\"\nregion = \"isl\"\n\
             internalPorts = [{peers},{}]\nbootstrap = true\nheartbeatMs = 1500\n\
             controlMode = \"invocation\"\n\
             [listenAddrs]\nfrontend = \"127.0.0.1:{callers}\"\n\
             readiness = \"127.0.0.1:{readiness}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n\
             [bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\n\
             configApplyMs = 2000\nmaxExtensionMs = 5000\nstrictRevocation = false\n\
             revokeMs = 5000\nquotaOverrun = 0.1\nevacuationMs = 5000\nholdMaxMs = 10000\n\
             stopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             status_s = 120\nnoticeMs = 4500\nmigrationS = 1.5\nmaintenanceS = 2\n\
             fencingEnabled = true\nleaseMs = 3000\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\n\
             [cloudApi]\naddress = \"{}\"\n",
            node.name,
            node.zone,
            peers + 1,
            node.store,
            self.machines,
        );
        let file = self.folder.join(format!("{}.toml", node.name));
        fs::write(&file, settings)?;
        let log = match std::env::var_os(LOG_FOLDER_VARIABLE) {
            Some(folder) => {
                let path = PathBuf::from(folder).join(format!("{}.log", node.name));
                let file = fs::File::options().create(true).append(true).open(path)?;
                Stdio::from(file)
            }
            None => Stdio::null(),
        };
        let child = Command::new(COMMAND)
            .env("DOTTERELSILL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.record
            .write(&format!("process of {} starts", node.name));
        node.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, index: usize, signal: &str) {
        let node = &self.nodes[index];
        if let Some(child) = &node.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status();
            self.record.write(&format!("SIG{signal} to {}", node.name));
        }
    }

    /// Returns the machine that schedules, by the record in the store.
    pub fn scheduler(&self) -> Option<usize> {
        let value = self.store.value("leader")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        self.nodes.iter().position(|node| text.contains(&node.name))
    }

    /// Sends a client's request to a machine, and records it with its answer.
    pub fn client(&self, node: usize, method: &str, id: &str, body: &str) -> (u16, String) {
        self.client_with(KEY, node, method, id, body)
    }

    /// Sends a request with a tenant's key.
    pub fn client_with(
        &self,
        key: &str,
        node: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> (u16, String) {
        let path = format!("{PATH_PREFIX}{id}");
        let sent_ms = self.record.now_ms();
        let callers = self.nodes[node].callers();
        let (status, answer) = call(callers, method, HOST, &path, key, body);
        self.record.write(&format!(
            "client: {method} {id} sent to {} at {:.3} s: {status} {answer}",
            self.nodes[node].name,
            sent_ms as f64 / 1000.0
        ));
        (status, answer)
    }

    /// Submits a job of one step, and tries again as clients do until it is accepted.
    pub fn submit(&self, node: usize, id: &str, spec: &str, count: u64, cpu: u64) -> bool {
        self.submit_step(node, id, spec, &format!("\"count\":{count},\"cpu\":{cpu}"))
    }

    /// Submits a job of one step with the given fields.
    pub fn submit_step(&self, node: usize, id: &str, spec: &str, fields: &str) -> bool {
        let body = Self::body(spec, fields);
        let accepted = || self.client(node, "POST", id, &body).0 == 200;
        wait_until(Duration::from_secs(10), accepted)
    }

    /// Returns the body of a job of one step with the given fields.
    pub fn body(spec: &str, fields: &str) -> String {
        format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{{fields},\"memMb\":256,\
             \"estimatedMs\":900}}]}}"
        )
    }

    /// Returns the time of day.
    pub fn unix_ms(&self) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        unix.map_or(0, |unix| unix.as_millis() as u64)
    }

    /// Kills the processes that use more memory than the platform allows, as it does.
    /// Returns their number, and adds them to `killed`.
    pub fn kill_above(&mut self, most_mb: u64, killed: &mut Vec<(usize, Instant)>) -> usize {
        let mut count = 0;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let Some(child) = &mut node.child else {
                continue;
            };
            let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
            let resident_kb: u64 = status
                .unwrap_or_default()
                .lines()
                .find_map(|line| line.strip_prefix("VmRSS:"))
                .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
                .unwrap_or(0);
            if resident_kb <= most_mb * 1024 {
                continue;
            }
            let _ = child.kill();
            let _ = child.wait();
            node.child = None;
            killed.push((index, Instant::now()));
            count += 1;
            self.record.write(&format!(
                "process of {} uses {resident_kb} KB and is killed",
                node.name
            ));
        }
        count
    }

    /// Waits until all machines serve and one schedules.
    pub fn wait_until_ready(&self) -> bool {
        let unknown = format!("{PATH_PREFIX}00000000000000ff");
        let serves = |node: &Node| call(node.callers(), "GET", HOST, &unknown, KEY, "").0 == 410;
        wait_until(Duration::from_secs(15), || {
            self.nodes.iter().all(serves) && self.scheduler().is_some()
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds; returns whether it did within the limit.
pub fn wait_until(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < limit {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
