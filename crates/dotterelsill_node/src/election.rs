//! Which instance schedules.

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

/// Time for which the scheduler's lease lives without a renewal.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Time between two renewals: four in the time of a lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Pause before a renewal that failed is tried again.
const RENEW_RETRY: Duration = Duration::from_millis(200);

/// Time for which one watch of the scheduler's key waits.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest random pause before an instance stands for election, so that most
/// find the key taken.
const STAND_SPREAD_MS: u64 = 30;

/// Pause before an instance stands when a larger one is registered, which needs
/// the random pause and two calls of the store to be elected.
const SMALLER_PAUSE: Duration = Duration::from_millis(200);

/// The scheduler as known last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Leader {
    pub(crate) instance: String,
    pub(crate) address: SocketAddr,
    /// Revision of its key, the fencing token of its orders.
    pub(crate) token: u64,
}

/// A lease that this instance holds as the scheduler.
pub(crate) struct Won {
    pub(crate) token: u64,
    pub(crate) lease: u64,
    pub(crate) authority: Arc<Authority>,
}

/// Follows the scheduler's key; returns when nobody holds it.
pub(crate) async fn follow(
    store: &Operations,
    leader: &ArcSwapOption<Leader>,
) -> Result<(), OperationError> {
    let (items, mut revision) = store.list(keys::LEADER, Staleness::Current).await?;
    let item = items.into_iter().find(|item| item.key == keys::LEADER);
    adopt(leader, item.as_ref());
    if item.is_none() {
        return Ok(());
    }
    loop {
        let watched = match (store.watch)(keys::LEADER, revision, WATCH_WAIT).await {
            Ok(watched) => watched,
            Err(OperationError::HistoryDropped { .. }) => {
                return Box::pin(follow(store, leader)).await
            }
            Err(error) => return Err(error),
        };
        revision = revision.max(watched.revision);
        for event in watched.events {
            match event {
                Event::Written(item) if item.key == keys::LEADER => adopt(leader, Some(&item)),
                Event::Removed { key } if key == keys::LEADER => {
                    adopt(leader, None);
                    return Ok(());
                }
                _ => {}
            }
        }
    }
}

fn adopt(known: &ArcSwapOption<Leader>, item: Option<&Item>) {
    let leader = item.and_then(decode);
    let old = known.load_full();
    if old.as_deref() != leader.as_ref() {
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

/// Gives larger instances the time to be elected; returns whether one was.
pub(crate) async fn yield_to_larger(store: &Operations) -> Result<bool, OperationError> {
    Timer::after(SMALLER_PAUSE).await;
    Ok((store.get)(keys::LEADER).await?.is_some())
}

/// Tries to become the scheduler; `None` when another instance was faster.
pub(crate) async fn stand(
    store: &Operations,
    instance: &str,
    address: SocketAddr,
) -> Result<Option<Won>, OperationError> {
    Timer::after(Duration::from_millis(rand::random_range(
        0..STAND_SPREAD_MS,
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
            Ok(Some(Won {
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
            // The key may have been written; without its lease it goes away.
            end_lease(store, lease).await;
            Err(error)
        }
    }
}

/// Ends a lease; one that cannot be ended expires by itself.
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
                    authority.lose("the lease has ended");
                    return;
                }
                Err(error) => {
                    dependency.on_error(&error);
                    Timer::after(RENEW_RETRY).await;
                }
            }
        }
    };
    renewals.or(authority.lost()).await;
}

/// Waits after a call that failed.
pub(crate) async fn pause() {
    Timer::after(RETRY_PAUSE).await;
}
