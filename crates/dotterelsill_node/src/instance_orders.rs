//! Lists instances, sends them orders and stores the progress of maintenance waves.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    WaveChange, //
};
use dotterelsill_proto::jobs::{
    OrderedRecord,
    WaveRecord, //
};
use dotterelsill_store::{
    CommitOutcome,
    Transaction,
    Write, //
};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    clock,
    dependency::Dependency,
    guarded::GuardedRecord,
    keys,
    leadership::Leadership,
    metrics::Metrics, //
};

/// Interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before an unanswered order is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Lists the instances periodically and on demand, until the task group stops.
pub(crate) async fn list_instances(leadership: Arc<Leadership>) {
    let dependency = Dependency::new("instances");
    loop {
        let asked_at = clock::now();
        match leadership.instances.list().await {
            Ok(list) => {
                dependency.on_answer();
                leadership
                    .scheduler()
                    .on_instances(list, asked_at, clock::now());
                leadership.on_changed();
            }
            Err(error) => dependency.on_error(&error),
        }
        let pause = leadership.scheduler().list_pause(asked_at, clock::now());
        let pause = async {
            Timer::after(pause).await;
        };
        pause.or(leadership.list_wanted.wait()).await;
    }
}

/// Plans and sends orders to instances until the task group stops.
pub(crate) async fn give_orders(leadership: Arc<Leadership>, metrics: Arc<Metrics>) {
    let mut record = GuardedRecord::new(keys::ORDERED);
    loop {
        Timer::after(PLAN_INTERVAL).await;
        if !leadership.is_valid() {
            continue;
        }
        let (orders, ordered, changes) = {
            let mut scheduler = leadership.scheduler();
            let orders = scheduler.plan_instances(clock::now(), clock::unix());
            let ordered = scheduler.ordered_instances(clock::now());
            metrics.on_waves(&scheduler.wave_progress(clock::unix()));
            (orders, ordered, scheduler.wave_changes())
        };
        if !orders.is_empty() {
            store_ordered_instances(&leadership, ordered, &mut record).await;
        }
        for order in orders {
            let task_leadership = leadership.clone();
            leadership
                .tasks
                .spawn_until_stop(async move { give_order(&task_leadership, &order).await });
        }
        if !changes.is_empty() {
            store_waves(&leadership, &changes).await;
        }
    }
}

/// Sends an order repeatedly until it is settled or the authority is lost.
async fn give_order(leadership: &Leadership, order: &InstanceOrder) {
    loop {
        if leadership.authority.is_lost() {
            return;
        }
        let answer = if leadership.is_valid() {
            match leadership
                .instances
                .send_order(order, leadership.token)
                .await
            {
                Ok(answer) => answer,
                Err(error) => {
                    log::warn!(instance = order.instance, error:%; "instance_order_unanswered");
                    InstanceAnswer::None
                }
            }
        } else {
            InstanceAnswer::Later
        };
        if answer == InstanceAnswer::Fenced {
            leadership
                .authority
                .mark_lost("an instance has seen a higher fencing token");
            return;
        }
        let is_unsettled = leadership
            .scheduler()
            .on_instance_answer(order, answer, clock::now());
        leadership.on_changed();
        let is_maintenance = matches!(order.action, InstanceAction::Maintain { .. });
        if is_maintenance && answer == InstanceAnswer::Done {
            // The runs count as active until a listing shows that their worker is gone.
            leadership.list_wanted.set();
        }
        if !is_unsettled {
            return;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Stores which instances receive orders, before the orders are sent.
async fn store_ordered_instances(
    leadership: &Leadership,
    instances: Vec<String>,
    record: &mut GuardedRecord,
) {
    let value = OrderedRecord { instances }.encode_to_vec();
    while let Err(error) = record.write(leadership, value.clone()).await {
        log::warn!(error:%; "ordered_instances_not_stored");
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn store_waves(leadership: &Leadership, changes: &[WaveChange]) {
    let mut writes = Vec::new();
    for change in changes {
        let record = WaveRecord {
            started_unix_ms: change.started_unix.as_millis() as u64,
            done: change.done.clone(),
        };
        writes.push(Write {
            key: format!("{}{}", keys::WAVES, change.number),
            value: record.encode_to_vec(),
            lease: 0,
        });
        let (key, value) = dotterelsill_platform::wave_status(change.number, change.is_completed);
        writes.push(Write {
            key,
            value,
            lease: 0,
        });
    }
    let transaction = Transaction {
        expected: vec![(keys::LEADER.to_owned(), leadership.token)],
        writes,
        removes: Vec::new(),
    };
    match (leadership.store.commit)(transaction).await {
        Ok(CommitOutcome::Done { .. }) => {
            let mut scheduler = leadership.scheduler();
            changes
                .iter()
                .for_each(|change| scheduler.on_wave_stored(change));
        }
        Ok(CommitOutcome::Conflict { .. }) => {
            leadership
                .authority
                .mark_lost("the scheduler's key has changed");
        }
        Err(error) => log::warn!(error:%; "wave_not_stored"),
    }
}
