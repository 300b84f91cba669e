//! One configuration revision, prepared for lookups by requests.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_admission::{
    KeyHash,
    KeyTable,
    Team,
    TeamShare,
    Teams, //
};
use dotterelsill_config::parse;
use dotterelsill_proto::{
    config::{
        self,
        Document,
        Fleet, //
    },
    peer::Counter, //
};
use dotterelsill_revision::{
    Head,
    WriteId, //
};
use dotterelsill_routing::{
    ServiceSpec,
    UpstreamSet,
    UpstreamSpec, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    burn::Counts,
    limits::OPEN_TEAM,
    plan::{
        QueuePlan,
        ServicePlan, //
    },
    register::Bounds,
    service::Service,
    shared::Shared, //
};

/// Why a document cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum SnapshotError {
    #[snafu(display("operators' text: {source}"))]
    Text {
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
}

/// One revision of the configuration; immutable once built.
pub(crate) struct Snapshot {
    pub(crate) revision: u64,
    /// Maximum time for which an instance without contact continues to start work.
    pub(crate) isolation_limit: Duration,
    /// Maximum run time of any queue.
    pub(crate) max_run: Duration,
    pub(crate) document: Document,
    pub(crate) queues: HashMap<String, QueuePlan>,
    /// Upper limit of each team, in requests running at once.
    pub(crate) limits: HashMap<String, u32>,
    services: HashMap<String, Arc<ServicePlan>>,
    keys: KeyTable,
    teams: Teams,
}

impl Snapshot {
    /// Returns the snapshot that is in force before a document is loaded; it has no
    /// queues.
    pub(crate) fn empty(now: Instant) -> Self {
        Self {
            revision: 0,
            isolation_limit: Duration::ZERO,
            max_run: Duration::ZERO,
            document: Document::default(),
            queues: HashMap::new(),
            limits: HashMap::new(),
            services: HashMap::new(),
            keys: KeyTable::new([]),
            teams: Teams::new(&[], now),
        }
    }

    /// Builds the snapshot of a document. Teams, services and upstreams that are also
    /// in the previous snapshot keep their state.
    pub(crate) fn build(
        revision: u64,
        document: Document,
        previous: &Snapshot,
        shared: &Shared,
    ) -> Result<Self, SnapshotError> {
        let now = Instant::now();
        let fleet = parse_accepted(&document.text)?;
        let teams = previous.teams.rebuild(&shares(&fleet));
        let mut services = HashMap::new();
        for service in &fleet.services {
            let plan = service_plan(service, &document, previous, &teams, shared, now);
            services.insert(service.name.clone(), Arc::new(plan));
        }
        let queues = queues(&fleet, &services, previous, shared);
        let max_run_ms = fleet.queues.iter().map(|queue| queue.max_run_ms).max();
        let keys = document
            .keys
            .iter()
            .filter_map(|key| Some((KeyHash::try_from(&key.sha256[..]).ok()?, &key.team[..])));
        let limit = |team: &config::Team| (team.name.clone(), team.limit_requests);
        Ok(Self {
            revision,
            isolation_limit: Duration::from_secs(fleet.isolation_limit_s.into()),
            max_run: Duration::from_millis(max_run_ms.unwrap_or(0).into()),
            keys: KeyTable::new(keys),
            limits: fleet.teams.iter().map(limit).collect(),
            queues,
            services,
            teams,
            document,
        })
    }

    /// Returns the head of this revision.
    pub(crate) fn head(&self) -> Head {
        Head {
            revision: self.revision,
            write_id: WriteId::new(&self.document.write_id),
        }
    }

    /// Returns the times that other instances must wait for work of this revision.
    pub(crate) fn bounds(&self) -> Bounds {
        Bounds {
            isolation_limit: self.isolation_limit,
            max_run: self.max_run,
        }
    }

    /// Returns the names of all services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns the request counters of all pairs of service and team that had
    /// requests.
    pub(crate) fn counters(&self) -> Vec<Counter> {
        let of_service = |(service, plan): (&String, &Arc<ServicePlan>)| {
            let counter = |(team, counts): (&String, &Arc<Counts>)| counts.counter(service, team);
            plan.counts.iter().filter_map(counter).collect::<Vec<_>>()
        };
        self.services.iter().flat_map(of_service).collect()
    }

    /// Returns the team that a key belongs to.
    pub(crate) fn team_of(&self, key: &KeyHash) -> Option<&Arc<Team>> {
        self.teams.get(self.keys.team_of(key)?)
    }

    /// Returns the pseudo-team of the callers of open queues.
    pub(crate) fn open_team(&self) -> Option<&Arc<Team>> {
        self.teams.get(OPEN_TEAM)
    }

    /// Marks exactly the upstreams that the platform lists as leaving.
    pub(crate) fn set_leaving(&self, leaving: &HashSet<&str>, now: Instant) {
        for plan in self.services.values() {
            for upstream in plan.set.upstreams() {
                let is_leaving = leaving.contains(upstream.name());
                plan.set
                    .on_instance_listed(upstream.name(), is_leaving, now);
            }
        }
    }

    /// Adjusts each service to the upstreams that are usable now.
    pub(crate) fn maintain(&self, now: Instant) {
        for plan in self.services.values() {
            plan.maintain(now);
        }
    }

    /// Starts waiting requests for which slots and credits are now free.
    pub(crate) fn start_waiting(&self) {
        for plan in self.services.values() {
            plan.service.start_waiting();
        }
    }
}

/// Parses a configuration text that was accepted earlier.
///
/// A release with stricter rules must not stop a fleet that runs on an older text,
/// so a text that fails the check is still used if it fits the schema.
fn parse_accepted(text: &str) -> Result<Fleet, SnapshotError> {
    match parse(text) {
        Ok(checked) => Ok(checked.fleet().clone()),
        Err(findings) => {
            for finding in &findings {
                log::error!(finding:%; "text_in_force_fails_check");
            }
            serde_saphyr::from_str(text).context(TextSnafu)
        }
    }
}

/// Returns the teams' shares; callers of open queues get the rest, at least one
/// percent.
fn shares(fleet: &Fleet) -> Vec<TeamShare> {
    let given: u32 = fleet.teams.iter().map(|team| team.share_percent).sum();
    let open = TeamShare {
        name: OPEN_TEAM.to_owned(),
        share_percent: 100_u32.saturating_sub(given).max(1),
    };
    let share = |team: &config::Team| TeamShare {
        name: team.name.clone(),
        share_percent: team.share_percent,
    };
    fleet.teams.iter().map(share).chain([open]).collect()
}

/// Creates the plan of a service from that of the previous revision, if there is
/// one.
fn service_plan(
    service: &config::Service,
    document: &Document,
    previous: &Snapshot,
    teams: &Teams,
    shared: &Shared,
    now: Instant,
) -> ServicePlan {
    let spec = ServiceSpec {
        local_data_centre: shared.settings.data_centre.clone(),
        data_centres_out: document.data_centres_out.clone(),
        availability_floor_percent: service.availability_floor_percent,
        upstreams: service.upstreams.iter().map(upstream_spec).collect(),
    };
    match previous.services.get(&service.name) {
        Some(previous) => {
            let set = previous.set.rebuild(&spec, now);
            previous.service.reconfigure(teams, now);
            ServicePlan::new(set, previous.service.clone(), teams, Some(previous))
        }
        None => {
            let set = UpstreamSet::new(&spec, now);
            let service = Service::new(teams, &shared.limits, now);
            ServicePlan::new(set, Arc::new(service), teams, None)
        }
    }
}

fn upstream_spec(upstream: &config::Upstream) -> UpstreamSpec {
    UpstreamSpec {
        name: upstream.name.clone(),
        address: upstream.address.clone(),
        data_centre: upstream.data_centre.clone(),
        slots: upstream.slots,
        connections: upstream.connections,
    }
}

fn queues(
    fleet: &Fleet,
    services: &HashMap<String, Arc<ServicePlan>>,
    previous: &Snapshot,
    shared: &Shared,
) -> HashMap<String, QueuePlan> {
    let plan = |queue: &config::Queue| {
        let plan = QueuePlan {
            service: services.get(&queue.service)?.clone(),
            latency: previous
                .queues
                .get(&queue.name)
                .map(|known| known.latency.clone())
                .unwrap_or_default(),
            metrics: shared.metrics.queue(&queue.name),
            queue: queue.clone(),
        };
        Some((queue.name.clone(), plan))
    };
    fleet.queues.iter().filter_map(plan).collect()
}
