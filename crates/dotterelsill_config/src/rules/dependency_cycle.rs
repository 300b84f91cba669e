//! Services that depend on themselves through others.

use std::collections::HashMap;

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::{
        shown,
        Place, //
    },
};

/// Most services of a cycle that are printed.
const MAX_PRINTED: usize = 16;

/// Returns a finding for each cycle that is found.
///
/// Services that cannot reach a cycle are removed first, so that each service
/// left has a dependency that is left too. Following these dependencies ends in
/// a cycle. The time is linear in the size of the text, and nothing recurses,
/// so that a long chain cannot exhaust the stack.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let graph = dependencies(fleet);
    let left = left_over(&graph);
    let mut visited = vec![false; graph.len()];
    (0..graph.len())
        .filter(|service| left[*service])
        .filter_map(|service| cycle_from(service, &graph, &left, &mut visited))
        .map(|cycle| finding(fleet, index, &cycle))
        .collect()
}

/// A dependency: its number in the list, and the service that it names.
type Dependency = (usize, usize);

/// Returns the dependencies of each service.
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

/// Returns for each service whether it reaches a cycle.
fn left_over(graph: &[Vec<Dependency>]) -> Vec<bool> {
    let mut dependants = vec![Vec::new(); graph.len()];
    for (service, needs) in graph.iter().enumerate() {
        needs
            .iter()
            .for_each(|(_, need)| dependants[*need].push(service));
    }
    let mut open: Vec<usize> = graph.iter().map(Vec::len).collect();
    let mut left = vec![true; graph.len()];
    let mut free: Vec<usize> = (0..graph.len()).filter(|s| open[*s] == 0).collect();
    while let Some(service) = free.pop() {
        left[service] = false;
        for dependant in &dependants[service] {
            open[*dependant] -= 1;
            if open[*dependant] == 0 {
                free.push(*dependant);
            }
        }
    }
    left
}

/// Returns the cycle that the first remaining dependencies lead to, unless it
/// was visited before. Each step is a service and a number in its list.
fn cycle_from(
    start: usize,
    graph: &[Vec<Dependency>],
    left: &[bool],
    visited: &mut [bool],
) -> Option<Vec<(usize, usize)>> {
    let mut walk = Vec::new();
    let mut service = start;
    while !visited[service] {
        visited[service] = true;
        let (item, need) = *graph[service].iter().find(|(_, need)| left[*need])?;
        walk.push((service, item));
        service = need;
    }
    let first = walk.iter().position(|(visited, _)| *visited == service)?;
    Some(walk.split_off(first))
}

/// Returns the finding for a cycle, at the dependency that closes it.
fn finding(fleet: &Fleet, index: &Index<'_>, cycle: &[(usize, usize)]) -> Finding {
    let name = |service: usize| shown(&fleet.services[service].name);
    let mut names: Vec<String> = cycle.iter().map(|(service, _)| name(*service)).collect();
    if names.len() > MAX_PRINTED {
        let left_out = names.len() - MAX_PRINTED;
        names.truncate(MAX_PRINTED);
        names.push(format!("({left_out} more)"));
    }
    names.push(name(cycle[0].0));
    let (service, item) = cycle[cycle.len() - 1];
    let place = Place::item_of("services", service)
        .key("depends_on")
        .item(item);
    let problem = format!("the services depend on each other: {}", names.join(" -> "));
    let fix = "remove one of these dependencies";
    Finding::error("dependency-cycle", index, &place, problem, fix)
}
