//! Topology that the planner derives from the operators' configuration.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dotterelsill_config::CheckedFleet;
use dotterelsill_fleet::{
    BudgetLimits,
    DataCentre,
    Instance,
    Rack,
    Service,
    ServiceLoad,
    Upstream, //
};
use dotterelsill_proto::config::{
    Document,
    Head, //
};
use prost::Message as _;
use sha2::{
    Digest as _,
    Sha256, //
};
use snafu::{
    ensure,
    OptionExt,
    ResultExt, //
};

use crate::{
    error::{
        DigestSnafu,
        Error,
        InvalidConfigurationSnafu,
        InvalidValueSnafu,
        MissingSnafu,
        StoreSnafu, //
    },
    names::Names,
    settings::Settings,
    shared::Shared, //
};

const HEAD_KEY: &str = "config/head";

/// Services, their upstreams and the data centres that operators have excluded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    pub(crate) members: BTreeMap<Instance, Member>,
    pub(crate) excluded_data_centres: BTreeSet<DataCentre>,
    /// Revision of the configuration.
    pub(crate) revision: u64,
    pub(crate) services: BTreeMap<Service, ServiceLimits>,
}

/// Upstream of a service. An instance belongs in the pool of the same name as
/// the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) service: Service,
    pub(crate) upstream: Upstream,
}

/// Budget limits of a service and its number of upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLimits {
    pub(crate) budget_limits: BudgetLimits,
    pub(crate) upstreams: u32,
}

impl Topology {
    /// Returns the upstreams that the configuration gives to a service.
    pub(crate) fn upstreams_of(&self, service: Service) -> impl Iterator<Item = Upstream> + '_ {
        let members = self.members.values();
        members
            .filter(move |member| member.service == service)
            .map(|member| member.upstream)
    }

    /// Returns the load and the limits of each service for planning. The store
    /// holds no demand by hour, so all hours count as equally loaded.
    pub(crate) fn loads(&self) -> Vec<ServiceLoad> {
        let services = self.services.iter();
        let load = |(service, limits): (&Service, &ServiceLimits)| ServiceLoad {
            demand_instances: vec![0.0],
            limits: limits.budget_limits,
            service: *service,
            upstreams: limits.upstreams,
        };
        services.map(load).collect()
    }

    fn new(revision: u64, document: &Document, checked: &CheckedFleet, shared: &Shared) -> Self {
        let names = &shared.names;
        let excluded_data_centres = document.data_centres_out.iter();
        let mut topology = Self {
            excluded_data_centres: excluded_data_centres
                .map(|name| DataCentre(names.number(name)))
                .collect(),
            revision,
            ..Self::default()
        };
        for service in &checked.fleet().services {
            topology.add_service(service, names, &shared.settings);
        }
        topology
    }

    fn add_service(
        &mut self,
        service: &dotterelsill_proto::config::Service,
        names: &Names,
        settings: &Settings,
    ) {
        let number = Service(names.number(&service.name));
        let limits = ServiceLimits {
            budget_limits: BudgetLimits {
                floor_percent: service.availability_floor_percent,
                per_data_centre: settings.per_data_centre,
                per_rack: settings.per_rack,
            },
            upstreams: service.upstreams.len() as u32,
        };
        self.services.insert(number, limits);
        for upstream in &service.upstreams {
            let upstream = Upstream {
                data_centre: DataCentre(names.number(&upstream.data_centre)),
                instance: Instance(names.number(&upstream.name)),
                rack: Rack(names.rack(&upstream.data_centre, &upstream.rack)),
            };
            let member = Member {
                service: number,
                upstream,
            };
            self.members.insert(upstream.instance, member);
        }
    }
}

/// Reads the configuration, or returns `None` if the store has none that is newer
/// than the known revision.
pub(crate) async fn read(shared: &Shared, known: u64) -> Result<Option<Topology>, Error> {
    let entry = shared.store.get(HEAD_KEY).await.context(StoreSnafu)?;
    let Some(entry) = entry else {
        return Ok(None);
    };
    let head = Head::decode(entry.value.as_slice()).ok();
    let head = head.context(InvalidValueSnafu { key: HEAD_KEY })?;
    if head.revision <= known {
        return Ok(None);
    }
    let document = read_document(shared, &head).await?;
    let write_id = &head.write_id;
    let checked = dotterelsill_config::parse(&document.text).map_err(|findings| {
        let finding = findings.first().map(ToString::to_string);
        let finding = finding.unwrap_or_default();
        InvalidConfigurationSnafu { write_id, finding }.build()
    })?;
    let topology = Topology::new(head.revision, &document, &checked, shared);
    Ok(Some(topology))
}

/// Reads the document that a head refers to and verifies its digest.
async fn read_document(shared: &Shared, head: &Head) -> Result<Document, Error> {
    let write_id = &head.write_id;
    let key = format!("config/body/{write_id}");
    let entry = shared.store.get(&key).await.context(StoreSnafu)?;
    let entry = entry.context(MissingSnafu { key: &key })?;
    let digest = Sha256::digest(&entry.value);
    ensure!(
        digest.as_slice() == head.document_sha256,
        DigestSnafu { write_id }
    );
    let document = Document::decode(entry.value.as_slice()).ok();
    document.context(InvalidValueSnafu { key })
}
