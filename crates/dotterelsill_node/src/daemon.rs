//! Startup, election loop and shutdown of the daemon.

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
use dotterelsill_jobs::Scheduler;
use dotterelsill_platform::{
    AdvisorClient,
    InstanceClient,
    Settings, //
};
use dotterelsill_proto::jobs::{
    node_server::NodeServer,
    scheduler_server::SchedulerServer, //
};
use dotterelsill_rpc::{
    on_reload_signal,
    serve_grpc,
    serve_http1,
    termination_signal,
    Lateness,
    ListenError,
    Listener,
    ServicePair,
    Tasks, //
};
use dotterelsill_store::{
    OperationError,
    Operations, //
};
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
    advice,
    callers::{
        self,
        CallerService, //
    },
    clock,
    dependency::Dependency,
    election::{
        self,
        Leader,
        SchedulerLease, //
    },
    event_loop,
    handover::Handovers,
    instance_orders,
    intake,
    leader_link::LeaderLink,
    leadership::{
        self,
        Leadership, //
    },
    load,
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
    restore,
    worker_registry,
    writer, //
};

/// Part of the platform's grace period after SIGTERM that is reserved for process
/// exit.
const EXIT_RESERVE: Duration = Duration::from_millis(1500);

/// Longest time that a scheduler which steps down waits for its changes to be
/// stored.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for responses in flight after the listeners are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(700);

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
struct Node {
    settings: Arc<Settings>,
    store: Arc<Operations>,
    peers: Arc<Peers>,
    reachability: Arc<Reachability>,
    handovers: Handovers,
    metrics: Arc<Metrics>,
    lateness: Arc<Lateness>,
    operators: Arc<OperatorState>,
    leader: Arc<ArcSwapOption<Leader>>,
    leadership: Arc<ArcSwapOption<Leadership>>,
    is_leaving: AtomicBool,
    was_ready: AtomicBool,
    tasks: Tasks,
}

/// Runs the daemon until SIGTERM.
pub(crate) async fn run(settings: Settings, tasks: Tasks) -> Result<(), StartError> {
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
    });
    serving.spawn(serve_http1(
        callers_listener,
        serving.clone(),
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
        peers::register(
            &registration_node.store,
            &settings.instance,
            settings.peers_address,
            settings.processor_milli(),
        )
        .await;
    });
    tasks.spawn_until_stop(operators::sync(node.store.clone(), node.operators.clone()));
    tasks.spawn_until_stop(reload());
    let shutdown = tasks.new_group();
    let election_node = node.clone();
    let election_shutdown = shutdown.clone();
    tasks.spawn(async move { run_elections(&election_node, &election_shutdown).await });

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

/// Watches for the current scheduler and stands for election when there is none,
/// until this instance shuts down.
async fn run_elections(node: &Arc<Node>, shutdown: &Tasks) {
    let dependency = Dependency::new("election");
    node.peers.wait_for_list().await;
    loop {
        let round = async { Some(run_election(node, shutdown).await) };
        let stopped = async {
            shutdown.stopped().await;
            None
        };
        // `schedule` itself watches for the shutdown and steps down.
        if node.leadership.load().is_none() && shutdown.is_stopping() {
            return;
        }
        match round.or(stopped).await {
            Some(Ok(())) => dependency.on_answer(),
            Some(Err(error)) => {
                dependency.on_error(&error);
                election::wait_before_retry().await;
            }
            None => return,
        }
    }
}

async fn run_election(node: &Arc<Node>, shutdown: &Tasks) -> Result<(), OperationError> {
    election::watch_until_vacant(&node.store, &node.leader).await?;
    if shutdown.is_stopping() {
        return Ok(());
    }
    let settings = &node.settings;
    let has_larger = !node
        .peers
        .larger_than(settings.processor_milli())
        .is_empty();
    if has_larger && election::yield_to_larger(&node.store).await? {
        return Ok(());
    }
    let scheduler_lease =
        election::campaign(&node.store, &settings.instance, settings.peers_address).await?;
    if let Some(scheduler_lease) = scheduler_lease {
        let group = node.tasks.new_group();
        let node = node.clone();
        let shutdown = shutdown.clone();
        let (ended, end) = async_channel::bounded::<()>(1);
        // A separate task, so that it still hands over in order when the election
        // loop is cancelled on shutdown.
        node.tasks.clone().spawn(async move {
            schedule(&node, scheduler_lease, &group, &shutdown).await;
            drop(ended);
        });
        // The channel closes when the scheduler has stopped.
        let _ = end.recv().await;
    }
    Ok(())
}

/// Schedules until the authority is lost, the instance shuts down, or a larger
/// instance can take over.
async fn schedule(
    node: &Arc<Node>,
    scheduler_lease: SchedulerLease,
    group: &Tasks,
    shutdown: &Tasks,
) {
    let SchedulerLease {
        token,
        lease,
        authority,
    } = scheduler_lease;
    log::info!(token, lease; "scheduling");
    let renewing = (node.store.clone(), authority.clone());
    group.spawn_until_stop(async move { election::renew(&renewing.0, lease, &renewing.1).await });
    let mut scheduler = Scheduler::new(token, leadership::limits(&node.settings), clock::now());
    let view = node.operators.view();
    scheduler.configure(view.configuration.clone(), view.requests.clone());
    loop {
        match restore::restore(&node.store, &mut scheduler, clock::now).await {
            Ok(()) => {
                // The configuration may have changed while the jobs were being read.
                let view = node.operators.view();
                scheduler.configure(view.configuration.clone(), view.requests.clone());
                scheduler.open_due_jobs(clock::unix());
                break;
            }
            Err(error) => {
                log::warn!(error:%; "jobs_not_restored");
                if authority.is_lost() || shutdown.is_stopping() {
                    end_scheduling(node, lease, group).await;
                    return;
                }
                scheduler = Scheduler::new(token, leadership::limits(&node.settings), clock::now());
                scheduler.configure(view.configuration.clone(), view.requests.clone());
                election::wait_before_retry().await;
            }
        }
    }
    let leadership = Arc::new(Leadership::new(
        scheduler,
        InstanceClient::new(
            node.settings.instances_address,
            &node.settings.instance,
            group,
        ),
        node.store.clone(),
        authority.clone(),
        node.operators.clone(),
        node.lateness.clone(),
        group.clone(),
    ));
    node.leader.store(Some(Arc::new(Leader {
        instance: node.settings.instance.clone(),
        address: node.settings.peers_address,
        token,
    })));
    node.leadership.store(Some(leadership.clone()));
    node.metrics.is_scheduling.set(1);
    let (planning, ticking) = (leadership.clone(), leadership.clone());
    group.spawn_until_stop(async move { planning.plan().await });
    group.spawn_until_stop(async move { ticking.tick().await });
    group.spawn_until_stop(writer::run(leadership.clone()));
    group.spawn_until_stop(load::report(leadership.clone()));
    group.spawn_until_stop(worker_registry::track(leadership.clone()));
    group.spawn_until_stop(intake::import_all(leadership.clone()));
    let advisor = node.settings.advisor_address;
    let advisor = advisor.map(|address| AdvisorClient::new(address, group));
    group.spawn_until_stop(advice::run(leadership.clone(), advisor));
    group.spawn_until_stop(instance_orders::give_orders(leadership.clone()));
    group.spawn_until_stop(instance_orders::list_instances(leadership.clone()));
    let processor_milli = node.settings.processor_milli();
    let larger_available = node.handovers.wait_for_larger(&node.peers, processor_milli);
    authority
        .lost()
        .or(shutdown.stopped())
        .or(larger_available)
        .await;
    if !authority.is_lost() {
        flush(&leadership).await;
        let timed_out = Timer::after(FLUSH_TIMEOUT);
        worker_registry::store_granted(&leadership)
            .or(async {
                timed_out.await;
            })
            .await;
    }
    node.leadership.store(None);
    node.metrics.is_scheduling.set(0);
    node.leader.store(None);
    authority.mark_lost("this instance has stopped scheduling");
    end_scheduling(node, lease, group).await;
}

/// Waits until all jobs and changes are stored, for at most `FLUSH_TIMEOUT`.
async fn flush(leadership: &Leadership) {
    let deadline = clock::now() + FLUSH_TIMEOUT;
    while clock::now() < deadline {
        let stored = leadership.stored.listen();
        if leadership.submissions.lock().is_empty() && !leadership.scheduler().has_change() {
            return;
        }
        leadership.write_wanted.set();
        let timed_out = async {
            Timer::at(std::time::Instant::now() + deadline.saturating_sub(clock::now())).await;
        };
        stored.or(timed_out).await;
    }
}

async fn end_scheduling(node: &Node, lease: u64, group: &Tasks) {
    group.stop();
    election::end_lease(&node.store, lease).await;
    group.join().await;
    log::info!(lease; "scheduling_ended");
}
