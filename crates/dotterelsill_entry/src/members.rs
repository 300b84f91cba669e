//! Lists the registered instances.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_proto::peer::Member;
use dotterelsill_revision::Incarnation;
use prost::Message as _;

use crate::{
    register::{
        ALIVE_PREFIX,
        MEMBER_PREFIX, //
    },
    shared::Shared, //
};

/// Time between two lists.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lists the registered instances until the program stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        match list(&shared).await {
            Ok(members) => shared.peers.set_members(members),
            Err(error) => log::debug!(error:%; "members_not_listed"),
        }
        match list_alive(&shared).await {
            Ok(alive) => shared.peers.set_alive(&alive),
            Err(error) => log::debug!(error:%; "leases_not_listed"),
        }
        Timer::after(LIST_INTERVAL).await;
    }
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
