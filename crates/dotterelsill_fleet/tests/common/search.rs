//! Breadth-first search over all sequences of steps and faults.

use std::collections::HashSet;
use std::rc::Rc;

use dotterelsill_fleet::*;

use super::ModelState;

/// What happens to the request and the response of an action.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    ResponseLost,
    Answered,
    Duplicated,
    Delayed,
}

/// Step from one state to the next. The numbers are the indexes of the planner and
/// the instance.
#[derive(Clone, Copy, Debug)]
enum Transition {
    Act(usize, usize, Delivery),
    DeliverDelayed,
    FinishWork,
    Outage(usize, bool),
    Initial,
    StartPlanner,
}

fn successors(state: &ModelState) -> Vec<(Transition, ModelState)> {
    let mut next = Vec::new();
    let mut push = |step: Transition| {
        let mut copy = state.clone();
        apply(&mut copy, step);
        next.push((step, copy));
    };
    for (p, planner) in state.planners.iter().enumerate() {
        for (i, mover) in planner.movers.iter().enumerate() {
            deliveries(state, mover.pending(), |d| push(Transition::Act(p, i, d)));
        }
    }
    if state.delayed.is_some() {
        push(Transition::DeliverDelayed);
    }
    if state.nodes[0].busy {
        push(Transition::FinishWork);
    }
    if state.takeovers_left > 0 {
        push(Transition::StartPlanner);
    }
    for (i, node) in state.nodes.iter().enumerate().take(2) {
        if state.outages_left > 0 || !node.up {
            push(Transition::Outage(i, node.up));
        }
    }
    next
}

fn deliveries(state: &ModelState, pending: &Action, mut push: impl FnMut(Delivery)) {
    if matches!(pending, Action::Stop(_)) {
        return;
    }
    push(Delivery::Answered);
    let is_read = matches!(pending, Action::ReadBudget | Action::ReadPool);
    if is_read || state.faults_left == 0 {
        return;
    }
    push(Delivery::ResponseLost);
    if state.delayed.is_none() {
        push(Delivery::Duplicated);
        push(Delivery::Delayed);
    }
}

fn apply(state: &mut ModelState, step: Transition) {
    match step {
        Transition::Act(p, i, delivery) => perform_action(state, p, i, delivery),
        Transition::DeliverDelayed => {
            let (i, action) = state.delayed.take().expect("a message is delayed");
            state.perform(i, &action);
        }
        Transition::FinishWork => state.nodes[0].busy = false,
        Transition::Outage(i, out) => {
            state.outages_left -= u8::from(out);
            state.nodes[i].up = !out;
            state.set_outage(i, out);
        }
        Transition::Initial => {}
        Transition::StartPlanner => {
            state.takeovers_left -= 1;
            state.start_planner();
        }
    }
}

fn perform_action(state: &mut ModelState, p: usize, i: usize, delivery: Delivery) {
    let action = state.planners[p].movers[i].pending().clone();
    if matches!(delivery, Delivery::Duplicated | Delivery::Delayed) {
        state.delayed = Some((i, action.clone()));
    }
    state.faults_left -= u8::from(!matches!(delivery, Delivery::Answered));
    let event = match delivery {
        Delivery::Delayed => Event::AnswerLost,
        _ => state.perform(i, &action),
    };
    let received = match (delivery, &action) {
        (Delivery::Answered | Delivery::Duplicated, _) => event,
        (_, Action::WriteBudget(_) | Action::WritePool(_)) => Event::AnswerLost,
        _ => Event::Timeout,
    };
    state.deliver(p, i, &received);
}

pub(crate) struct Search {
    pub(crate) depth: usize,
    pub(crate) states: usize,
    pub(crate) violation: Option<Vec<String>>,
}

/// Explores all states reachable from `start` until one violates the invariant.
pub(crate) fn search(start: ModelState, holds: impl Fn(&ModelState) -> bool) -> Search {
    let start = Rc::new(start);
    let mut visited = HashSet::from([Rc::clone(&start)]);
    let mut states = vec![(start, 0_usize, Transition::Initial, 0_usize)];
    let mut current = 0;
    while current < states.len() {
        let (state, depth) = (Rc::clone(&states[current].0), states[current].3);
        if !holds(&state) {
            let violation = Some(trace(&states, current));
            return Search {
                depth,
                states: states.len(),
                violation,
            };
        }
        for (step, next) in successors(&state) {
            let next = Rc::new(next);
            if visited.insert(Rc::clone(&next)) {
                states.push((next, current, step, depth + 1));
            }
        }
        current += 1;
    }
    let depth = states.last().map_or(0, |s| s.3);
    Search {
        depth,
        states: states.len(),
        violation: None,
    }
}

fn trace(states: &[(Rc<ModelState>, usize, Transition, usize)], mut current: usize) -> Vec<String> {
    let mut lines = Vec::new();
    while current != 0 {
        let (_, parent, step, _) = &states[current];
        let line = match step {
            Transition::Act(p, i, _) => {
                let planner = &states[*parent].0.planners[*p];
                format!(
                    "{step:?} {:?} {:?}",
                    planner.token,
                    planner.movers[*i].pending()
                )
            }
            Transition::DeliverDelayed => format!("{step:?} {:?}", states[*parent].0.delayed),
            _ => format!("{step:?}"),
        };
        lines.push(line);
        current = *parent;
    }
    lines.reverse();
    lines
}
