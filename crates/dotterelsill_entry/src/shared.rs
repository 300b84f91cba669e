//! State that all tasks of the daemon share.

use std::{
    sync::{
        atomic::AtomicBool,
        Arc, //
    },
    time::Instant, //
};

use arc_swap::ArcSwap;
use dotterelsill_claims::Incarnation;
use dotterelsill_proto::settings::EntrySettings;
use dotterelsill_rpc::Tasks;
use dotterelsill_store::Client;

use crate::{
    at_most_once::RunRegistry,
    authority::AuthorityState,
    buckets::Buckets,
    burn::Burn,
    limits::Limits,
    metrics::Metrics,
    peers::Peers,
    register::Registered,
    snapshot::Snapshot, //
};

/// State that all tasks of the daemon share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    /// Configuration in force. A request uses the snapshot that it has loaded, and
    /// loads it again before each attempt.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Authority of the current incarnation to start work.
    pub(crate) authority: AuthorityState,
    pub(crate) peers: Peers,
    /// Current registration. Registering holds this lock; requests never take it.
    pub(crate) registered: async_lock::Mutex<Registered>,
    /// Socket address at which peers reach this instance.
    pub(crate) peer_address: String,
    pub(crate) store: Client,
    /// Credits of the teams' upper limits.
    pub(crate) limits: Arc<Limits>,
    /// Claim logs of the buckets that this instance owns.
    pub(crate) buckets: Buckets,
    /// Identifier of this process. Claims refer to it rather than to an incarnation,
    /// because the process still knows what it has run after it registers again.
    pub(crate) process: Incarnation,
    /// Runs of requests that run at most once.
    pub(crate) runs: RunRegistry,
    /// Error budget burn rates of the fleet.
    pub(crate) burn: Burn,
    /// Other connections and background tasks, which run until shutdown.
    pub(crate) tasks: Tasks,
    /// Connections and requests of callers; a shutdown waits for them first.
    pub(crate) requests: Tasks,
    pub(crate) metrics: Metrics,
    /// Set when the daemon starts to shut down; the readiness check then fails.
    pub(crate) is_leaving: AtomicBool,
}

impl Shared {
    /// Creates the state with the empty configuration, revision 0, in force.
    pub(crate) fn new(
        settings: EntrySettings,
        peer_address: String,
        store: Client,
        tasks: Tasks,
        metrics: Metrics,
    ) -> Arc<Self> {
        let process = Incarnation(rand::random());
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::from_pointee(Snapshot::empty(Instant::now())),
            authority: AuthorityState::default(),
            peers: Peers::default(),
            registered: async_lock::Mutex::default(),
            peer_address,
            store,
            limits: Arc::default(),
            buckets: Buckets::default(),
            process,
            runs: RunRegistry::new(process),
            burn: Burn::new(Instant::now()),
            requests: tasks.new_group(),
            tasks,
            metrics,
            is_leaving: AtomicBool::new(false),
        })
    }
}
