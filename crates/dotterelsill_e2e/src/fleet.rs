//! A small fleet of processes: the store, upstreams and entries.

use std::{
    fmt::Write as _,
    future::Future,
    net::SocketAddr,
    sync::atomic::AtomicU64,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::store::{
    standin_control_client::StandinControlClient,
    CountsRequest,
    CountsResponse,
    SetFaultsRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Channel,
    Tasks, //
};

use crate::{
    new_address,
    read_runs,
    Caller,
    Link,
    Mode,
    Process,
    Run, //
};

/// Maximum time to wait for the fleet to reach an expected state.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time to wait for the answer to a call. A change may take 9 s to come into
/// force, and the process may be frozen before it answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// An entry process and the links that connect it to the store and its peers.
pub struct Entry {
    /// Process of the entry.
    pub process: Process,
    /// Link from this entry to the store.
    pub store_link: Link,
    /// Link from the other entries to this one.
    pub peer_link: Link,
}

/// Processes of a small fleet on loopback.
pub struct Fleet {
    /// Entries, one in each data centre; the data centres are `a`, `b` and so on.
    pub entries: Vec<Entry>,
    /// Upstreams, one in each data centre.
    pub upstreams: Vec<Process>,
    /// Links to the upstreams, shared by all entries.
    pub upstream_links: Vec<Link>,
    /// Stand-in of the key-value store.
    pub store: Process,
    /// Stand-in of the platform. Its list of instances lags by 1 s and is the only
    /// source from which the entries learn the upstreams' states.
    pub platform: Option<Process>,
    /// Task group of the callers and operators.
    pub tasks: Tasks,
    pub(crate) next_write: AtomicU64,
    /// Runs of the upstreams that were replaced.
    runs_of_replaced: Vec<Vec<Run>>,
}

impl Fleet {
    /// Starts a fleet with one entry and one upstream in each data centre.
    pub fn start(data_centres: usize, service_time_ms: u32, tasks: &Tasks) -> Self {
        Self::start_on(None, data_centres, service_time_ms, tasks)
    }

    /// Starts a fleet as [`Self::start`] does, with a stand-in of the platform.
    pub fn start_with_platform(data_centres: usize, service_time_ms: u32, tasks: &Tasks) -> Self {
        let platform = start_platform(data_centres);
        Self::start_on(Some(platform), data_centres, service_time_ms, tasks)
    }

    fn start_on(
        platform: Option<Process>,
        data_centres: usize,
        service_time_ms: u32,
        tasks: &Tasks,
    ) -> Self {
        let store = Process::start(
            "dotterelsill-standin-store",
            &format!("{{ listen: \"{}\" }}", new_address()),
            1,
        );
        let mut fleet = Self {
            entries: Vec::new(),
            upstreams: Vec::new(),
            upstream_links: Vec::new(),
            store,
            platform,
            tasks: tasks.clone(),
            next_write: AtomicU64::new(0),
            runs_of_replaced: Vec::new(),
        };
        for index in 0..data_centres {
            let upstream = start_upstream(service_time_ms);
            fleet.upstream_links.push(Link::new(upstream.address("")));
            fleet.upstreams.push(upstream);
            let entry = fleet.start_entry(index);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Starts an entry in a data centre, given by its index. It has the same
    /// instance name as the entry that it replaces.
    pub fn start_entry(&self, index: usize) -> Entry {
        let store_link = Link::new(self.store.address(""));
        let peer_link = Link::new(store_link.address());
        peer_link.set(Mode::Cut);
        let name = data_centre(index);
        let platform = self.platform.as_ref();
        let platform = platform.map_or(String::new(), |platform| platform.address("").to_string());
        let settings = format!(
            "instance: entry-{name}\ndata_centre: {name}\n\
             listen_callers: \"{}\"\nlisten_peers: \"{}\"\n\
             listen_admin: \"{}\"\nstore: \"{}\"\n\
             advertise_peers: \"{}\"\nthreads: 2\nbalancer_grace_ms: 100\n\
             shutdown_timeout_ms: 15000\nplatform: \"{platform}\"\n",
            new_address(),
            new_address(),
            new_address(),
            store_link.address(),
            peer_link.address(),
        );
        let process = Process::start("dotterelsill-entry", &settings, 3);
        peer_link.set_target(process.address("listen_peers"));
        peer_link.set(Mode::Pass);
        Entry {
            process,
            store_link,
            peer_link,
        }
    }

    /// Kills an upstream and starts a new one behind the same link.
    pub fn replace_upstream(&mut self, index: usize, service_time_ms: u32) {
        let upstream = &mut self.upstreams[index];
        upstream.kill();
        let runs = read_runs(index, &upstream.log(), upstream.killed_at_us());
        self.runs_of_replaced.push(runs);
        *upstream = start_upstream(service_time_ms);
        self.upstream_links[index].set_target(upstream.address(""));
    }

    /// Returns every run that the upstreams have logged, including upstreams that
    /// were replaced.
    pub fn logged_runs(&self) -> Vec<Run> {
        let mut runs = self.runs_of_replaced.concat();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            runs.extend(read_runs(index, &upstream.log(), None));
        }
        runs
    }

    /// Returns the operators' configuration of the fleet, in YAML: the service
    /// `work` with all upstreams; the queues `open`, `keyed` (repeatable) and `once`
    /// (not repeatable); the teams `red` (limit of 4 requests) and `blue` (limit of
    /// 8 requests).
    pub fn configuration(&self, isolation_limit_s: u32) -> String {
        let mut text = format!("isolation_limit_s: {isolation_limit_s}\ndata_centres:\n");
        for index in 0..self.upstreams.len() {
            let _ = writeln!(
                text,
                "  - {{ name: {}, region: north }}",
                data_centre(index)
            );
        }
        text.push_str(
            "teams:\n\
             \x20 - { name: red, share_percent: 30, floor_requests: 1, limit_requests: 4 }\n\
             \x20 - { name: blue, share_percent: 70, floor_requests: 1, limit_requests: 8 }\n\
             services:\n  - name: work\n    depends_on: []\n\
             \x20   availability_floor_percent: 50\n    upstreams:\n",
        );
        for (index, link) in self.upstream_links.iter().enumerate() {
            let name = data_centre(index);
            let _ = writeln!(
                text,
                "      - {{ name: work-{name}, address: \"{}\", data_centre: {name}, \
                 rack: {name}1, slots: 8, connections: 64 }}",
                link.address(),
            );
        }
        text.push_str("queues:\n");
        for (name, open, repeatable) in [
            ("open", true, true),
            ("keyed", false, true),
            ("once", false, false),
        ] {
            let _ = writeln!(
                text,
                "  - {{ name: {name}, service: work, urgency: 0, open: {open}, \
                 repeatable: {repeatable}, timeout_ms: 4000, max_run_ms: 4000 }}",
            );
        }
        text
    }

    /// Returns a caller of an entry, given by its index.
    pub fn caller(&self, index: usize, key: Option<&str>) -> Caller {
        Caller {
            address: self.entries[index].process.address("listen_callers"),
            key: key.map(str::to_owned),
            tasks: self.tasks.clone(),
        }
    }

    /// Returns how many times a request body was run, over all upstreams.
    ///
    /// # Panics
    ///
    /// Panics if an upstream does not expect_response.
    pub async fn run_count(&self, body: &str) -> u32 {
        let mut runs = 0;
        for index in 0..self.upstreams.len() {
            runs += self.run_count_on(index, body).await;
        }
        runs
    }

    /// Returns how many times one upstream, given by its index, ran a request body.
    ///
    /// # Panics
    ///
    /// Panics if the upstream does not expect_response.
    pub async fn run_count_on(&self, index: usize, body: &str) -> u32 {
        let caller = Caller {
            address: self.upstreams[index].address(""),
            key: None,
            tasks: self.tasks.clone(),
        };
        let answer = caller.send("/_count", body).await;
        let text = String::from_utf8_lossy(&answer.body);
        text.parse().expect("the upstream answers with a number")
    }

    /// Waits until a revision, or a later one, is in force on every entry.
    ///
    /// # Panics
    ///
    /// Panics if it takes longer than 20 s.
    pub async fn await_revision(&self, revision: u64) {
        let begin = Instant::now();
        for index in 0..self.entries.len() {
            while self.status(index).await.revision < revision {
                assert!(
                    begin.elapsed() < AWAIT_TIMEOUT,
                    "entry {index} has not reached revision {revision}"
                );
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sets the faults that the stand-in of the store injects.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not expect_response.
    pub async fn set_store_faults(&self, faults: SetFaultsRequest) {
        expect_response(self.store_control().set_faults(faults)).await;
    }

    /// Returns the numbers of calls that the store has received.
    pub async fn store_counts(&self) -> CountsResponse {
        expect_response(self.store_control().counts(CountsRequest {})).await
    }

    fn store_control(&self) -> StandinControlClient<Channel> {
        let channel = self.channel(self.store.address(""));
        StandinControlClient::with_origin(
            channel,
            tonic::codegen::http::Uri::from_static("http://store"),
        )
    }

    /// Returns a channel that only closes a connection when the call has failed anyway:
    /// a process that is frozen, or that gets no processor time, answers late.
    pub(crate) fn channel(&self, address: SocketAddr) -> Channel {
        Channel::new(address, Duration::from_secs(2), &self.tasks).with_ping_timeout(CALL_TIMEOUT)
    }
}

fn start_platform(data_centres: usize) -> Process {
    let mut settings = format!(
        "listen: \"{}\"\nlist_lag_ms: 1000\ninstances:\n",
        new_address()
    );
    for index in 0..data_centres {
        let name = data_centre(index);
        let _ = writeln!(
            settings,
            "  - {{ name: work-{name}, pool: work, rack: {name}1, data_centre: {name} }}"
        );
    }
    Process::start("dotterelsill-standin-platform", &settings, 1)
}

fn start_upstream(service_time_ms: u32) -> Process {
    let settings = format!(
        "{{ listen: \"{}\", slots: 8, connections: 64, service_time_us: {}, \
         log_level: debug }}",
        new_address(),
        service_time_ms * 1000
    );
    Process::start("dotterelsill-standin-upstream", &settings, 1)
}

fn data_centre(index: usize) -> char {
    char::from(b'a' + index as u8)
}

/// Waits for the response to a call.
///
/// # Panics
///
/// Panics if the call fails or is not answered within 25 s.
pub(crate) async fn expect_response<T>(
    call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> T {
    let result = timeout(CALL_TIMEOUT, call).await;
    let answered = result.expect("every call is answered within 25 s");
    answered.expect("the process answers").into_inner()
}
