//! Texts for operators on the plan and on each instance.

use std::{
    collections::BTreeMap,
    fmt::Write as _, //
};

use dotterelsill_fleet::{
    BudgetError,
    Instance,
    Outcome,
    Reason,
    Service,
    Step, //
};
use dotterelsill_proto::platform::InstanceState;

use crate::{
    lead::Leader,
    names::Names,
    view::Texts, //
};

/// Most planned visits, and most later instances, that the plan shows.
const MAX_VISITS_SHOWN: usize = 20;

/// Returns the texts for the leader's current state.
pub(crate) fn texts(leader: &Leader<'_>) -> Texts {
    let names = &leader.access.shared.names;
    let members = leader.topology.members.keys().chain(leader.pools.keys());
    let mut instances = BTreeMap::new();
    for instance in members {
        instances.insert(names.name(instance.0), instance_text(leader, *instance));
    }
    Texts {
        instances,
        plan: plan(leader),
    }
}

fn plan(leader: &Leader<'_>) -> String {
    let names = &leader.access.shared.names;
    let mut text = format!(
        "revision {}, token {}\n",
        leader.topology.revision,
        leader.access.token().0
    );
    for (service, limits) in &leader.topology.services {
        let out = leader
            .budgets
            .get(service)
            .map_or(0, |(b, _)| b.value.outage_count());
        let floor = limits.budget_limits.floor(limits.upstreams);
        let _ = writeln!(
            text,
            "budget {}: {out} of {} out, floor {floor}",
            names.name(service.0),
            limits.upstreams
        );
    }
    if leader.maintenance.is_halted() {
        let _ = writeln!(text, "maintenance halted, failed: {}", failed_names(leader));
    }
    for instance in leader.active_moves.keys() {
        let name = names.name(instance.0);
        let _ = writeln!(text, "now {name}: {}", instance_text(leader, *instance));
    }
    for visit in leader.maintenance.visits.iter().take(MAX_VISITS_SHOWN) {
        let at_unix_ms = leader.maintenance.clock().unix_ms(visit.start);
        let describe =
            |i: &Instance| format!("{} (budget {})", names.name(i.0), budget_name(leader, *i));
        let instances: Vec<_> = visit.instances.iter().map(describe).collect();
        let _ = writeln!(text, "at_unix_ms={at_unix_ms} {}", instances.join(", "));
    }
    write_unplanned(leader, &mut text);
    text
}

/// Appends the unplanned instances that are due next.
fn write_unplanned(leader: &Leader<'_>, text: &mut String) {
    let names = &leader.access.shared.names;
    let members = leader.topology.members.keys();
    let unplanned = members.filter(|i| leader.maintenance.reason(**i).is_none());
    let mut later: Vec<_> = unplanned.map(|i| (due_unix_ms(leader, *i), *i)).collect();
    later.sort_unstable();
    for (due_unix_ms, instance) in later.iter().take(MAX_VISITS_SHOWN) {
        let name = names.name(instance.0);
        let budget = budget_name(leader, *instance);
        let _ = writeln!(text, "due_unix_ms={due_unix_ms} {name} (budget {budget})");
    }
}

fn due_unix_ms(leader: &Leader<'_>, instance: Instance) -> u64 {
    let last_maintained = leader.last_maintained.get(&instance).copied();
    leader.maintenance.due_unix_ms(last_maintained.unwrap_or(0))
}

/// Returns the name of the service whose budget an instance takes, or an empty
/// string if the configuration does not name the instance.
fn budget_name(leader: &Leader<'_>, instance: Instance) -> String {
    let service = leader.topology.members.get(&instance).map(|m| m.service);
    service.map_or_else(String::new, |s| leader.access.shared.names.name(s.0))
}

/// Returns where an instance is and why it waits or when it is due.
fn instance_text(leader: &Leader<'_>, instance: Instance) -> String {
    let names = &leader.access.shared.names;
    let mut text = pool_text(leader, instance);
    match leader.listed_states.get(&instance) {
        None => text.push_str("; the platform does not list it"),
        Some(InstanceState::Failed) => text.push_str("; it has failed"),
        Some(_) => {}
    }
    if let Some(member) = leader.topology.members.get(&instance) {
        if leader
            .topology
            .excluded_data_centres
            .contains(&member.upstream.data_centre)
        {
            let name = names.name(member.upstream.data_centre.0);
            let _ = write!(text, "; operators have taken data centre {name} out");
        }
    } else {
        text.push_str("; the operators' text does not name it");
    }
    if is_moving(leader, instance) {
        return text;
    }
    if let Some(Outcome::BudgetRefused(error)) = leader.unsettled.get(&instance) {
        let _ = write!(text, "; waits: {}", refusal_text(error, names));
    } else if leader.maintenance.is_halted() {
        let failed_names = failed_names(leader);
        let _ = write!(
            text,
            "; waits: maintenance is halted after {failed_names} failed"
        );
    } else if let Some(reason) = leader.maintenance.reason(instance) {
        let _ = write!(text, "; {}", reason_text(&reason, names));
    } else if is_refused(leader, instance) {
        text.push_str("; waits: the budget of its service has refused another outage");
    } else {
        let due_unix_ms = due_unix_ms(leader, instance);
        let _ = write!(text, "; due for maintenance at_unix_ms={due_unix_ms}");
    }
    text
}

fn is_moving(leader: &Leader<'_>, instance: Instance) -> bool {
    let record = leader.pools.get(&instance).map(|pool| pool.value.record);
    record.is_some_and(|record| record.step != Step::Settled)
}

fn is_refused(leader: &Leader<'_>, instance: Instance) -> bool {
    let member = leader.topology.members.get(&instance);
    member.is_some_and(|member| leader.maintenance.is_refused(member.service))
}

/// Returns the names of the failed instances that halt the maintenance.
fn failed_names(leader: &Leader<'_>) -> String {
    let names = &leader.access.shared.names;
    let failed_names = leader.maintenance.failed_instances().iter();
    let failed_names: Vec<_> = failed_names.map(|i| names.name(i.0)).collect();
    failed_names.join(" ")
}

/// Returns the pool and the step of an instance.
fn pool_text(leader: &Leader<'_>, instance: Instance) -> String {
    let names = &leader.access.shared.names;
    let Some(pool) = leader.pools.get(&instance) else {
        return "the store has no pool record of it".to_owned();
    };
    let record = pool.value.record;
    let name = names.name(record.pool.0);
    let pool_name = |pool: dotterelsill_fleet::Pool| names.name(pool.0);
    match record.step {
        Step::Settled => format!("in pool {name}"),
        Step::Drain(route) => format!("leaving pool {name} for {}: draining", pool_name(route.to)),
        Step::ConfirmEmpty(route) => {
            format!(
                "leaving pool {name} for {}: finishing its work",
                pool_name(route.to)
            )
        }
        Step::Detach(route) => {
            format!("leaving pool {name} for {}: detaching", pool_name(route.to))
        }
        Step::Maintain { to: next } => {
            format!("in no pool: being maintained before {}", pool_name(next))
        }
        Step::Attach { to: next } => format!("in no pool: attaching to {}", pool_name(next)),
    }
}

fn reason_text(reason: &Reason, names: &Names) -> String {
    match reason {
        Reason::Budget(error) => format!("waits: {}", refusal_text(error, names)),
        Reason::NoFreeHour { limit, service } => {
            let name = service_name(*service, names);
            format!("waits: {limit} of service {name} leave no free hour")
        }
        Reason::UnknownService(service) => {
            let name = service_name(*service, names);
            format!("waits: service {name} has no budget; add it to the text")
        }
        other => other.to_string(),
    }
}

fn service_name(service: Service, names: &Names) -> String {
    names.name(service.0)
}

fn refusal_text(error: &BudgetError, names: &Names) -> String {
    match error {
        BudgetError::DataCentreFull {
            data_centre,
            limit,
            out,
        } => {
            let name = names.name(data_centre.0);
            format!("data centre {name} has {out} of at most {limit} instances out")
        }
        BudgetError::RackFull { limit, out, rack } => {
            let name = names.name(rack.0);
            format!("rack {name} has {out} of at most {limit} instances out")
        }
        other => other.to_string(),
    }
}
