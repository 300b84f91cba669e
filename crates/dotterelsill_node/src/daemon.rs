//! Starts and stops the parts of the daemon.

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
    Instances,
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
        Callers, //
    },
    clock,
    dependency::Dependency,
    election::{
        self,
        Leader,
        Won, //
    },
    event_loop,
    handover::Handovers,
    instance_orders,
    intake,
    lead::{
        self,
        Lead, //
    },
    leader_link::LeaderLink,
    load,
    metrics::Metrics,
    operators::{
        self,
        Operators, //
    },
    peer::{
        Neighbour,
        Peer, //
    },
    peers::{
        self,
        Peers,
        Pings, //
    },
    reach::Reach,
    relay,
    restore,
    workers_followed,
    writer, //
};

/// Part of the platform's grace after SIGTERM that is left for the end of the
/// process.
const EXIT_RESERVE: Duration = Duration::from_millis(1500);

/// Longest time that a scheduler which leaves waits until its changes are stored.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Longest time that the answers in flight take after the listeners are closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(700);

/// The daemon cannot start.
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

/// What the parts of the daemon share.
struct Node {
    settings: Arc<Settings>,
    store: Arc<Operations>,
    peers: Arc<Peers>,
    reach: Arc<Reach>,
    handovers: Handovers,
    metrics: Arc<Metrics>,
    lateness: Arc<Lateness>,
    operators: Arc<Operators>,
    leader: Arc<ArcSwapOption<Leader>>,
    leading: Arc<ArcSwapOption<Lead>>,
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
    let reach = Arc::new(Reach::default());
    let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
    let lateness = Arc::new(Lateness::default());
    tasks.spawn_until_stop(event_loop::watch(lateness.clone(), metrics.clone()));
    let store = || dotterelsill_platform::operations(settings.store_address, &tasks);
    let node = Arc::new(Node {
        store: Arc::new(relay::operations(
            store(),
            peers.clone(),
            reach.clone(),
            metrics.clone(),
        )),
        peers: peers.clone(),
        reach: reach.clone(),
        handovers: Handovers::default(),
        metrics: metrics.clone(),
        lateness: lateness.clone(),
        settings: settings.clone(),
        operators: Arc::default(),
        leader: Arc::default(),
        leading: Arc::default(),
        is_leaving: AtomicBool::new(false),
        was_ready: AtomicBool::new(false),
        tasks: tasks.clone(),
    });
    let serving = tasks.new_group();
    let admission = Arc::new(Admission::default());
    let link = LeaderLink::new(
        node.leader.clone(),
        node.leading.clone(),
        admission.clone(),
        lateness,
        &tasks,
    );
    let callers = Arc::new(Callers {
        operators: node.operators.clone(),
        link: Arc::new(link),
        store: node.store.clone(),
        reach: node.reach.clone(),
        metrics: node.metrics.clone(),
        bounds: settings.bounds.configuration,
    });
    serving.spawn(serve_http1(
        callers_listener,
        serving.clone(),
        move |request| callers::serve(callers.clone(), request),
    ));
    let readiness = node.clone();
    tasks.spawn(serve_http1(readiness_listener, tasks.clone(), move |_| {
        std::future::ready(ready(&readiness))
    }));
    let text = metrics;
    tasks.spawn(serve_http1(metrics_listener, tasks.clone(), move |_| {
        std::future::ready(Response::new(Full::from(text.encode())))
    }));
    let peer = Peer {
        leading: node.leading.clone(),
    };
    let neighbour = Neighbour {
        leader: node.leader.clone(),
        leading: node.leading.clone(),
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
        ServicePair::new(SchedulerServer::new(peer), NodeServer::new(neighbour)),
    ));
    tasks.spawn_until_stop(peers::follow(node.store.clone(), peers.clone()));
    tasks.spawn_until_stop(operators::ask_peers(peers.clone(), node.operators.clone()));
    tasks.spawn_until_stop(peers::ping(Pings {
        peers,
        leader: node.leader.clone(),
        leading: node.leading.clone(),
        reach,
        admission,
        operators: node.operators.clone(),
    }));
    let registering = node.clone();
    tasks.spawn_until_stop(async move {
        let settings = &registering.settings;
        peers::register(
            &registering.store,
            &settings.instance,
            settings.peers_address,
            settings.processor_milli(),
        )
        .await;
    });
    tasks.spawn_until_stop(operators::follow(
        node.store.clone(),
        node.operators.clone(),
    ));
    tasks.spawn_until_stop(reload());
    let leaving = tasks.new_group();
    let electing = node.clone();
    let stop_electing = leaving.clone();
    tasks.spawn(async move { elect(&electing, &stop_electing).await });

    termination_signal().await.context(SignalSnafu)?;
    log::info!("stopping");
    node.is_leaving.store(true, Ordering::SeqCst);
    leaving.stop();
    peers::leave(&node.store, &settings.instance).await;
    let grace = settings.bounds.shutdown_grace;
    Timer::after(grace.saturating_sub(EXIT_RESERVE + CLOSE_LIMIT)).await;
    serving.stop();
    let closed = async {
        serving.join().await;
        true
    };
    let late = async {
        Timer::after(CLOSE_LIMIT).await;
        false
    };
    let is_closed = closed.or(late).await;
    tasks.stop();
    log::info!(is_closed; "stopped");
    Ok(())
}

/// Reads the settings again at each SIGHUP. Addresses stay as they are while the
/// process runs, so that a change of them takes a restart.
async fn reload() {
    let read = || match dotterelsill_platform::load() {
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

fn ready(node: &Node) -> Response<Full<bytes::Bytes>> {
    let is_leaving = node.is_leaving.load(Ordering::SeqCst);
    let is_configured = node.operators.view().revision > 0;
    let is_ready = !is_leaving && is_configured && node.reach.can_serve(clock::now());
    if node.was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
        log::info!(is_ready, is_leaving, is_configured; "readiness_changed");
    }
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns whether this instance could take over from the scheduler.
fn could_schedule(node: &Node) -> bool {
    !node.is_leaving.load(Ordering::SeqCst)
        && node.operators.view().revision > 0
        && node.reach.has_store(clock::now())
}

/// Follows the scheduler, and schedules when nobody does, until this instance
/// leaves.
async fn elect(node: &Arc<Node>, leaving: &Tasks) {
    let dependency = Dependency::new("election");
    node.peers.wait_for_list().await;
    loop {
        let stepped = async { Some(elect_once(node, leaving).await) };
        let stopped = async {
            leaving.stopped().await;
            None
        };
        // A scheduler ends by itself when the instance leaves.
        if node.leading.load().is_none() && leaving.is_stopping() {
            return;
        }
        match stepped.or(stopped).await {
            Some(Ok(())) => dependency.on_answer(),
            Some(Err(error)) => {
                dependency.on_error(&error);
                election::pause().await;
            }
            None => return,
        }
    }
}

async fn elect_once(node: &Arc<Node>, leaving: &Tasks) -> Result<(), OperationError> {
    election::follow(&node.store, &node.leader).await?;
    if leaving.is_stopping() {
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
    let won = election::stand(&node.store, &settings.instance, settings.peers_address).await?;
    if let Some(won) = won {
        let group = node.tasks.new_group();
        let node = node.clone();
        let leaving = leaving.clone();
        let (ended, end) = async_channel::bounded::<()>(1);
        // A task of its own, so that it hands over in order when the instance
        // leaves.
        node.tasks.clone().spawn(async move {
            schedule(&node, won, &group, &leaving).await;
            drop(ended);
        });
        // The channel closes when the scheduler has ended.
        let _ = end.recv().await;
    }
    Ok(())
}

/// Schedules until the authority is lost or the instance leaves.
async fn schedule(node: &Arc<Node>, won: Won, group: &Tasks, leaving: &Tasks) {
    let Won {
        token,
        lease,
        authority,
    } = won;
    log::info!(token, lease; "scheduling");
    let renewing = (node.store.clone(), authority.clone());
    group.spawn_until_stop(async move { election::renew(&renewing.0, lease, &renewing.1).await });
    let mut scheduler = Scheduler::new(token, lead::limits(&node.settings), clock::now());
    let view = node.operators.view();
    scheduler.configure(view.configuration.clone(), view.requests.clone());
    loop {
        match restore::restore(&node.store, &mut scheduler, clock::now).await {
            Ok(()) => {
                // The configuration may have changed while the jobs were read.
                let view = node.operators.view();
                scheduler.configure(view.configuration.clone(), view.requests.clone());
                scheduler.open_due_jobs(clock::unix());
                break;
            }
            Err(error) => {
                log::warn!(error:%; "jobs_not_restored");
                if authority.is_lost() || leaving.is_stopping() {
                    end(node, lease, group).await;
                    return;
                }
                scheduler = Scheduler::new(token, lead::limits(&node.settings), clock::now());
                scheduler.configure(view.configuration.clone(), view.requests.clone());
                election::pause().await;
            }
        }
    }
    let lead = Arc::new(Lead::new(
        scheduler,
        Instances::new(
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
    node.leading.store(Some(lead.clone()));
    node.metrics.is_scheduling.set(1);
    let (planning, ticking) = (lead.clone(), lead.clone());
    group.spawn_until_stop(async move { planning.plan().await });
    group.spawn_until_stop(async move { ticking.tick().await });
    group.spawn_until_stop(writer::run(lead.clone()));
    group.spawn_until_stop(load::report(lead.clone()));
    group.spawn_until_stop(workers_followed::follow(lead.clone()));
    group.spawn_until_stop(intake::follow(lead.clone()));
    let advisor = node.settings.advisor_address;
    let advisor = advisor.map(|address| AdvisorClient::new(address, group));
    group.spawn_until_stop(advice::run(lead.clone(), advisor));
    group.spawn_until_stop(instance_orders::run(lead.clone()));
    group.spawn_until_stop(instance_orders::follow(lead.clone()));
    let processor_milli = node.settings.processor_milli();
    let larger = node.handovers.wanted(&node.peers, processor_milli);
    authority.lost().or(leaving.stopped()).or(larger).await;
    if !authority.is_lost() {
        flush(&lead).await;
        let late = Timer::after(FLUSH_LIMIT);
        workers_followed::store_granted(&lead)
            .or(async {
                late.await;
            })
            .await;
    }
    node.leading.store(None);
    node.metrics.is_scheduling.set(0);
    node.leader.store(None);
    authority.lose("scheduling ends here");
    end(node, lease, group).await;
}

/// Waits until what is known is stored, for a short time.
async fn flush(lead: &Lead) {
    let until = clock::now() + FLUSH_LIMIT;
    while clock::now() < until {
        let stored = lead.stored.listen();
        if lead.submissions.lock().is_empty() && !lead.scheduler().has_change() {
            return;
        }
        lead.write_wanted.set();
        let late = async {
            Timer::at(std::time::Instant::now() + until.saturating_sub(clock::now())).await;
        };
        stored.or(late).await;
    }
}

async fn end(node: &Node, lease: u64, group: &Tasks) {
    group.stop();
    election::end_lease(&node.store, lease).await;
    group.join().await;
    log::info!(lease; "scheduling_ended");
}
