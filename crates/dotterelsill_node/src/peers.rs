//! Registration of this instance, and connections and pings to the others.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use async_io::Timer;
use dotterelsill_jobs::DispatcherReport;
use dotterelsill_proto::jobs::{
    node_client::NodeClient,
    NodeRecord,
    PingRequest, //
};
use dotterelsill_rpc::{
    timeout,
    Channel,
    Tasks, //
};
use dotterelsill_store::{
    Operations,
    Staleness,
    Transaction,
    Write, //
};
use prost::Message as _;

use crate::{
    admission::Admission,
    clock,
    election::Leader,
    keys,
    leadership::Leadership,
    operators::OperatorState,
    reach::Reachability, //
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between listings of the registered instances.
const LIST_INTERVAL: Duration = Duration::from_secs(3);

/// Longest time that a new process waits for the first listing.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks whether the first listing is complete.
const FIRST_LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between the first listings. It is shorter because instances that start
/// together register one after the other.
const EARLY_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Number of listings at the shorter interval.
const EARLY_LIST_COUNT: u32 = 5;

/// Pause before retrying a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Connection to an instance that is registered or schedules.
struct RegisteredPeer {
    channel: Channel,
    /// CPU share of the instance, in thousandths of a core; 0 if unknown.
    processor_milli: u32,
    /// Data centre of the instance; empty if unknown.
    data_centre: String,
}

/// Connections to the other instances.
pub(crate) struct Peers {
    own_address: SocketAddr,
    by_address: Mutex<BTreeMap<SocketAddr, RegisteredPeer>>,
    next: AtomicUsize,
    /// Whether the registered instances have been listed at least once.
    is_loaded: AtomicBool,
    tasks: Tasks,
}

impl Peers {
    /// Creates an empty set of peers for the instance at `own_address`.
    pub(crate) fn new(own_address: SocketAddr, tasks: &Tasks) -> Self {
        Self {
            own_address,
            by_address: Mutex::default(),
            next: AtomicUsize::new(0),
            is_loaded: AtomicBool::new(false),
            tasks: tasks.clone(),
        }
    }

    /// Returns the addresses and clients of all peers, starting with a different peer
    /// on each call.
    pub(crate) fn clients(&self) -> Vec<(SocketAddr, NodeClient<Channel>)> {
        let by_address = self.lock();
        let count = by_address.len().max(1);
        let first = self.next.fetch_add(1, Ordering::Relaxed) % count;
        let all = by_address.iter().cycle().skip(first).take(by_address.len());
        all.map(|(&address, peer)| (address, client(&peer.channel)))
            .collect()
    }

    /// Returns clients of the peers with a CPU share above the given one, in
    /// thousandths of a core.
    pub(crate) fn larger_than(&self, processor_milli: u32) -> Vec<NodeClient<Channel>> {
        let by_address = self.lock();
        let is_larger = |peer: &&RegisteredPeer| peer.processor_milli > processor_milli;
        let larger = by_address.values().filter(is_larger);
        larger.map(|peer| client(&peer.channel)).collect()
    }

    /// Returns the registered peers that can be dispatchers.
    pub(crate) fn dispatchers(&self) -> BTreeMap<SocketAddr, DispatcherReport> {
        let by_address = self.lock();
        let peers = by_address.iter();
        let can_dispatch = peers.filter(|(_, peer)| !peer.data_centre.is_empty());
        let report = |(&address, peer): (&SocketAddr, &RegisteredPeer)| {
            let report = DispatcherReport {
                data_centre: peer.data_centre.clone(),
                processor_milli: peer.processor_milli,
            };
            (address, report)
        };
        can_dispatch.map(report).collect()
    }

    /// Waits until the registered instances have been listed, for at most
    /// `FIRST_LIST_TIMEOUT`.
    pub(crate) async fn wait_for_list(&self) {
        let until = clock::now() + FIRST_LIST_TIMEOUT;
        while !self.is_loaded.load(Ordering::Relaxed) && clock::now() < until {
            Timer::after(FIRST_LIST_POLL_INTERVAL).await;
        }
    }

    /// Returns the address of this instance.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns a client of the instance at an address.
    pub(crate) fn client_of(&self, address: SocketAddr) -> NodeClient<Channel> {
        let mut by_address = self.lock();
        let peer = by_address
            .entry(address)
            .or_insert_with(|| self.new_peer(address));
        client(&peer.channel)
    }

    fn update(&self, peers: &BTreeMap<SocketAddr, NodeRecord>) {
        let mut by_address = self.lock();
        by_address.retain(|address, _| peers.contains_key(address));
        for (&address, record) in peers {
            if address != self.own_address {
                let peer = by_address
                    .entry(address)
                    .or_insert_with(|| self.new_peer(address));
                peer.processor_milli = record.processor_milli;
                peer.data_centre.clone_from(&record.data_centre);
            }
        }
    }

    fn new_peer(&self, address: SocketAddr) -> RegisteredPeer {
        RegisteredPeer {
            channel: Channel::new(address, CONNECT_TIMEOUT, &self.tasks),
            processor_milli: 0,
            data_centre: String::new(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, RegisteredPeer>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn client(channel: &Channel) -> NodeClient<Channel> {
    NodeClient::with_origin(channel.clone(), dotterelsill_rpc::origin(channel.address()))
}

/// Registers this instance in the store; retries until it succeeds.
pub(crate) async fn register(store: &Operations, instance: &str, record: &NodeRecord) {
    let write = || Transaction {
        writes: vec![Write {
            key: node_key(instance),
            value: record.encode_to_vec(),
            lease: 0,
        }],
        ..Transaction::default()
    };
    while let Err(error) = (store.commit)(write()).await {
        log::warn!(error:%; "instance_not_registered");
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Removes the registration of this instance when it shuts down.
pub(crate) async fn deregister(store: &Operations, instance: &str) {
    let remove = Transaction {
        removes: vec![node_key(instance)],
        ..Transaction::default()
    };
    if let Err(error) = (store.commit)(remove).await {
        log::warn!(error:%; "instance_still_registered");
    }
}

fn node_key(instance: &str) -> String {
    format!("{}{instance}", keys::NODES)
}

/// Lists the registered instances periodically until the program stops.
pub(crate) async fn list_periodically(store: Arc<Operations>, peers: Arc<Peers>) {
    let mut list_count = 0;
    loop {
        match store.list(keys::NODES, Staleness::Stale).await {
            Ok((items, _)) => {
                let peer = |item: &dotterelsill_store::Item| {
                    let record = NodeRecord::decode(item.value.as_slice()).ok()?;
                    let address: SocketAddr = record.address.parse().ok()?;
                    Some((address, record))
                };
                peers.update(&items.iter().filter_map(peer).collect());
                peers.is_loaded.store(true, Ordering::Relaxed);
                list_count += 1;
                let is_early = list_count <= EARLY_LIST_COUNT;
                Timer::after(if is_early {
                    EARLY_LIST_INTERVAL
                } else {
                    LIST_INTERVAL
                })
                .await;
            }
            Err(error) => {
                log::debug!(error:%; "instances_not_read");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether an instance with a larger CPU share could take over from the
/// scheduler.
pub(crate) async fn has_larger(peers: &Peers, processor_milli: u32) -> bool {
    for mut client in peers.larger_than(processor_milli) {
        // An empty request exchanges no summary of the operators' entries.
        match timeout(PING_TIMEOUT, client.ping(PingRequest::default())).await {
            Ok(Ok(response)) if response.get_ref().could_schedule => return true,
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(error:% = error.message(); "larger_peer_unreached"),
            Err(error) => log::debug!(error:%; "larger_peer_unreached"),
        }
    }
    false
}

/// Shared state for sending pings.
pub(crate) struct Pinger {
    pub(crate) peers: Arc<Peers>,
    pub(crate) leader: Arc<ArcSwapOption<Leader>>,
    pub(crate) leadership: Arc<ArcSwapOption<Leadership>>,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) operators: Arc<OperatorState>,
}

/// Pings the scheduler periodically until the program stops. Both sides exchange
/// summaries of the operators' entries. While there is no scheduler, this instance
/// pings the other instances in turn.
pub(crate) async fn ping(pinger: Pinger) {
    loop {
        Timer::after(PING_INTERVAL).await;
        if let Some(leadership) = pinger.leadership.load_full() {
            if leadership.authority.is_recently_renewed(clock::now()) {
                pinger.reachability.on_scheduler(clock::now());
            }
            pinger.admission.set_refused(leadership.refused_percent());
            continue;
        }
        let (address, client) = match pinger.leader.load_full() {
            Some(leader) => (leader.address, pinger.peers.client_of(leader.address)),
            None => match pinger.peers.clients().into_iter().next() {
                Some(peer) => peer,
                None => continue,
            },
        };
        pinger.ping_peer(address, client).await;
    }
}

impl Pinger {
    async fn ping_peer(&self, address: SocketAddr, mut client: NodeClient<Channel>) {
        let asked_at = clock::now();
        let request = PingRequest {
            address: self.peers.own_address().to_string(),
            entries: Some(self.operators.summary()),
        };
        let response = match timeout(PING_TIMEOUT, client.ping(request)).await {
            Ok(Ok(response)) => response.into_inner(),
            Ok(Err(error)) => {
                log::debug!(error:% = error.message(); "peer_unreached");
                return;
            }
            Err(error) => {
                log::debug!(error:%; "peer_unreached");
                return;
            }
        };
        if response.is_scheduling {
            self.reachability.on_scheduler(clock::now());
            self.admission.set_refused(response.refused_percent);
        } else {
            log::debug!(peer:% = address; "peer_does_not_schedule");
        }
        if let Some(entries) = response.entries {
            let proof = (asked_at, response.entries_age_us);
            self.operators.on_summary(address, &entries, Some(proof));
        }
    }
}
