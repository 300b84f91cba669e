//! Startup and shutdown of the daemon.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use async_io::Timer;
use dotterelsill_platform::Settings;
use dotterelsill_proto::jobs::{
    node_server::NodeServer,
    scheduler_server::SchedulerServer,
    NodeRecord, //
};
use dotterelsill_rpc::{
    on_reload_signal,
    serve_grpc,
    serve_http1,
    serve_http1_within,
    termination_signal,
    ConnectionLimits,
    Lateness,
    ListenError,
    Listener,
    ServicePair,
    Tasks, //
};
use dotterelsill_store::Operations;
use futures_lite::FutureExt as _;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::Full;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    admission::Admission,
    bodies::BodyRoom,
    callers::{
        self,
        CallerService, //
    },
    clock,
    dispatch::Dispatcher,
    election::Leader,
    event_loop,
    handover::Handovers,
    leader_link::LeaderLink,
    leadership::Leadership,
    metrics::Metrics,
    operators::{
        self,
        OperatorState, //
    },
    peer_service::{
        NodeService,
        SchedulerService, //
    },
    peers::{
        self,
        Peers,
        Pinger, //
    },
    reach::Reachability,
    relay,
    scheduling, //
};

/// Part of the platform's grace period after SIGTERM that is reserved for process
/// exit.
const EXIT_RESERVE: Duration = Duration::from_millis(1500);

/// Longest wait for responses in flight after the listeners are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Memory of a connection of a caller with a request head of the usual maximum size.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Part of the memory of an instance that the bodies of requests may take while they
/// are received.
const BODY_MEMORY_DIVISOR: u64 = 8;

/// Reason why the daemon cannot start.
#[derive(Debug, Snafu)]
pub(crate) enum StartError {
    /// A listener cannot be bound.
    #[snafu(display("{source}"))]
    Listen { source: ListenError },
    /// The metrics cannot be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics { source: prometheus::Error },
    /// The signal handler cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signal { source: std::io::Error },
}

/// State shared by the tasks of the daemon.
pub(crate) struct Node {
    pub(crate) settings: Arc<Settings>,
    /// Whether the scheduler divides the jobs of full pools into classes.
    pub(crate) defers_jobs: bool,
    pub(crate) store: Arc<Operations>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) handovers: Handovers,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) lateness: Arc<Lateness>,
    pub(crate) operators: Arc<OperatorState>,
    pub(crate) leader: Arc<ArcSwapOption<Leader>>,
    pub(crate) leadership: Arc<ArcSwapOption<Leadership>>,
    is_leaving: AtomicBool,
    was_ready: AtomicBool,
    pub(crate) tasks: Tasks,
}

/// Runs the daemon until SIGTERM.
pub(crate) async fn run(
    settings: Settings,
    defers_jobs: bool,
    tasks: Tasks,
) -> Result<(), StartError> {
    let callers_listener = bind(settings.callers_address)?;
    let readiness_listener = bind(settings.readiness_address)?;
    let peers_listener = bind(settings.peers_address)?;
    let metrics_listener = bind(settings.metrics_address)?;
    log::info!(
        instance = settings.instance, data_centre = settings.data_centre,
        callers:% = settings.callers_address, processor_share = settings.processor_share;
        "started"
    );
    let settings = Arc::new(settings);
    let peers = Arc::new(Peers::new(settings.peers_address, &tasks));
    let reachability = Arc::new(Reachability::default());
    let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
    let lateness = Arc::new(Lateness::default());
    tasks.spawn_until_stop(event_loop::monitor(lateness.clone(), metrics.clone()));
    let store = || dotterelsill_platform::store_operations(settings.store_address, &tasks);
    let node = Arc::new(Node {
        defers_jobs,
        store: Arc::new(relay::operations(
            store(),
            peers.clone(),
            reachability.clone(),
            metrics.clone(),
        )),
        peers: peers.clone(),
        reachability: reachability.clone(),
        handovers: Handovers::default(),
        metrics: metrics.clone(),
        lateness: lateness.clone(),
        settings: settings.clone(),
        operators: Arc::default(),
        leader: Arc::default(),
        leadership: Arc::default(),
        is_leaving: AtomicBool::new(false),
        was_ready: AtomicBool::new(false),
        tasks: tasks.clone(),
    });
    let serving = tasks.new_group();
    let shutdown = tasks.new_group();
    let admission = Arc::new(Admission::default());
    let link = LeaderLink::new(
        node.leader.clone(),
        node.leadership.clone(),
        admission.clone(),
        lateness,
        &tasks,
    );
    let callers = Arc::new(CallerService {
        operators: node.operators.clone(),
        link: Arc::new(link),
        store: node.store.clone(),
        reachability: node.reachability.clone(),
        metrics: node.metrics.clone(),
        bounds: settings.bounds.configuration,
        body_room: Arc::new(BodyRoom::new(settings.memory_bytes / BODY_MEMORY_DIVISOR)),
    });
    let max_connections = max_connections(&settings);
    let limits_node = node.clone();
    let connection_limits = move || ConnectionLimits {
        connections: max_connections,
        head_bytes: limits_node
            .operators
            .view()
            .configuration
            .limits
            .header_bytes,
    };
    serving.spawn(serve_http1_within(
        callers_listener,
        serving.clone(),
        connection_limits,
        move |request| callers::serve(callers.clone(), request),
    ));
    let readiness_node = node.clone();
    tasks.spawn(serve_http1(readiness_listener, tasks.clone(), move |_| {
        std::future::ready(readiness_response(&readiness_node))
    }));
    let metrics_endpoint = metrics;
    tasks.spawn(serve_http1(metrics_listener, tasks.clone(), move |_| {
        std::future::ready(Response::new(Full::from(metrics_endpoint.encode())))
    }));
    let scheduler_service = SchedulerService {
        leadership: node.leadership.clone(),
    };
    let node_service = NodeService {
        leader: node.leader.clone(),
        leadership: node.leadership.clone(),
        direct: Arc::new(store()),
        could_schedule: {
            let node = node.clone();
            Arc::new(move || could_schedule(&node))
        },
        operators: node.operators.clone(),
        dispatcher: Arc::new(Dispatcher::new(&tasks, &shutdown, &node.metrics)),
    };
    tasks.spawn(serve_grpc(
        peers_listener,
        tasks.clone(),
        ServicePair::new(
            SchedulerServer::new(scheduler_service),
            NodeServer::new(node_service),
        ),
    ));
    tasks.spawn_until_stop(peers::list_periodically(node.store.clone(), peers.clone()));
    tasks.spawn_until_stop(operators::fetch_from_peers(
        peers.clone(),
        node.operators.clone(),
    ));
    tasks.spawn_until_stop(peers::ping(Pinger {
        peers,
        leader: node.leader.clone(),
        leadership: node.leadership.clone(),
        reachability,
        admission,
        operators: node.operators.clone(),
    }));
    let registration_node = node.clone();
    tasks.spawn_until_stop(async move {
        let settings = &registration_node.settings;
        let record = NodeRecord {
            address: settings.peers_address.to_string(),
            processor_milli: settings.processor_milli(),
            data_centre: settings.data_centre.clone(),
        };
        peers::register(&registration_node.store, &settings.instance, &record).await;
    });
    tasks.spawn_until_stop(operators::sync(node.store.clone(), node.operators.clone()));
    tasks.spawn_until_stop(reload());
    let election_node = node.clone();
    let election_shutdown = shutdown.clone();
    tasks.spawn(async move { scheduling::run_elections(&election_node, &election_shutdown).await });

    termination_signal().await.context(SignalSnafu)?;
    log::info!("stopping");
    node.is_leaving.store(true, Ordering::SeqCst);
    shutdown.stop();
    peers::deregister(&node.store, &settings.instance).await;
    let grace = settings.bounds.shutdown_grace;
    Timer::after(grace.saturating_sub(EXIT_RESERVE + CLOSE_TIMEOUT)).await;
    serving.stop();
    let all_closed = async {
        serving.join().await;
        true
    };
    let timed_out = async {
        Timer::after(CLOSE_TIMEOUT).await;
        false
    };
    let is_closed = all_closed.or(timed_out).await;
    tasks.stop();
    log::info!(is_closed; "stopped");
    Ok(())
}

/// Returns the maximum number of connections of callers: half of the file descriptors,
/// as the rest is for workers, peers and the platform, and as many as fit into half of
/// the memory.
fn max_connections(settings: &Settings) -> usize {
    let by_memory = settings.memory_bytes / 2 / CONNECTION_BYTES;
    (settings.file_descriptors / 2).min(by_memory) as usize
}

/// Reloads the settings on each SIGHUP. Listeners stay bound to their addresses,
/// so a changed address takes effect only after a restart.
async fn reload() {
    let read = || match dotterelsill_platform::load_settings() {
        Ok(settings) => log::info!(instance = settings.instance; "settings_reloaded"),
        Err(error) => log::error!(error:%; "settings_not_reloaded"),
    };
    if let Err(error) = on_reload_signal(read).await {
        log::error!(error:%; "reload_signal_not_handled");
    }
}

fn bind(address: std::net::SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(&address.to_string()).context(ListenSnafu)
}

fn readiness_response(node: &Node) -> Response<Full<bytes::Bytes>> {
    let is_leaving = node.is_leaving.load(Ordering::SeqCst);
    let is_configured = node.operators.view().revision > 0;
    let is_ready = !is_leaving && is_configured && node.reachability.can_serve(clock::now());
    if node.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
        log::info!(is_ready, is_leaving, is_configured; "readiness_changed");
    }
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns whether this instance could take over from the current scheduler.
fn could_schedule(node: &Node) -> bool {
    !node.is_leaving.load(Ordering::SeqCst)
        && node.operators.view().revision > 0
        && node.reachability.is_store_reachable(clock::now())
}
