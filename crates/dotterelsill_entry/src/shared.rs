//! State that the parts of the daemon share.

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

/// State that the parts of the daemon share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    /// Revision in force; requests load it once and keep it to their end.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// What this incarnation may do.
    pub(crate) authority: AuthorityState,
    pub(crate) peers: Peers,
    /// Taken by whoever registers; off the path of requests.
    pub(crate) registered: async_lock::Mutex<Registered>,
    /// Socket address at which peers reach this instance.
    pub(crate) peer_address: String,
    pub(crate) store: Client,
    /// Credits of the teams' upper limits.
    pub(crate) limits: Arc<Limits>,
    /// Claim logs of the buckets that this instance owns.
    pub(crate) buckets: Buckets,
    /// Number of this process. Claims are bound to it, because its memory tells
    /// what it has run, also when it registers anew.
    pub(crate) process: Incarnation,
    /// Runs of requests that may not be repeated.
    pub(crate) runs: RunRegistry,
    pub(crate) burn: Burn,
    /// Connections and everything that ends with the program.
    pub(crate) tasks: Tasks,
    /// Requests and attempts; a shutdown waits for them first.
    pub(crate) requests: Tasks,
    pub(crate) metrics: Metrics,
    /// Set once the daemon was told to stop; readiness is off then.
    pub(crate) is_leaving: AtomicBool,
}

impl Shared {
    /// Creates the state with the empty revision in force.
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
