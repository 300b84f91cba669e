//! Steps of the model and the invariants after each of them.

use dotterelsill_revision::{
    ChangeConfirmation,
    ConfirmationStatus,
    Decision,
    Instance,
    WhenIsolated, //
};

use crate::world::{
    at,
    limits,
    Call,
    Config,
    Driver,
    Message,
    World,
    FRESH_FOR,
    START, //
};

pub(crate) const AFTER_IN_FORCE: &str =
    "a start under an older revision after the change was in force";
pub(crate) const AFTER_LIMIT: &str = "a start under an older revision after the freshness limit";

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Tick,
    Store,
    ListMembers,
    ListLeases,
    Confirm,
    LoadBody,
    Crash,
    RegisterAgain,
    Send(Call),
    Lose(Message),
    Deliver(Message),
    DeliverAndKeep(Message),
}

pub(crate) fn successors(config: Config, world: &World) -> Vec<(Step, World)> {
    let steps = steps(config, world).into_iter();
    steps
        .filter_map(|step| {
            let next = apply(config, world, &step);
            (next != *world).then_some((step, next))
        })
        .collect()
}

pub(crate) fn steps(config: Config, world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    if world.is_settled() {
        return steps;
    }
    if world.now < START + config.horizon {
        steps.push(Step::Tick);
    }
    if world.stored.is_none() {
        steps.push(Step::Store);
    }
    if world.acceptance.is_some() {
        steps.extend([Step::ListMembers, Step::ListLeases, Step::Confirm]);
    }
    steps.extend([Step::LoadBody]);
    if world.restarts > 0 {
        steps.extend([Step::Crash, Step::RegisterAgain]);
    }
    if world.messages.len() < config.in_flight {
        if world.subject.registering.is_some() {
            steps.push(Step::Send(Call::Register));
        } else {
            steps.extend([Call::Read, Call::Renew].map(Step::Send));
            if config.has_peer {
                steps.extend(world.asks().into_iter().map(Step::Send));
            }
        }
    }
    for message in &world.messages {
        steps.push(Step::Lose(message.clone()));
        steps.push(Step::Deliver(message.clone()));
        // A request that is kept leaves its answer beside it.
        if message.answer.is_some() || world.messages.len() < config.in_flight {
            steps.push(Step::DeliverAndKeep(message.clone()));
        }
    }
    steps
}

pub(crate) fn apply(config: Config, world: &World, step: &Step) -> World {
    let mut next = world.clone();
    match step {
        Step::Tick => next.tick(),
        Step::Store => {
            next.stored = Some(next.now);
            next.acceptance = Some(ChangeConfirmation::new(2, at(next.now), false, limits()));
        }
        Step::ListMembers => next.list_members(config),
        Step::ListLeases => next.list_leases(),
        Step::Confirm => next.confirm(),
        Step::LoadBody => next.load_body(),
        Step::Crash => next.restart(true),
        Step::RegisterAgain => next.restart(false),
        Step::Send(call) => next.send(config, *call),
        Step::Lose(message) => next.messages.retain(|one| one != message),
        Step::Deliver(message) => {
            next.messages.retain(|one| one != message);
            deliver(config, &mut next, message);
        }
        Step::DeliverAndKeep(message) => deliver(config, &mut next, message),
    }
    let now = at(next.now);
    let done = next.acceptance.as_ref().map(|one| one.status(now));
    if matches!(done, Some(ConfirmationStatus::InForce { .. })) {
        next.reported = true;
        next.acceptance = None;
    }
    next.violation = violation(config, world, &next);
    next
}

pub(crate) fn deliver(config: Config, world: &mut World, message: &Message) {
    if let Some(answer) = &message.answer {
        world.receive(config, message, answer);
        return;
    }
    let mut message = message.clone();
    message.answer = Some(world.serve(config, &message));
    world.put(message);
}

pub(crate) fn violation(config: Config, before: &World, world: &World) -> Option<&'static str> {
    let instance = world.subject.instance.as_ref()?;
    let revision = |one: &Instance| one.tracker().in_force().map(|head| head.revision);
    let earlier = before.subject.instance.as_ref().and_then(revision);
    if earlier > revision(instance) {
        return Some("a revision in force decreased");
    }
    let late = world
        .stored
        .is_some_and(|stored| world.now >= stored + FRESH_FOR);
    for when in [WhenIsolated::Serve, WhenIsolated::Refuse] {
        if !starts_old(config, instance, when, world.now) {
            continue;
        }
        if world.reported {
            return Some(AFTER_IN_FORCE);
        }
        if late && (config.isolation == 0 || when == WhenIsolated::Refuse) {
            return Some(AFTER_LIMIT);
        }
    }
    None
}

pub(crate) fn starts_old(config: Config, instance: &Instance, when: WhenIsolated, now: u8) -> bool {
    let fresh = instance.freshness().is_fresh(at(now));
    if config.driver == Driver::FreshOverridesLapsed && fresh {
        return instance.tracker().known_revision() < 2;
    }
    let decision = instance.snapshot().decide(when, at(now));
    matches!(decision, Decision::Start { revision } if revision < 2)
}
