//! Exhaustive breadth-first search over worlds.

use std::{
    collections::HashSet,
    rc::Rc, //
};

use crate::world::{
    Label,
    World, //
};

pub(crate) struct Explored {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    /// Shortest path to a state that was looked for, and that state.
    pub(crate) found: Option<(Vec<Label>, Rc<World>)>,
}

struct Reached {
    world: Rc<World>,
    depth: usize,
    from: Option<(usize, Label)>,
}

/// Explores all states, or stops at the first one that is looked for.
pub(crate) fn explore(start: World, wanted: impl Fn(&World) -> bool) -> Explored {
    let world = Rc::new(start);
    let mut seen = HashSet::from([world.clone()]);
    let depth = 0;
    let from = None;
    let mut reached = vec![Reached { world, depth, from }];
    let mut next = 0;
    while next < reached.len() {
        let world = reached[next].world.clone();
        let depth = reached[next].depth + 1;
        for (label, successor) in world.successors() {
            let world = Rc::new(successor);
            if !seen.insert(world.clone()) {
                continue;
            }
            let from = Some((next, label));
            reached.push(Reached { world, depth, from });
            let last = &reached[reached.len() - 1];
            if wanted(&last.world) {
                return Explored {
                    states: reached.len(),
                    depth,
                    found: Some((path(&reached), last.world.clone())),
                };
            }
        }
        next += 1;
    }
    Explored {
        states: reached.len(),
        depth: reached.last().map_or(0, |last| last.depth),
        found: None,
    }
}

/// Returns the events that lead to the last state reached.
fn path(reached: &[Reached]) -> Vec<Label> {
    let mut labels = Vec::new();
    let mut state = reached.last();
    while let Some((from, label)) = state.and_then(|reached| reached.from) {
        labels.push(label);
        state = reached.get(from);
    }
    labels.reverse();
    labels
}
