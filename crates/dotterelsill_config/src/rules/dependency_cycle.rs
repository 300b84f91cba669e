//! Dependency cycles between services.

use std::collections::HashMap;

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::{
        for_display,
        KeyPath, //
    }, //
};

/// Maximum number of services of a cycle to list in a message.
const MAX_PRINTED: usize = 16;

/// Returns a finding for each dependency cycle found.
///
/// Services that cannot reach a cycle are removed first, so that each remaining
/// service has a remaining dependency. Following these dependencies always ends
/// in a cycle. The time is linear in the size of the text, and there is no
/// recursion, so a long chain cannot overflow the stack.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let graph = dependencies(fleet);
    let reaches_cycle = services_reaching_cycle(&graph);
    let mut visited = vec![false; graph.len()];
    (0..graph.len())
        .filter(|service| reaches_cycle[*service])
        .filter_map(|service| cycle_from(service, &graph, &reaches_cycle, &mut visited))
        .map(|cycle| finding(fleet, index, &cycle))
        .collect()
}

/// A dependency: its index in `depends_on`, and the index of the service it names.
type Dependency = (usize, usize);

/// Returns the dependencies of each service; unknown names are skipped.
fn dependencies(fleet: &Fleet) -> Vec<Vec<Dependency>> {
    let services = fleet.services.iter().enumerate();
    let by_name: HashMap<&str, usize> = services.map(|(i, s)| (s.name.as_str(), i)).collect();
    let resolve = |(i, name): (usize, &String)| Some((i, *by_name.get(name.as_str())?));
    fleet
        .services
        .iter()
        .map(|s| {
            s.depends_on
                .iter()
                .enumerate()
                .filter_map(resolve)
                .collect()
        })
        .collect()
}

/// Returns for each service whether its dependencies lead to a cycle.
fn services_reaching_cycle(graph: &[Vec<Dependency>]) -> Vec<bool> {
    let mut dependents = vec![Vec::new(); graph.len()];
    for (service, dependencies) in graph.iter().enumerate() {
        dependencies
            .iter()
            .for_each(|(_, dependency)| dependents[*dependency].push(service));
    }
    let mut unresolved: Vec<usize> = graph.iter().map(Vec::len).collect();
    let mut reaches_cycle = vec![true; graph.len()];
    let mut acyclic: Vec<usize> = (0..graph.len()).filter(|s| unresolved[*s] == 0).collect();
    while let Some(service) = acyclic.pop() {
        reaches_cycle[service] = false;
        for dependent in &dependents[service] {
            unresolved[*dependent] -= 1;
            if unresolved[*dependent] == 0 {
                acyclic.push(*dependent);
            }
        }
    }
    reaches_cycle
}

/// Follows the first dependency that reaches a cycle, from service to service, and
/// returns the cycle, or `None` if it was visited before. Each element is a
/// service and the index in its `depends_on`.
fn cycle_from(
    start: usize,
    graph: &[Vec<Dependency>],
    reaches_cycle: &[bool],
    visited: &mut [bool],
) -> Option<Vec<(usize, usize)>> {
    let mut walk = Vec::new();
    let mut service = start;
    while !visited[service] {
        visited[service] = true;
        let (item, dependency) = *graph[service].iter().find(|(_, d)| reaches_cycle[*d])?;
        walk.push((service, item));
        service = dependency;
    }
    let first = walk.iter().position(|(visited, _)| *visited == service)?;
    Some(walk.split_off(first))
}

/// Returns the finding for a cycle, at the dependency that closes the cycle.
fn finding(fleet: &Fleet, index: &Index<'_>, cycle: &[(usize, usize)]) -> Finding {
    let name = |service: usize| for_display(&fleet.services[service].name);
    let mut names: Vec<String> = cycle.iter().map(|(service, _)| name(*service)).collect();
    if names.len() > MAX_PRINTED {
        let omitted = names.len() - MAX_PRINTED;
        names.truncate(MAX_PRINTED);
        names.push(format!("({omitted} more)"));
    }
    names.push(name(cycle[0].0));
    let (service, item) = cycle[cycle.len() - 1];
    let path = KeyPath::list_item("services", service)
        .key("depends_on")
        .item(item);
    let problem = format!("the services depend on each other: {}", names.join(" -> "));
    let fix = "remove one of these dependencies";
    Finding::error("dependency-cycle", index, &path, problem, fix)
}
