//! Lists the registered instances and which of them are alive.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::peer::Member;
use dotterelsill_revision::Incarnation;
use prost::Message as _;

use crate::{
    reclaim::{
        MembershipView,
        Observer, //
    },
    register::{
        ALIVE_PREFIX,
        MEMBER_PREFIX, //
    },
    shared::Shared, //
};

/// Time between two lists.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lists the registered instances until shutdown, and reclaims the credits of those
/// that are gone.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut observer = Observer::default();
    loop {
        if let Err(error) = refresh(&shared, &mut observer).await {
            log::debug!(error:%; "members_not_listed");
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Lists the instances once and passes the result to the observer and the peers.
async fn refresh(
    shared: &Shared,
    observer: &mut Observer,
) -> Result<(), dotterelsill_store::Error> {
    // Leases are read first: an instance that registers between the two reads then
    // appears without a lease at most once, which is too short to fence it.
    let alive = list_alive(shared).await?;
    let members = list(shared).await?;
    let view = MembershipView {
        members: &members,
        alive: &alive,
        arrived_at: Instant::now(),
    };
    observer.on_view(shared, &view).await;
    shared.peers.set_alive(&alive);
    shared.peers.set_members(members);
    Ok(())
}

/// Reads all registered instances.
pub(crate) async fn list(shared: &Shared) -> Result<Vec<Member>, dotterelsill_store::Error> {
    let entries = shared.store.list(MEMBER_PREFIX).await?;
    let mut members = Vec::with_capacity(entries.len());
    for entry in entries {
        match Member::decode(entry.value.as_slice()) {
            Ok(member) => members.push(member),
            Err(error) => log::error!(key = entry.key, error:%; "member_not_decoded"),
        }
    }
    Ok(members)
}

/// Reads the incarnations whose lease is alive.
pub(crate) async fn list_alive(
    shared: &Shared,
) -> Result<Vec<Incarnation>, dotterelsill_store::Error> {
    let entries = shared.store.list(ALIVE_PREFIX).await?;
    let incarnation = |key: &str| {
        let (_, text) = key.rsplit_once('/')?;
        u128::from_str_radix(text, 16).ok().map(Incarnation)
    };
    Ok(entries
        .iter()
        .filter_map(|entry| incarnation(&entry.key))
        .collect())
}
