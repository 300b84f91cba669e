//! Exhaustive breadth-first search over the states of the world.

use std::{
    collections::HashSet,
    rc::Rc, //
};

use crate::world::{
    Label,
    World, //
};

/// Result of a search.
pub(crate) struct Exploration {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    /// Shortest sequence of events to a goal state, and that state.
    pub(crate) found: Option<(Vec<Label>, Rc<World>)>,
}

/// State that the search has reached.
struct ReachedState {
    world: Rc<World>,
    depth: usize,
    /// Index of the preceding state and the event that leads from it to this
    /// one; `None` for the start.
    predecessor: Option<(usize, Label)>,
}

/// Explores all states, or stops at the first goal state.
pub(crate) fn explore(start: World, is_goal: impl Fn(&World) -> bool) -> Exploration {
    let world = Rc::new(start);
    let mut seen = HashSet::from([world.clone()]);
    let depth = 0;
    let predecessor = None;
    let mut reached = vec![ReachedState {
        world,
        depth,
        predecessor,
    }];
    let mut next = 0;
    while next < reached.len() {
        let world = reached[next].world.clone();
        let depth = reached[next].depth + 1;
        for (label, successor) in world.successors() {
            let world = Rc::new(successor);
            if !seen.insert(world.clone()) {
                continue;
            }
            let predecessor = Some((next, label));
            reached.push(ReachedState {
                world,
                depth,
                predecessor,
            });
            let last = &reached[reached.len() - 1];
            if is_goal(&last.world) {
                return Exploration {
                    states: reached.len(),
                    depth,
                    found: Some((path_to_last(&reached), last.world.clone())),
                };
            }
        }
        next += 1;
    }
    Exploration {
        states: reached.len(),
        depth: reached.last().map_or(0, |last| last.depth),
        found: None,
    }
}

/// Returns the events that lead from the start to the last state reached.
fn path_to_last(reached: &[ReachedState]) -> Vec<Label> {
    let mut labels = Vec::new();
    let mut state = reached.last();
    while let Some((predecessor, label)) = state.and_then(|reached| reached.predecessor) {
        labels.push(label);
        state = reached.get(predecessor);
    }
    labels.reverse();
    labels
}
