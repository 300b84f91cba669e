//! The other entry instances: their registrations, connections and calls to them.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use arc_swap::ArcSwap;
use dotterelsill_proto::{
    config::Document,
    peer::{
        peer_client::PeerClient,
        DocumentRequest,
        Member,
        RelayRequest,
        RelayResponse, //
    }, //
};
use dotterelsill_revision::{
    Incarnation,
    RelayedState, //
};
use dotterelsill_rpc::{
    timeout,
    Channel,
    Tasks, //
};
use futures_util::future::join_all;
use tonic::codegen::http::Uri;

use crate::{
    authority::head_of,
    register,
    shared::Shared, //
};

/// Timeout of a call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a message from a peer; a document has up to 1 MB.
const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// The registered instances as last listed, and connections to them.
#[derive(Default)]
pub(crate) struct Peers {
    members: ArcSwap<Vec<Member>>,
    /// Incarnations whose lease was alive when last listed.
    alive: ArcSwap<HashSet<String>>,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Returns the registered instances as last listed, including this one.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the members whose lease was alive when last listed, without those
    /// that are leaving or fenced.
    pub(crate) fn alive_members(&self) -> Vec<Member> {
        let alive = self.alive.load();
        let members = self.members.load();
        let is_alive =
            |member: &&Member| member.state == "live" && alive.contains(&member.incarnation);
        members.iter().filter(is_alive).cloned().collect()
    }

    /// Replaces the incarnations whose lease is alive.
    pub(crate) fn set_alive(&self, alive: &[Incarnation]) {
        let alive = alive.iter().map(ToString::to_string).collect();
        self.alive.store(Arc::new(alive));
    }

    /// Returns the number of live instances as last listed, at least 1.
    pub(crate) fn live_count(&self) -> u32 {
        (self.alive_members().len() as u32).max(1)
    }

    /// Replaces the registered instances and drops connections to all others.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        let addresses: Vec<SocketAddr> = members
            .iter()
            .filter_map(|member| member.peer_address.parse().ok())
            .collect();
        self.channels()
            .retain(|address, _| addresses.contains(address));
        self.members.store(Arc::new(members));
    }

    /// Returns a client for a registered instance, or `None` if its address is
    /// invalid.
    pub(crate) fn client(&self, member: &Member, tasks: &Tasks) -> Option<PeerClient<Channel>> {
        let address: SocketAddr = member.peer_address.parse().ok()?;
        let channel = self
            .channels()
            .entry(address)
            .or_insert_with(|| Channel::new(address, CALL_TIMEOUT, tasks))
            .clone();
        let origin = Uri::from_static("http://peer");
        let client = PeerClient::with_origin(channel, origin);
        Some(client.max_decoding_message_size(MESSAGE_LIMIT_BYTES))
    }

    fn channels(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the registered instances other than this one.
fn other_members(shared: &Shared) -> Vec<Member> {
    let name = &shared.settings.instance;
    let members = shared.peers.members();
    let others = members.iter().filter(|member| member.instance != *name);
    others.cloned().collect()
}

/// Queries all peers for their newest head and its proof, and asks them to renew a
/// lease unless it is 0.
pub(crate) async fn query_all(shared: &Shared, lease: u64) {
    let others = other_members(shared);
    join_all(others.iter().map(|peer| query(shared, peer, lease))).await;
}

/// Queries one peer and applies its response.
async fn query(shared: &Shared, peer: &Member, lease: u64) {
    let asked_at = Instant::now();
    let Some(answer) = relay(shared, peer, lease).await else {
        return;
    };
    if answer.lease_renewed {
        register::on_renewal(shared, asked_at, true);
    }
    let Some(relayed) = decode_relay(&answer) else {
        return;
    };
    if let Some(head) = &answer.head {
        shared.authority.keep_head(head);
    }
    if let Some(instance) = shared.authority.update().as_mut() {
        instance.on_relay(asked_at, &relayed);
    }
}

/// Sends one relay call to a peer; `None` if it fails or times out.
pub(crate) async fn relay(shared: &Shared, peer: &Member, lease: u64) -> Option<RelayResponse> {
    let mut client = shared.peers.client(peer, &shared.tasks)?;
    let request = RelayRequest {
        instance: shared.settings.instance.clone(),
        lease,
        process: peer.process.clone(),
    };
    match timeout(CALL_TIMEOUT, client.relay(request)).await {
        Ok(Ok(answer)) => Some(answer.into_inner()),
        Ok(Err(status)) => {
            log::debug!(peer = peer.instance, error = status.message(); "relay_failed");
            None
        }
        Err(elapsed) => {
            log::debug!(peer = peer.instance, error:% = elapsed; "relay_failed");
            None
        }
    }
}

/// Decodes the response to a relay call; `None` if its incarnation is malformed.
pub(crate) fn decode_relay(answer: &RelayResponse) -> Option<RelayedState> {
    let incarnation = u128::from_str_radix(&answer.incarnation, 16).ok()?;
    let proof_age = Duration::from_micros(answer.proof_age_us);
    Some(RelayedState {
        head: answer.head.as_ref().map(head_of),
        in_force: (answer.revision_in_force > 0).then_some(answer.revision_in_force),
        incarnation: Incarnation(incarnation),
        proof_age: answer.has_proof.then_some(proof_age),
    })
}

/// Fetches the document of a revision from the first peer that has it.
pub(crate) async fn document(shared: &Shared, revision: u64) -> Option<Document> {
    for peer in other_members(shared) {
        let Some(mut client) = shared.peers.client(&peer, &shared.tasks) else {
            continue;
        };
        let request = DocumentRequest { revision };
        if let Ok(Ok(answer)) = timeout(CALL_TIMEOUT, client.document(request)).await {
            if let Some(document) = answer.into_inner().document {
                return Some(document);
            }
        }
    }
    None
}
