//! Lists the registered instances.

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

/// Lists the registered instances until the program stops, and frees what
/// those hold that are gone.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut observer = Observer::default();
    loop {
        if let Err(error) = refresh(&shared, &mut observer).await {
            log::debug!(error:%; "members_not_listed");
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

async fn refresh(
    shared: &Shared,
    observer: &mut Observer,
) -> Result<(), dotterelsill_store::Error> {
    // The leases first: a member that registers between the two reads is then
    // seen without a lease at the most once, which fences nobody.
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
