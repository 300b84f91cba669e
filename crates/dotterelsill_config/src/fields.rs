//! Flattens a fleet into records of keys and formatted values, for comparison.
//!
//! Each message is destructured in full, so that a field added to the schema is a
//! compile error until it is listed here.

use dotterelsill_proto::config::{
    DataCentre,
    Fleet,
    Queue,
    Service,
    Team,
    Upstream,
    WhenIsolated, //
};

use crate::place::for_display;

/// A key with its formatted value.
pub(crate) type Field = (&'static str, String);

/// A part of the fleet that is compared as a unit, such as one team.
pub(crate) struct Record {
    /// Path by names, such as `teams[billing]`; empty for the fleet itself.
    pub(crate) path: String,
    /// Fields in the order of the schema, without the name.
    pub(crate) fields: Vec<Field>,
}

/// Returns the records of a fleet in the order of the schema and the text.
pub(crate) fn records(fleet: &Fleet) -> Vec<Record> {
    let Fleet {
        isolation_limit_s,
        data_centres,
        teams,
        services,
        queues,
    } = fleet;
    let mut records = vec![Record {
        path: String::new(),
        fields: vec![("isolation_limit_s", isolation_limit_s.to_string())],
    }];
    records.extend(data_centres.iter().map(data_centre));
    records.extend(teams.iter().map(team));
    for item in services {
        service(item, &mut records);
    }
    records.extend(queues.iter().map(queue));
    records
}

/// Returns the record of a data centre.
fn data_centre(data_centre: &DataCentre) -> Record {
    let DataCentre { name, region } = data_centre;
    Record {
        path: path("data_centres", name),
        fields: vec![("region", for_display(region))],
    }
}

/// Returns the record of a team.
fn team(team: &Team) -> Record {
    let Team {
        name,
        share_percent,
        floor_requests,
        limit_requests,
    } = team;
    Record {
        path: path("teams", name),
        fields: vec![
            ("share_percent", share_percent.to_string()),
            ("floor_requests", floor_requests.to_string()),
            ("limit_requests", limit_requests.to_string()),
        ],
    }
}

/// Appends the records of a service and its upstreams.
fn service(service: &Service, records: &mut Vec<Record>) {
    let Service {
        name,
        depends_on,
        availability_floor_percent,
        upstreams,
    } = service;
    let mut dependencies: Vec<String> = depends_on.iter().map(|name| for_display(name)).collect();
    dependencies.sort();
    let path = path("services", name);
    let floor = availability_floor_percent.to_string();
    let upstreams = upstreams.iter().map(|item| upstream(&path, item));
    let upstreams: Vec<Record> = upstreams.collect();
    records.push(Record {
        path,
        fields: vec![
            ("depends_on", format!("[{}]", dependencies.join(", "))),
            ("availability_floor_percent", floor),
        ],
    });
    records.extend(upstreams);
}

/// Returns the record of an upstream; `service_path` is the path of its service.
fn upstream(service_path: &str, upstream: &Upstream) -> Record {
    let Upstream {
        name,
        address,
        data_centre,
        rack,
        slots,
        connections,
    } = upstream;
    Record {
        path: format!("{service_path}.{}", path("upstreams", name)),
        fields: vec![
            ("address", for_display(address)),
            ("data_centre", for_display(data_centre)),
            ("rack", for_display(rack)),
            ("slots", slots.to_string()),
            ("connections", connections.to_string()),
        ],
    }
}

/// Returns the record of a queue.
fn queue(queue: &Queue) -> Record {
    let Queue {
        name,
        service,
        urgency,
        open,
        repeatable,
        timeout_ms,
        max_run_ms,
        when_isolated: _,
    } = queue;
    let when_isolated = match queue.when_isolated() {
        WhenIsolated::Default => "default",
        WhenIsolated::Serve => "serve",
        WhenIsolated::Refuse => "refuse",
    };
    Record {
        path: path("queues", name),
        fields: vec![
            ("service", for_display(service)),
            ("urgency", urgency.to_string()),
            ("open", open.to_string()),
            ("repeatable", repeatable.to_string()),
            ("timeout_ms", timeout_ms.to_string()),
            ("max_run_ms", max_run_ms.to_string()),
            ("when_isolated", when_isolated.to_owned()),
        ],
    }
}

/// Returns the path of the record with the given name in a list.
fn path(list: &str, name: &str) -> String {
    format!("{list}[{name}]")
}
