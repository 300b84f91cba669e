//! Texts of the plan and of each instance, with names instead of numbers.

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
    lead::Lead,
    names::Names,
    view::Texts, //
};

/// Visits that the plan shows.
const VISITS_SHOWN: usize = 20;

/// Returns the texts of the state as of now.
pub(crate) fn texts(lead: &Lead<'_>) -> Texts {
    let names = &lead.acting.shared.names;
    let members = lead.topology.members.keys().chain(lead.pools.keys());
    let mut instances = BTreeMap::new();
    for instance in members {
        instances.insert(names.name(instance.0), instance_text(lead, *instance));
    }
    Texts {
        instances,
        plan: plan(lead),
    }
}

fn plan(lead: &Lead<'_>) -> String {
    let names = &lead.acting.shared.names;
    let mut text = format!(
        "revision {}, token {}\n",
        lead.topology.revision,
        lead.acting.token().0
    );
    for (service, limits) in &lead.topology.services {
        let out = lead
            .budgets
            .get(service)
            .map_or(0, |(b, _)| b.value.outage_count());
        let floor = limits.rule.floor(limits.upstreams);
        let _ = writeln!(
            text,
            "budget {}: {out} of {} out, floor {floor}",
            names.name(service.0),
            limits.upstreams
        );
    }
    if lead.maintenance.is_halted() {
        let _ = writeln!(text, "maintenance halted, failed: {}", suspects(lead));
    }
    for instance in lead.moving.keys() {
        let name = names.name(instance.0);
        let _ = writeln!(text, "now {name}: {}", instance_text(lead, *instance));
    }
    for visit in lead.maintenance.visits.iter().take(VISITS_SHOWN) {
        let at_unix_ms = lead.maintenance.clock().unix_ms(visit.start);
        let of = |i: &Instance| format!("{} (budget {})", names.name(i.0), budget(lead, *i));
        let instances: Vec<_> = visit.instances.iter().map(of).collect();
        let _ = writeln!(text, "at_unix_ms={at_unix_ms} {}", instances.join(", "));
    }
    write_later(lead, &mut text);
    text
}

/// Adds the instances that are due next, after those planned.
fn write_later(lead: &Lead<'_>, text: &mut String) {
    let names = &lead.acting.shared.names;
    let members = lead.topology.members.keys();
    let unplanned = members.filter(|i| lead.maintenance.reason(**i).is_none());
    let mut later: Vec<_> = unplanned.map(|i| (due_unix_ms(lead, *i), *i)).collect();
    later.sort_unstable();
    for (due_unix_ms, instance) in later.iter().take(VISITS_SHOWN) {
        let name = names.name(instance.0);
        let budget = budget(lead, *instance);
        let _ = writeln!(text, "due_unix_ms={due_unix_ms} {name} (budget {budget})");
    }
}

fn due_unix_ms(lead: &Lead<'_>, instance: Instance) -> u64 {
    let maintained = lead.maintained.get(&instance).copied();
    lead.maintenance.due_unix_ms(maintained.unwrap_or(0))
}

fn budget(lead: &Lead<'_>, instance: Instance) -> String {
    let service = lead.topology.members.get(&instance).map(|m| m.service);
    service.map_or_else(String::new, |s| lead.acting.shared.names.name(s.0))
}

fn instance_text(lead: &Lead<'_>, instance: Instance) -> String {
    let names = &lead.acting.shared.names;
    let mut text = place(lead, instance);
    match lead.listed.get(&instance) {
        None => text.push_str("; the platform does not list it"),
        Some(InstanceState::Failed) => text.push_str("; it has failed"),
        Some(_) => {}
    }
    if let Some(member) = lead.topology.members.get(&instance) {
        if lead.topology.out.contains(&member.upstream.data_centre) {
            let name = names.name(member.upstream.data_centre.0);
            let _ = write!(text, "; operators have taken data centre {name} out");
        }
    } else {
        text.push_str("; the operators' text does not name it");
    }
    if is_moving(lead, instance) {
        return text;
    }
    if let Some(Outcome::BudgetRefused(error)) = lead.waits.get(&instance) {
        let _ = write!(text, "; waits: {}", refusal(error, names));
    } else if lead.maintenance.is_halted() {
        let suspects = suspects(lead);
        let _ = write!(
            text,
            "; waits: maintenance is halted after {suspects} failed"
        );
    } else if let Some(reason) = lead.maintenance.reason(instance) {
        let _ = write!(text, "; {}", reason_text(&reason, names));
    } else if is_refused(lead, instance) {
        text.push_str("; waits: the budget of its service has refused another outage");
    } else {
        let due_unix_ms = due_unix_ms(lead, instance);
        let _ = write!(text, "; due for maintenance at_unix_ms={due_unix_ms}");
    }
    text
}

fn is_moving(lead: &Lead<'_>, instance: Instance) -> bool {
    let record = lead.pools.get(&instance).map(|pool| pool.value.record);
    record.is_some_and(|record| record.step != Step::Settled)
}

fn is_refused(lead: &Lead<'_>, instance: Instance) -> bool {
    let member = lead.topology.members.get(&instance);
    member.is_some_and(|member| lead.maintenance.is_refused(member.service))
}

/// Returns the names of the instances that halted the maintenance.
fn suspects(lead: &Lead<'_>) -> String {
    let names = &lead.acting.shared.names;
    let suspects = lead.maintenance.suspects().iter();
    let suspects: Vec<_> = suspects.map(|i| names.name(i.0)).collect();
    suspects.join(" ")
}

fn place(lead: &Lead<'_>, instance: Instance) -> String {
    let names = &lead.acting.shared.names;
    let Some(pool) = lead.pools.get(&instance) else {
        return "the store has no pool record of it".to_owned();
    };
    let record = pool.value.record;
    let name = names.name(record.pool.0);
    let to = |pool: dotterelsill_fleet::Pool| names.name(pool.0);
    match record.step {
        Step::Settled => format!("in pool {name}"),
        Step::Drain(route) => format!("leaving pool {name} for {}: draining", to(route.to)),
        Step::ConfirmEmpty(route) => {
            format!(
                "leaving pool {name} for {}: finishing its work",
                to(route.to)
            )
        }
        Step::Detach(route) => format!("leaving pool {name} for {}: detaching", to(route.to)),
        Step::Maintain { to: next } => format!("in no pool: being maintained before {}", to(next)),
        Step::Attach { to: next } => format!("in no pool: attaching to {}", to(next)),
    }
}

fn reason_text(reason: &Reason, names: &Names) -> String {
    match reason {
        Reason::Budget(error) => format!("waits: {}", refusal(error, names)),
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

fn refusal(error: &BudgetError, names: &Names) -> String {
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
