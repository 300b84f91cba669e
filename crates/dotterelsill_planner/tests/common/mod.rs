//! Fixture that runs planners, the stand-in store and the stand-in platform as
//! processes, and observes the platform.

mod seen;
mod text;

use std::{
    fmt::Write as _,
    future::Future,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    new_address,
    Process, //
};
use dotterelsill_proto::{
    config::{
        Document,
        Head, //
    },
    planner::{
        planner_client::PlannerClient,
        ExplainRequest,
        PlanRequest, //
    },
    platform::{
        platform_client::PlatformClient,
        standin_platform_control_client::StandinPlatformControlClient,
        ObserveRequest,
        ObserveResponse,
        OrderKind,
        OrderRequest,
        SetInstanceFaultsRequest,
        Stamp, //
    },
    store::{
        standin_control_client::StandinControlClient,
        SetFaultsRequest, //
    }, //
};
use dotterelsill_rpc::{
    Channel,
    Tasks, //
};
use dotterelsill_store::Client;
use prost::Message as _;
pub(crate) use seen::{
    check_safe,
    steps,
    ATTACH,
    DETACH,
    DRAIN,
    REBOOT, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use text::instances;
pub(crate) use text::{
    text,
    text_without, //
};
use tonic::codegen::http::Uri;

/// Instances of each service in the tests.
pub(crate) const INSTANCES: u32 = 4;
/// Least number of instances of a service that must stay in service.
pub(crate) const FLOOR: u32 = 3;

/// Time to live of the planners' lease in most tests.
pub(crate) const LEASE_MS: u32 = 1000;

/// How long a test waits for an expected state.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Stand-in store and stand-in platform of one test, with a client of the store.
pub(crate) struct World {
    platform: Process,
    pub(crate) store: Process,
    tasks: Tasks,
    client: Client,
    /// Newest revision of the configuration in the store.
    revision: u64,
}

/// Starts the stand-ins, stores a configuration and runs a test on an executor
/// with two threads.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    dotterelsill_rpc::run(2, |tasks| async move {
        let mut world = World::start(&tasks);
        world.configure(&text(&[]), &[]).await;
        test(world).await;
    });
}

impl World {
    fn start(tasks: &Tasks) -> Self {
        let store = Process::start(
            "dotterelsill-standin-store",
            &format!("{{ listen: \"{}\" }}", new_address()),
            1,
        );
        let mut settings = format!(
            "listen: \"{}\"\nlist_lag_ms: 200\ndrain_ms: 10\n\
             empty_ms: 20\ndetach_ms: 10\nattach_ms: 10\nreboot_ms: 30\ninstances:\n",
            new_address()
        );
        for (name, pool, data_centre, rack) in instances() {
            let _ = writeln!(
                settings,
                "  - {{ name: {name}, pool: {pool}, data_centre: {data_centre}, rack: {rack} }}"
            );
        }
        let platform = Process::start("dotterelsill-standin-platform", &settings, 1);
        let client = Client::new(store.address(""), tasks);
        Self {
            platform,
            store,
            tasks: tasks.clone(),
            client,
            revision: 0,
        }
    }

    /// Stores the next revision of the configuration, which excludes the given
    /// data centres.
    pub(crate) async fn configure(&mut self, text: &str, out: &[&str]) {
        self.revision += 1;
        let write_id = format!("write-{}", self.revision);
        let document = Document {
            write_id: write_id.clone(),
            text: text.to_owned(),
            data_centres_out: out.iter().map(ToString::to_string).collect(),
            ..Document::default()
        }
        .encode_to_vec();
        let head = Head {
            revision: self.revision,
            document_sha256: Sha256::digest(&document).to_vec(),
            write_id: write_id.clone(),
            ..Head::default()
        };
        let body = format!("config/body/{write_id}");
        let put = self.client.put(&body, document, 0, 0).await;
        assert!(put.is_ok_and(|put| put.written));
        let found = self.client.get("config/head").await;
        let found = found.expect("the store answers");
        let version = found.map_or(0, |entry| entry.version);
        let head = head.encode_to_vec();
        let put = self.client.put("config/head", head, version, 0).await;
        assert!(put.is_ok_and(|put| put.written));
    }

    /// Starts a planner that connects to the store at the given address.
    pub(crate) fn planner_through(&self, name: &str, store: SocketAddr, lease_ms: u32) -> Process {
        let settings = format!(
            "planner: {name}\nlisten: \"{}\"\nstore: \"{store}\"\nplatform: \"{}\"\n\
             lease_ms: {lease_ms}\ntick_ms: 50\ninterval_h: 5000\nplan_hour_ms: 200\n\
             soak_ms: 50\nwatch_ms: 2000\nmove_limit_ms: 10000\n",
            new_address(),
            self.platform.address("")
        );
        Process::start("dotterelsill-planner", &settings, 1)
    }

    pub(crate) fn planner(&self, name: &str) -> Process {
        self.planner_through(name, self.store.address(""), LEASE_MS)
    }

    pub(crate) async fn observe(&self) -> ObserveResponse {
        answer(self.platform_control().observe(ObserveRequest {}).await)
    }

    pub(crate) async fn set_faults(&self, instance: &str, fails_reboot: bool, lost_answers: u32) {
        let request = SetInstanceFaultsRequest {
            instance: instance.to_owned(),
            fails_reboot,
            lose_order_answers: lost_answers,
            gone: false,
        };
        answer(self.platform_control().set_instance_faults(request).await);
    }

    pub(crate) async fn remove(&self, instance: &str) {
        let request = SetInstanceFaultsRequest {
            instance: instance.to_owned(),
            gone: true,
            ..SetInstanceFaultsRequest::default()
        };
        answer(self.platform_control().set_instance_faults(request).await);
    }

    /// Sends an order directly to the platform, without a planner, and returns
    /// whether it took effect.
    pub(crate) async fn order(&self, instance: &str, kind: OrderKind, token: u64) -> bool {
        let request = OrderRequest {
            instance: instance.to_owned(),
            kind: kind.into(),
            pool: String::new(),
            stamp: Some(Stamp { token, version: 1 }),
        };
        let channel = self.channel(self.platform.address(""));
        let origin = Uri::from_static("http://platform");
        let mut platform = PlatformClient::with_origin(channel, origin);
        answer(platform.order(request).await).carried
    }

    pub(crate) async fn lose_write_answers(&self, lose_write_answers: u32) {
        let channel = self.channel(self.store.address(""));
        let origin = Uri::from_static("http://store");
        let request = SetFaultsRequest {
            lose_write_answers,
            ..SetFaultsRequest::default()
        };
        let mut control = StandinControlClient::with_origin(channel, origin);
        answer(control.set_faults(request).await);
    }

    /// Waits until an observation of the platform satisfies a condition.
    pub(crate) async fn until(&self, what: &str, condition: impl Fn(&ObserveResponse) -> bool) {
        let begin = Instant::now();
        loop {
            let seen = self.observe().await;
            if condition(&seen) {
                return;
            }
            let is_late = begin.elapsed() >= AWAIT_TIMEOUT;
            assert!(!is_late, "{what}: not seen: {seen:?}");
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    /// Waits until every instance has been maintained, and then long enough for a
    /// second maintenance, which must not happen. Then checks that no floor was
    /// ever broken, and the steps of each instance.
    pub(crate) async fn check_round(&self) {
        self.until("the end of the round", |seen| {
            let steps = steps(seen);
            steps.len() == 2 * INSTANCES as usize && steps.values().all(|s| s.contains(&ATTACH))
        })
        .await;
        Timer::after(Duration::from_millis(1000)).await;
        let seen = self.observe().await;
        println!("pools {:?}, overtaken {}", seen.pools, seen.overtaken);
        check_safe(&seen);
        for (instance, steps) in steps(&seen) {
            assert_eq!(
                steps,
                [DRAIN, DETACH, REBOOT, ATTACH],
                "{instance}: {seen:?}"
            );
        }
        for pool in &seen.pools {
            assert_eq!(pool.in_service, INSTANCES, "{seen:?}");
        }
    }

    pub(crate) async fn plan(&self, planner: &Process) -> String {
        let mut client = self.operator_client(planner);
        let answer = client.plan(PlanRequest {}).await;
        answer.map_or_else(|error| error.message().to_owned(), |a| a.into_inner().text)
    }

    /// Waits until the plan contains a text, and returns the plan.
    pub(crate) async fn until_plan(&self, planner: &Process, text: &str) -> String {
        let begin = Instant::now();
        loop {
            let plan = self.plan(planner).await;
            if plan.contains(text) {
                return plan;
            }
            assert!(begin.elapsed() < AWAIT_TIMEOUT, "no {text:?} in {plan}");
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    pub(crate) async fn explain(&self, planner: &Process, instance: &str) -> String {
        let instance = instance.to_owned();
        let mut client = self.operator_client(planner);
        let answer = client.explain(ExplainRequest { instance }).await;
        answer.map_or_else(|error| error.message().to_owned(), |a| a.into_inner().text)
    }

    /// Returns a client for operators' calls to a planner.
    fn operator_client(&self, planner: &Process) -> PlannerClient<Channel> {
        let channel = self.channel(planner.address(""));
        PlannerClient::with_origin(channel, Uri::from_static("http://planner"))
    }

    fn platform_control(&self) -> StandinPlatformControlClient<Channel> {
        let channel = self.channel(self.platform.address(""));
        let origin = Uri::from_static("http://platform");
        StandinPlatformControlClient::with_origin(channel, origin)
    }

    fn channel(&self, address: SocketAddr) -> Channel {
        Channel::new(address, Duration::from_secs(2), &self.tasks)
    }
}

fn answer<T>(result: Result<tonic::Response<T>, tonic::Status>) -> T {
    result.expect("the process answers").into_inner()
}
