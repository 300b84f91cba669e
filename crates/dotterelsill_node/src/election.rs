//! Elects the instance that schedules, by a key in the store that is bound to a
//! lease.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use async_io::Timer;
use dotterelsill_proto::jobs::LeaderRecord;
use dotterelsill_store::{
    CommitOutcome,
    Event,
    Item,
    OperationError,
    Operations,
    Staleness,
    Transaction,
    Write, //
};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    authority::Authority,
    clock,
    dependency::Dependency,
    keys, //
};

/// Time to live of the scheduler's lease without a renewal.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Interval between renewals: four within the time to live of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Pause before retrying a failed renewal.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest wait of one watch call on the scheduler's key.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest random pause before an instance campaigns, so that most instances find
/// the key already taken.
const MAX_CAMPAIGN_JITTER_MS: u64 = 30;

/// Pause before an instance campaigns while a larger one is registered. The larger
/// one needs its random pause and two store calls to be elected.
const YIELD_PAUSE: Duration = Duration::from_millis(200);

/// The scheduler as last known to this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Leader {
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
    /// Store revision of its key; serves as the fencing token of its orders.
    pub(crate) token: u64,
}

/// Lease that this instance holds after winning the election.
pub(crate) struct SchedulerLease {
    pub(crate) token: u64,
    pub(crate) lease: u64,
    pub(crate) authority: Arc<Authority>,
}

/// Watches the scheduler's key and keeps `leader` up to date; returns once nobody
/// holds the key.
pub(crate) async fn watch_until_vacant(
    store: &Operations,
    leader: &ArcSwapOption<Leader>,
) -> Result<(), OperationError> {
    let (items, mut revision) = store.list(keys::LEADER, Staleness::Current).await?;
    let item = items.into_iter().find(|item| item.key == keys::LEADER);
    update_known_leader(leader, item.as_ref());
    if item.is_none() {
        return Ok(());
    }
    loop {
        let watched = match (store.watch)(keys::LEADER, revision, WATCH_WAIT).await {
            Ok(watched) => watched,
            Err(OperationError::HistoryDropped { .. }) => {
                return Box::pin(watch_until_vacant(store, leader)).await
            }
            Err(error) => return Err(error),
        };
        revision = revision.max(watched.revision);
        for event in watched.events {
            match event {
                Event::Written(item) if item.key == keys::LEADER => {
                    update_known_leader(leader, Some(&item))
                }
                Event::Removed { key } if key == keys::LEADER => {
                    update_known_leader(leader, None);
                    return Ok(());
                }
                _ => {}
            }
        }
    }
}

fn update_known_leader(known: &ArcSwapOption<Leader>, item: Option<&Item>) {
    let leader = item.and_then(decode);
    let previous = known.load_full();
    if previous.as_deref() != leader.as_ref() {
        match &leader {
            Some(leader) => log::info!(
                scheduler = leader.instance, token = leader.token; "scheduler_known"
            ),
            None => log::info!("scheduler_absent"),
        }
        known.store(leader.map(Arc::new));
    }
}

fn decode(item: &Item) -> Option<Leader> {
    let record = match LeaderRecord::decode(item.value.as_slice()) {
        Ok(record) => record,
        Err(error) => {
            log::error!(error:%; "scheduler_record_unreadable");
            return None;
        }
    };
    Some(Leader {
        address: record.address.parse().ok()?,
        instance: record.instance,
        token: item.revision,
    })
}

/// Gives larger instances time to be elected; returns whether any instance was.
pub(crate) async fn yield_to_larger(store: &Operations) -> Result<bool, OperationError> {
    Timer::after(YIELD_PAUSE).await;
    Ok((store.get)(keys::LEADER).await?.is_some())
}

/// Tries to become the scheduler; returns `None` if another instance was faster.
pub(crate) async fn campaign(
    store: &Operations,
    instance: &str,
    address: SocketAddr,
) -> Result<Option<SchedulerLease>, OperationError> {
    Timer::after(Duration::from_millis(rand::random_range(
        0..MAX_CAMPAIGN_JITTER_MS,
    )))
    .await;
    let sent_at = clock::now();
    let lease = (store.grant_lease)(LEASE_TTL).await?;
    let record = LeaderRecord {
        instance: instance.to_owned(),
        address: address.to_string(),
    };
    let transaction = Transaction {
        expected: vec![(keys::LEADER.to_owned(), 0)],
        writes: vec![Write {
            key: keys::LEADER.to_owned(),
            value: record.encode_to_vec(),
            lease,
        }],
        removes: Vec::new(),
    };
    match (store.commit)(transaction).await {
        Ok(CommitOutcome::Done { revision }) => {
            let authority = Arc::new(Authority::default());
            authority.on_renewed(sent_at, LEASE_TTL);
            Ok(Some(SchedulerLease {
                token: revision,
                lease,
                authority,
            }))
        }
        Ok(CommitOutcome::Conflict { .. }) => {
            end_lease(store, lease).await;
            Ok(None)
        }
        Err(error) => {
            // The key may have been written; ending its lease removes it.
            end_lease(store, lease).await;
            Err(error)
        }
    }
}

/// Ends a lease. If the call fails, the lease expires by itself.
pub(crate) async fn end_lease(store: &Operations, lease: u64) {
    if let Err(error) = (store.end_lease)(lease).await {
        log::warn!(lease, error:%; "lease_not_ended");
    }
}

/// Renews the lease until the authority is lost.
pub(crate) async fn renew(store: &Operations, lease: u64, authority: &Authority) {
    let dependency = Dependency::new("scheduler lease");
    let renewals = async {
        loop {
            let sent_at = clock::now();
            match (store.renew_lease)(lease).await {
                Ok(()) => {
                    dependency.on_answer();
                    authority.on_renewed(sent_at, LEASE_TTL);
                    Timer::after(RENEW_INTERVAL).await;
                }
                Err(OperationError::LeaseEnded { .. }) => {
                    authority.mark_lost("the lease has ended");
                    return;
                }
                Err(error) => {
                    dependency.on_error(&error);
                    Timer::after(RENEW_RETRY_PAUSE).await;
                }
            }
        }
    };
    renewals.or(authority.lost()).await;
}

/// Pauses after a failed call.
pub(crate) async fn wait_before_retry() {
    Timer::after(RETRY_PAUSE).await;
}
