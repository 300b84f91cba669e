//! Lists instances, gives them orders and stores the progress of waves.

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
    guarded::Guarded,
    keys,
    lead::Lead, //
};

/// Time between two lists of the instances; each is a call.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before an order that was not answered is given again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Lists the instances until the group stops.
pub(crate) async fn follow(lead: Arc<Lead>) {
    let dependency = Dependency::new("instances");
    loop {
        let asked_at = clock::now();
        match lead.instances.list().await {
            Ok(list) => {
                dependency.on_answer();
                lead.scheduler().on_instances(list, asked_at, clock::now());
                lead.on_changed();
            }
            Err(error) => dependency.on_error(&error),
        }
        let rest = async {
            Timer::after(LIST_INTERVAL).await;
        };
        rest.or(lead.list_wanted.wait()).await;
    }
}

/// Gives orders to instances until the group stops.
pub(crate) async fn run(lead: Arc<Lead>) {
    let mut record = Guarded::new(keys::ORDERED);
    loop {
        Timer::after(PLAN_INTERVAL).await;
        if !lead.is_valid() {
            continue;
        }
        let (orders, ordered, changes) = {
            let mut scheduler = lead.scheduler();
            let orders = scheduler.plan_instances(clock::now(), clock::unix());
            let ordered = scheduler.ordered_instances(clock::now());
            (orders, ordered, scheduler.wave_changes())
        };
        if !orders.is_empty() {
            store_ordered(&lead, ordered, &mut record).await;
        }
        for order in orders {
            let giving = lead.clone();
            lead.tasks
                .spawn_until_stop(async move { give(&giving, &order).await });
        }
        if !changes.is_empty() {
            store(&lead, &changes).await;
        }
    }
}

/// Gives an order until it is answered.
async fn give(lead: &Lead, order: &InstanceOrder) {
    loop {
        if lead.authority.is_lost() {
            return;
        }
        let answer = if lead.is_valid() {
            match lead.instances.give(order, lead.token).await {
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
            lead.authority
                .lose("an instance has seen a higher fencing token");
            return;
        }
        let is_open = lead
            .scheduler()
            .on_instance_answer(order, answer, clock::now());
        lead.on_changed();
        let is_maintenance = matches!(order.action, InstanceAction::Maintain { .. });
        if is_maintenance && answer == InstanceAnswer::Done {
            // The runs count until a list shows that their worker has ended.
            lead.list_wanted.set();
        }
        if !is_open {
            return;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Stores which instances are given orders, before these are given.
async fn store_ordered(lead: &Lead, instances: Vec<String>, record: &mut Guarded) {
    let value = OrderedRecord { instances }.encode_to_vec();
    while let Err(error) = record.write(lead, value.clone()).await {
        log::warn!(error:%; "ordered_instances_not_stored");
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn store(lead: &Lead, changes: &[WaveChange]) {
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
        expected: vec![(keys::LEADER.to_owned(), lead.token)],
        writes,
        removes: Vec::new(),
    };
    match (lead.store.commit)(transaction).await {
        Ok(CommitOutcome::Done { .. }) => {
            let mut scheduler = lead.scheduler();
            changes
                .iter()
                .for_each(|change| scheduler.on_wave_stored(change));
        }
        Ok(CommitOutcome::Conflict { .. }) => {
            lead.authority.lose("the scheduler's key has changed");
        }
        Err(error) => log::warn!(error:%; "wave_not_stored"),
    }
}
