//! Events of the model: all successors of a state.

use std::{
    fmt,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    }, //
};

use dotterelsill_claims::{
    Action,
    AttemptId,
    Entry,
    Incarnation,
    RunEnd,
    StoreAnswer, //
};

use super::{
    attempt_id,
    instance_index,
    key,
    Message,
    Node,
    World,
    INCARNATION_STEP, //
};

/// Description of an event, printed in counterexamples.
#[derive(Clone, Copy)]
pub(crate) struct Label {
    /// What happened.
    pub(crate) event: &'static str,
    /// What it happened to.
    pub(crate) subject: &'static str,
    /// Incarnation concerned; 10 is incarnation 0 after a restart.
    pub(crate) incarnation: u128,
    /// Receiving instance.
    pub(crate) to: usize,
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Label {
            event,
            subject,
            incarnation,
            to,
        } = self;
        write!(
            f,
            "{subject} {event} (incarnation {incarnation}, at instance {to})"
        )
    }
}

impl Label {
    fn new(
        subject: &'static str,
        event: &'static str,
        incarnation: Incarnation,
        to: usize,
    ) -> Self {
        Label {
            event,
            subject,
            incarnation: incarnation.0,
            to,
        }
    }
}

impl World {
    /// Returns every state that one event leads to.
    pub(crate) fn successors(&self) -> Vec<(Label, World)> {
        let mut successors = Vec::new();
        self.arrivals(&mut successors);
        self.node_faults(&mut successors);
        for message in 0..self.messages.len() {
            self.message_events(message, &mut successors);
        }
        for (_, world) in &mut successors {
            world.normalise();
        }
        successors
    }

    /// Adds the arrivals of attempts.
    fn arrivals(&self, successors: &mut Vec<(Label, World)>) {
        for number in 0..self.budget.attempts.len() {
            if self.budget.attempts[number] == 0 {
                continue;
            }
            for node in 0..self.nodes.len() {
                let mut world = self.clone();
                world.budget.attempts[number] -= 1;
                world.arrive(node, key(number));
                successors.push((
                    Label::new("attempt", "arrives", self.nodes[node].incarnation, node),
                    world,
                ));
            }
        }
    }

    /// Adds the lapses and returns of authority and the restarts.
    fn node_faults(&self, successors: &mut Vec<(Label, World)>) {
        for n in 0..self.nodes.len() {
            let incarnation = self.nodes[n].incarnation;
            if self.nodes[n].authority_lapsed {
                let mut world = self.clone();
                world.nodes[n].authority_lapsed = false;
                successors.push((Label::new("authority", "returns", incarnation, n), world));
            } else if self.budget.authority_lapses > 0 {
                let mut world = self.clone();
                world.budget.authority_lapses -= 1;
                world.nodes[n].authority_lapsed = true;
                successors.push((Label::new("authority", "ends", incarnation, n), world));
            }
            if self.budget.restarts > 0 {
                let mut world = self.clone();
                world.budget.restarts -= 1;
                world.nodes[n] =
                    Node::new(Incarnation(incarnation.0 + INCARNATION_STEP), self.driver);
                successors.push((Label::new("instance", "restarts", incarnation, n), world));
            }
        }
    }

    /// Adds the events of one message in flight.
    fn message_events(&self, index: usize, successors: &mut Vec<(Label, World)>) {
        let mut remaining = self.clone();
        let message = remaining.messages.remove(index);
        match &message {
            Message::Call { .. } => call_events(&message, remaining, successors),
            Message::Answer { .. } => answer_events(&message, remaining, successors),
            Message::Run { on, number } => run_events((*on, *number), &remaining, successors),
            _ => peer_events(&message, &remaining, successors),
        }
    }

    /// Returns how many messages of this kind may still arrive twice.
    fn duplicates_left(&self, message: &Message) -> u8 {
        match message {
            Message::Claim { .. } => self.budget.duplicated_claims,
            _ => self.budget.duplicated_messages,
        }
    }

    /// Reduces states with the same possible future to one state.
    fn normalise(&mut self) {
        let nodes = &self.nodes;
        let lives = |of: Incarnation| nodes[instance_index(of)].incarnation == of;
        let waits = |to: AttemptId| {
            lives(to.incarnation)
                && nodes[instance_index(to.incarnation)]
                    .attempts
                    .contains_key(&to.number)
        };
        self.messages.retain(|message| match message {
            Message::Reply { to, .. } | Message::Outcome { to, .. } => waits(*to),
            Message::Answer { to, .. } => lives(*to),
            Message::Run { on, .. } => lives(*on),
            _ => true,
        });
        for message in &mut self.messages {
            if let Message::Call { of, is_awaited, .. } = message {
                *is_awaited &= lives(*of);
            }
        }
        // The order of messages in flight has no effect on their delivery.
        self.messages.sort_by_cached_key(|message| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        });
    }
}

/// Adds the events of a store call. A call takes effect once; a late one does
/// so without an answer.
fn call_events(message: &Message, mut remaining: World, successors: &mut Vec<(Label, World)>) {
    let Message::Call {
        of,
        action,
        is_awaited,
    } = message
    else {
        return;
    };
    let call = action.call().expect("an action in flight is a store call");
    if *is_awaited && remaining.budget.late_store_calls > 0 {
        let mut world = remaining.clone();
        world.budget.late_store_calls -= 1;
        world.messages.push(Message::Call {
            of: *of,
            action: action.clone(),
            is_awaited: false,
        });
        world.on_answer(*of, call, StoreAnswer::Lost);
        successors.push((label("is late", message, instance_index(*of)), world));
    }
    let answer = remaining.execute_call(action);
    if *is_awaited {
        let to = *of;
        remaining
            .messages
            .push(Message::Answer { to, call, answer });
    }
    successors.push((
        label("takes effect", message, instance_index(*of)),
        remaining,
    ));
}

/// Adds the loss and the arrival of a store answer.
fn answer_events(message: &Message, mut remaining: World, successors: &mut Vec<(Label, World)>) {
    let Message::Answer { to, call, answer } = message else {
        return;
    };
    if remaining.budget.lost_store_answers > 0 {
        let mut world = remaining.clone();
        world.budget.lost_store_answers -= 1;
        world.on_answer(*to, *call, StoreAnswer::Lost);
        successors.push((label("is lost", message, instance_index(*to)), world));
    }
    remaining.on_answer(*to, *call, answer.clone());
    successors.push((label("arrives", message, instance_index(*to)), remaining));
}

/// Adds the ways in which a run may end.
fn run_events(
    (on, number): (Incarnation, u64),
    remaining: &World,
    successors: &mut Vec<(Label, World)>,
) {
    let answer = remaining.dispatched.len() as u8;
    let ends = [
        ("is answered", RunEnd::Answered { answer, bytes: 1 }),
        ("is lost", RunEnd::NoAnswer),
        ("is not sent", RunEnd::NotSent),
    ];
    for (event, end) in ends {
        let is_failed = u8::from(!matches!(end, RunEnd::Answered { .. }));
        let Some(failed_runs) = remaining.budget.failed_runs.checked_sub(is_failed) else {
            continue;
        };
        let mut world = remaining.clone();
        world.budget.failed_runs = failed_runs;
        world.on_run_ended(on, number, end);
        successors.push((Label::new("run", event, on, instance_index(on)), world));
    }
}

/// Adds the arrival, duplication and delay of a message between instances.
fn peer_events(message: &Message, remaining: &World, successors: &mut Vec<(Label, World)>) {
    let targets = match message {
        // Instances may disagree about the owner, so any may receive a claim.
        Message::Claim { .. } => 0..remaining.nodes.len(),
        Message::Forward { claimant, .. } => {
            instance_index(*claimant)..instance_index(*claimant) + 1
        }
        Message::Reply { to, .. } | Message::Outcome { to, .. } => {
            instance_index(to.incarnation)..instance_index(to.incarnation) + 1
        }
        _ => 0..0,
    };
    for target in targets {
        let mut world = remaining.clone();
        world.deliver(message, target);
        successors.push((label("arrives", message, target), world));
        if remaining.duplicates_left(message) > 0 {
            let mut world = remaining.clone();
            world.deliver(message, target);
            match message {
                Message::Claim { .. } => world.budget.duplicated_claims -= 1,
                _ => world.budget.duplicated_messages -= 1,
            }
            world.messages.push(message.clone());
            successors.push((label("arrives, will again", message, target), world));
        }
    }
    if remaining.budget.late_messages > 0 {
        let mut world = remaining.clone();
        world.budget.late_messages -= 1;
        world.messages.push(message.clone());
        if world.time_out(message) {
            successors.push((label("times out, is late", message, 0), world));
        }
    }
}

fn label(event: &'static str, message: &Message, to: usize) -> Label {
    let (subject, from) = match message {
        Message::Claim { ticket, .. } => ("claim", attempt_id(*ticket).incarnation),
        Message::Reply { to, .. } => ("reply to a claim", to.incarnation),
        Message::Forward { id, .. } => ("forwarded request", id.incarnation),
        Message::Outcome { to, .. } => ("outcome", to.incarnation),
        Message::Run { on, .. } => ("run", *on),
        Message::Call { of, action, .. } => (call_name(action), *of),
        Message::Answer { to, .. } => ("store answer", *to),
    };
    Label {
        event,
        subject,
        incarnation: from.0,
        to,
    }
}

fn call_name(action: &Action) -> &'static str {
    match action {
        Action::ReadOwner { .. } => "read of the owner record",
        Action::SwapOwner { .. } => "write of the owner record",
        Action::Create {
            entry: Entry::Seal { .. },
            ..
        } => "seal",
        Action::Create { .. } => "append",
        Action::Read { .. } => "read of an entry",
        Action::List { .. } => "list",
        Action::Reply { .. } => "reply",
    }
}
