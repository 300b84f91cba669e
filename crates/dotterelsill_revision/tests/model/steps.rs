//! Steps of the model and the invariants checked after each step.

use dotterelsill_revision::{
    ChangeConfirmation,
    ConfirmationStatus,
    Decision,
    Instance,
    WhenIsolated, //
};

use crate::state::{
    instant_at,
    limits,
    Call,
    Config,
    Driver,
    Message,
    ModelState,
    FRESH_FOR,
    START, //
};

pub(crate) const STARTED_AFTER_IN_FORCE: &str =
    "a start under an older revision after the change was in force";
pub(crate) const STARTED_AFTER_FRESHNESS_LIMIT: &str =
    "a start under an older revision after the freshness limit";

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Tick,
    /// The observer stores the change.
    Store,
    ListMembers,
    ListLeases,
    /// The observer asks the subject for its revision in force.
    Confirm,
    LoadBody,
    Crash,
    RegisterAgain,
    Send(Call),
    Lose(Message),
    Deliver(Message),
    DeliverDuplicate(Message),
}

pub(crate) fn successors(config: Config, state: &ModelState) -> Vec<(Step, ModelState)> {
    let steps = steps(config, state).into_iter();
    steps
        .filter_map(|step| {
            let next = apply(config, state, &step);
            (next != *state).then_some((step, next))
        })
        .collect()
}

pub(crate) fn steps(config: Config, state: &ModelState) -> Vec<Step> {
    let mut steps = Vec::new();
    if state.is_settled() {
        return steps;
    }
    if state.now < START + config.horizon {
        steps.push(Step::Tick);
    }
    if state.stored.is_none() {
        steps.push(Step::Store);
    }
    if state.confirmation.is_some() {
        steps.extend([Step::ListMembers, Step::ListLeases, Step::Confirm]);
    }
    steps.extend([Step::LoadBody]);
    if state.restarts > 0 {
        steps.extend([Step::Crash, Step::RegisterAgain]);
    }
    if state.messages.len() < config.max_in_flight {
        if state.subject.registering.is_some() {
            steps.push(Step::Send(Call::Register));
        } else {
            steps.extend([Call::Read, Call::Renew].map(Step::Send));
            if config.has_peer {
                steps.extend(state.peer_queries().into_iter().map(Step::Send));
            }
        }
    }
    for message in &state.messages {
        steps.push(Step::Lose(message.clone()));
        steps.push(Step::Deliver(message.clone()));
        // A duplicated request stays in flight together with its response.
        if message.response.is_some() || state.messages.len() < config.max_in_flight {
            steps.push(Step::DeliverDuplicate(message.clone()));
        }
    }
    steps
}

pub(crate) fn apply(config: Config, state: &ModelState, step: &Step) -> ModelState {
    let mut next = state.clone();
    match step {
        Step::Tick => next.tick(),
        Step::Store => {
            next.stored = Some(next.now);
            next.confirmation = Some(ChangeConfirmation::new(
                2,
                instant_at(next.now),
                false,
                limits(),
            ));
        }
        Step::ListMembers => next.list_members(config),
        Step::ListLeases => next.list_leases(),
        Step::Confirm => next.confirm(),
        Step::LoadBody => next.load_body(),
        Step::Crash => next.restart(true),
        Step::RegisterAgain => next.restart(false),
        Step::Send(call) => next.send(config, *call),
        Step::Lose(message) => next.messages.retain(|queued| queued != message),
        Step::Deliver(message) => {
            next.messages.retain(|queued| queued != message);
            deliver(config, &mut next, message);
        }
        Step::DeliverDuplicate(message) => deliver(config, &mut next, message),
    }
    let now = instant_at(next.now);
    let done = next
        .confirmation
        .as_ref()
        .map(|confirmation| confirmation.status(now));
    if matches!(done, Some(ConfirmationStatus::InForce { .. })) {
        next.reported_in_force = true;
        next.confirmation = None;
    }
    next.violation = violation(config, state, &next);
    next
}

pub(crate) fn deliver(config: Config, state: &mut ModelState, message: &Message) {
    if let Some(response) = &message.response {
        state.process_response(config, message, response);
        return;
    }
    let mut message = message.clone();
    message.response = Some(state.process_request(config, &message));
    state.enqueue(message);
}

pub(crate) fn violation(
    config: Config,
    before: &ModelState,
    state: &ModelState,
) -> Option<&'static str> {
    let instance = state.subject.instance.as_ref()?;
    let revision = |instance: &Instance| instance.tracker().in_force().map(|head| head.revision);
    let earlier = before.subject.instance.as_ref().and_then(revision);
    if earlier > revision(instance) {
        return Some("a revision in force decreased");
    }
    let late = state
        .stored
        .is_some_and(|stored| state.now >= stored + FRESH_FOR);
    for when in [WhenIsolated::Serve, WhenIsolated::Refuse] {
        if !starts_under_old_revision(config, instance, when, state.now) {
            continue;
        }
        if state.reported_in_force {
            return Some(STARTED_AFTER_IN_FORCE);
        }
        if late && (config.isolation == 0 || when == WhenIsolated::Refuse) {
            return Some(STARTED_AFTER_FRESHNESS_LIMIT);
        }
    }
    None
}

pub(crate) fn starts_under_old_revision(
    config: Config,
    instance: &Instance,
    when: WhenIsolated,
    now: u8,
) -> bool {
    let fresh = instance.freshness().is_fresh(instant_at(now));
    if config.driver == Driver::FreshOverridesLapsed && fresh {
        return instance.tracker().known_revision() < 2;
    }
    let decision = instance.snapshot().decide(when, instant_at(now));
    matches!(decision, Decision::Start { revision } if revision < 2)
}
