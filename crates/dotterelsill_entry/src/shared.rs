//! State that the parts of the daemon share.

use std::sync::{
    atomic::AtomicBool,
    Arc, //
};

use arc_swap::ArcSwap;
use dotterelsill_proto::settings::EntrySettings;
use dotterelsill_rpc::Tasks;
use dotterelsill_store::Client;

use crate::{
    metrics::Metrics,
    snapshot::Snapshot, //
};

/// State that the parts of the daemon share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    /// Revision in force; requests load it once and keep it to their end.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) store: Client,
    pub(crate) tasks: Tasks,
    pub(crate) metrics: Metrics,
    /// Set once the daemon was told to stop; readiness is off then.
    pub(crate) is_leaving: AtomicBool,
}

impl Shared {
    /// Creates the state with the empty revision in force.
    pub(crate) fn new(
        settings: EntrySettings,
        store: Client,
        tasks: Tasks,
        metrics: Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            store,
            tasks,
            metrics,
            is_leaving: AtomicBool::new(false),
        })
    }
}
