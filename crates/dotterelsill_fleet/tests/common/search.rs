//! Breadth-first search over all orders of steps and faults.

use std::collections::HashSet;
use std::rc::Rc;

use dotterelsill_fleet::*;

use super::World;

#[derive(Clone, Copy, Debug)]
enum Fate {
    AnswerLost,
    Answered,
    Doubled,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Act(usize, usize, Fate),
    Arrive,
    Finish,
    Outage(usize, bool),
    Start,
    TakeOver,
}

fn successors(world: &World) -> Vec<(Move, World)> {
    let mut next = Vec::new();
    let mut push = |step: Move| {
        let mut copy = world.clone();
        apply(&mut copy, step);
        next.push((step, copy));
    };
    for (p, planner) in world.planners.iter().enumerate() {
        for (i, mover) in planner.movers.iter().enumerate() {
            fates(world, mover.pending(), |fate| push(Move::Act(p, i, fate)));
        }
    }
    if world.late.is_some() {
        push(Move::Arrive);
    }
    if world.nodes[0].busy {
        push(Move::Finish);
    }
    if world.takeovers_left > 0 {
        push(Move::TakeOver);
    }
    for (i, node) in world.nodes.iter().enumerate().take(2) {
        if world.events_left > 0 || !node.up {
            push(Move::Outage(i, node.up));
        }
    }
    next
}

fn fates(world: &World, pending: &Action, mut push: impl FnMut(Fate)) {
    if matches!(pending, Action::Stop(_)) {
        return;
    }
    push(Fate::Answered);
    let is_read = matches!(pending, Action::ReadBudget | Action::ReadPool);
    if is_read || world.faults_left == 0 {
        return;
    }
    push(Fate::AnswerLost);
    if world.late.is_none() {
        push(Fate::Doubled);
        push(Fate::Late);
    }
}

fn apply(world: &mut World, step: Move) {
    match step {
        Move::Act(p, i, fate) => act(world, p, i, fate),
        Move::Arrive => {
            let (i, action) = world.late.take().expect("a message is late");
            world.perform(i, &action);
        }
        Move::Finish => world.nodes[0].busy = false,
        Move::Outage(i, out) => {
            world.events_left -= u8::from(out);
            world.nodes[i].up = !out;
            world.charge(i, out);
        }
        Move::Start => {}
        Move::TakeOver => {
            world.takeovers_left -= 1;
            world.take_over();
        }
    }
}

fn act(world: &mut World, p: usize, i: usize, fate: Fate) {
    let action = world.planners[p].movers[i].pending().clone();
    if matches!(fate, Fate::Doubled | Fate::Late) {
        world.late = Some((i, action.clone()));
    }
    world.faults_left -= u8::from(!matches!(fate, Fate::Answered));
    let event = match fate {
        Fate::Late => Event::AnswerLost,
        _ => world.perform(i, &action),
    };
    let heard = match (fate, &action) {
        (Fate::Answered | Fate::Doubled, _) => event,
        (_, Action::WriteBudget(_) | Action::WritePool(_)) => Event::AnswerLost,
        _ => Event::Timeout,
    };
    world.answer(p, i, &heard);
}

pub(crate) struct Search {
    pub(crate) depth: usize,
    pub(crate) states: usize,
    pub(crate) violation: Option<Vec<String>>,
}

/// Explores all worlds that follow `start` until one breaks the invariant.
pub(crate) fn search(start: World, holds: impl Fn(&World) -> bool) -> Search {
    let start = Rc::new(start);
    let mut index = HashSet::from([Rc::clone(&start)]);
    let mut states = vec![(start, 0_usize, Move::Start, 0_usize)];
    let mut at = 0;
    while at < states.len() {
        let (world, depth) = (Rc::clone(&states[at].0), states[at].3);
        if !holds(&world) {
            let violation = Some(trace(&states, at));
            return Search {
                depth,
                states: states.len(),
                violation,
            };
        }
        for (step, next) in successors(&world) {
            let next = Rc::new(next);
            if index.insert(Rc::clone(&next)) {
                states.push((next, at, step, depth + 1));
            }
        }
        at += 1;
    }
    let depth = states.last().map_or(0, |s| s.3);
    Search {
        depth,
        states: states.len(),
        violation: None,
    }
}

fn trace(states: &[(Rc<World>, usize, Move, usize)], mut at: usize) -> Vec<String> {
    let mut lines = Vec::new();
    while at != 0 {
        let (_, parent, step, _) = &states[at];
        let line = match step {
            Move::Act(p, i, _) => {
                let planner = &states[*parent].0.planners[*p];
                format!(
                    "{step:?} {:?} {:?}",
                    planner.token,
                    planner.movers[*i].pending()
                )
            }
            Move::Arrive => format!("{step:?} {:?}", states[*parent].0.late),
            _ => format!("{step:?}"),
        };
        lines.push(line);
        at = *parent;
    }
    lines.reverse();
    lines
}
