//! One revision of the configuration in the form that requests need.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::config::{
    self,
    Document,
    Fleet,
    Queue, //
};
use dotterelsill_revision::{
    Head,
    WhenIsolated,
    WriteId, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    forward::Upstream,
    metrics::{
        Metrics,
        QueueMetrics, //
    }, //
};

/// A document cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum SnapshotError {
    #[snafu(display("operators' text: {source}"))]
    Text {
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    #[snafu(display("upstream {name}: {address:?} is not a socket address"))]
    Address { name: String, address: String },
}

/// A queue with the upstreams of its service.
pub(crate) struct QueuePlan {
    pub(crate) queue: Queue,
    pub(crate) upstreams: Vec<Arc<Upstream>>,
    pub(crate) metrics: QueueMetrics,
}

impl QueuePlan {
    /// Returns what the queue does while this instance is isolated.
    pub(crate) fn when_isolated(&self) -> WhenIsolated {
        match self.queue.when_isolated() {
            config::WhenIsolated::Serve => WhenIsolated::Serve,
            config::WhenIsolated::Refuse => WhenIsolated::Refuse,
            config::WhenIsolated::Default if self.queue.repeatable => WhenIsolated::Serve,
            config::WhenIsolated::Default => WhenIsolated::Refuse,
        }
    }
}

/// One revision of the configuration; never changed after it was built.
pub(crate) struct Snapshot {
    pub(crate) revision: u64,
    /// Longest time that an instance without contact goes on.
    pub(crate) isolation_limit: Duration,
    pub(crate) document: Document,
    pub(crate) queues: HashMap<String, QueuePlan>,
    pub(crate) teams_by_key: HashMap<[u8; 32], String>,
    pub(crate) data_centres_out: HashSet<String>,
}

impl Snapshot {
    /// Returns the snapshot that is in force before any document was read: it
    /// has no queues.
    pub(crate) fn empty() -> Self {
        Self {
            revision: 0,
            isolation_limit: Duration::ZERO,
            document: Document::default(),
            queues: HashMap::new(),
            teams_by_key: HashMap::new(),
            data_centres_out: HashSet::new(),
        }
    }

    /// Builds the snapshot of a document; upstreams that the previous snapshot
    /// has too keep their connections and counts.
    pub(crate) fn build(
        revision: u64,
        document: Document,
        previous: &Snapshot,
        metrics: &Metrics,
    ) -> Result<Self, SnapshotError> {
        let fleet: Fleet = serde_saphyr::from_str(&document.text).context(TextSnafu)?;
        let mut services = HashMap::new();
        for service in &fleet.services {
            let mut upstreams = Vec::with_capacity(service.upstreams.len());
            for upstream in &service.upstreams {
                let address: SocketAddr =
                    upstream
                        .address
                        .parse()
                        .map_err(|_| SnapshotError::Address {
                            name: upstream.name.clone(),
                            address: upstream.address.clone(),
                        })?;
                upstreams.push(previous.reuse(upstream, address));
            }
            services.insert(service.name.clone(), upstreams);
        }
        let queues = fleet
            .queues
            .into_iter()
            .map(|queue| {
                let upstreams = services.get(&queue.service).cloned().unwrap_or_default();
                let plan = QueuePlan {
                    metrics: metrics.queue(&queue.name),
                    queue,
                    upstreams,
                };
                (plan.queue.name.clone(), plan)
            })
            .collect();
        let teams_by_key = document
            .keys
            .iter()
            .filter_map(|key| Some((key.sha256.as_slice().try_into().ok()?, key.team.clone())))
            .collect();
        Ok(Self {
            revision,
            isolation_limit: Duration::from_secs(fleet.isolation_limit_s.into()),
            data_centres_out: document.data_centres_out.iter().cloned().collect(),
            document,
            queues,
            teams_by_key,
        })
    }

    /// Returns the head of this revision.
    pub(crate) fn head(&self) -> Head {
        Head {
            revision: self.revision,
            write_id: WriteId::new(&self.document.write_id),
        }
    }

    fn reuse(
        &self,
        wanted: &dotterelsill_proto::config::Upstream,
        address: SocketAddr,
    ) -> Arc<Upstream> {
        self.queues
            .values()
            .flat_map(|plan| &plan.upstreams)
            .find(|upstream| upstream.is_same(wanted, address))
            .cloned()
            .unwrap_or_else(|| Arc::new(Upstream::new(wanted, address)))
    }
}
