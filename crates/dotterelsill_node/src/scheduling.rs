//! Elections, and the tasks of the instance that schedules.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::Scheduler;
use dotterelsill_platform::AdvisorClient;
use dotterelsill_rpc::Tasks;
use dotterelsill_store::OperationError;
use futures_lite::FutureExt as _;

use crate::{
    advice,
    clock,
    daemon::Node,
    dependency::Dependency,
    dispatch,
    election::{
        self,
        Leader,
        SchedulerLease, //
    },
    expired_records,
    instance_orders,
    intake,
    leadership::{
        self,
        Leadership, //
    },
    load,
    restore,
    worker_registry,
    writer, //
};

/// Longest time that a scheduler which steps down waits for its changes to be
/// stored.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches for the current scheduler and stands for election when there is none,
/// until this instance shuts down.
pub(crate) async fn run_elections(node: &Arc<Node>, shutdown: &Tasks) {
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
    let mut scheduler = new_scheduler(node, token);
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
                scheduler = new_scheduler(node, token);
                election::wait_before_retry().await;
            }
        }
    }
    let leadership = Arc::new(Leadership::new(
        scheduler,
        &node.settings,
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
    group.spawn_until_stop(expired_records::remove(leadership.clone()));
    group.spawn_until_stop(load::report(leadership.clone(), node.metrics.clone()));
    group.spawn_until_stop(worker_registry::track(leadership.clone()));
    group.spawn_until_stop(dispatch::manage(leadership.clone(), node.peers.clone()));
    group.spawn_until_stop(intake::import_all(leadership.clone()));
    let advisor = node.settings.advisor_address;
    let advisor = advisor.map(|address| AdvisorClient::new(address, group));
    group.spawn_until_stop(advice::run(leadership.clone(), advisor));
    let metrics = node.metrics.clone();
    group.spawn_until_stop(instance_orders::give_orders(leadership.clone(), metrics));
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
    node.metrics
        .on_ends(&leadership.scheduler().take_end_counts());
    leadership.load.report_pending_unknown(&node.metrics);
    node.metrics
        .on_slow_runs(&leadership.scheduler().take_run_counts(), 0);
    node.metrics
        .on_deferrals(&leadership.scheduler().take_deferral_counts());
    node.leadership.store(None);
    node.metrics.is_scheduling.set(0);
    node.metrics.dispatched_workers.set(0);
    node.leader.store(None);
    authority.mark_lost("this instance has stopped scheduling");
    end_scheduling(node, lease, group).await;
    node.metrics.on_waves(&[]);
}

/// Creates a scheduler without jobs, with the configuration known now.
fn new_scheduler(node: &Node, token: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(token, leadership::limits(&node.settings), clock::now());
    let view = node.operators.view();
    scheduler.set_division(node.defers_jobs);
    scheduler.configure(view.configuration.clone(), view.requests.clone());
    scheduler.set_wall_clock(clock::unix(), clock::now());
    scheduler
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
