//! Everything that may happen next.

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
    index,
    key,
    origin,
    Message,
    Node,
    World,
    RESTART, //
};

/// Event of a counterexample.
#[derive(Clone, Copy)]
pub(crate) struct Label {
    /// What happened.
    pub(crate) event: &'static str,
    /// To what.
    pub(crate) subject: &'static str,
    /// Incarnation concerned; 10 is the restarted 0.
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
        let mut next = Vec::new();
        self.arrivals(&mut next);
        self.node_faults(&mut next);
        for message in 0..self.messages.len() {
            self.message_events(message, &mut next);
        }
        for (_, world) in &mut next {
            world.normalise();
        }
        next
    }

    fn arrivals(&self, next: &mut Vec<(Label, World)>) {
        for number in 0..self.budget.attempts.len() {
            if self.budget.attempts[number] == 0 {
                continue;
            }
            for node in 0..self.nodes.len() {
                let mut world = self.clone();
                world.budget.attempts[number] -= 1;
                world.arrive(node, key(number));
                next.push((
                    Label::new("attempt", "arrives", self.nodes[node].incarnation, node),
                    world,
                ));
            }
        }
    }

    fn node_faults(&self, next: &mut Vec<(Label, World)>) {
        for n in 0..self.nodes.len() {
            let incarnation = self.nodes[n].incarnation;
            if self.nodes[n].lapsed {
                let mut world = self.clone();
                world.nodes[n].lapsed = false;
                next.push((Label::new("authority", "returns", incarnation, n), world));
            } else if self.budget.lapses > 0 {
                let mut world = self.clone();
                world.budget.lapses -= 1;
                world.nodes[n].lapsed = true;
                next.push((Label::new("authority", "ends", incarnation, n), world));
            }
            if self.budget.restarts > 0 {
                let mut world = self.clone();
                world.budget.restarts -= 1;
                world.nodes[n] = Node::new(Incarnation(incarnation.0 + RESTART), self.driver);
                next.push((Label::new("instance", "restarts", incarnation, n), world));
            }
        }
    }

    fn message_events(&self, index: usize, next: &mut Vec<(Label, World)>) {
        let mut taken = self.clone();
        let message = taken.messages.remove(index);
        match &message {
            Message::Call { .. } => call_events(&message, taken, next),
            Message::Answer { .. } => answer_events(&message, taken, next),
            Message::Run { on, path } => run_events((*on, *path), &taken, next),
            _ => peer_events(&message, &taken, next),
        }
    }

    /// Returns how often a message of this kind may still arrive twice.
    fn may_double(&self, message: &Message) -> u8 {
        match message {
            Message::Claim { .. } => self.budget.doubled_claims,
            _ => self.budget.doubled,
        }
    }

    /// Makes states equal that have the same future.
    fn normalise(&mut self) {
        let nodes = &self.nodes;
        let lives = |of: Incarnation| nodes[index(of)].incarnation == of;
        let waits = |to: AttemptId| {
            lives(to.incarnation) && nodes[index(to.incarnation)].paths.contains_key(&to.number)
        };
        self.messages.retain(|message| match message {
            Message::Reply { to, .. } | Message::Outcome { to, .. } => waits(*to),
            Message::Answer { to, .. } => lives(*to),
            Message::Run { on, .. } => lives(*on),
            _ => true,
        });
        for message in &mut self.messages {
            if let Message::Call { of, waited, .. } = message {
                *waited &= lives(*of);
            }
        }
        // The order of messages in flight has no meaning.
        self.messages.sort_by_cached_key(|message| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        });
    }
}

/// Store calls take effect once; a late one does so without an answer.
fn call_events(message: &Message, mut taken: World, next: &mut Vec<(Label, World)>) {
    let Message::Call { of, action, waited } = message else {
        return;
    };
    let call = action.call().expect("an action in flight is a store call");
    if *waited && taken.budget.store_late > 0 {
        let mut world = taken.clone();
        world.budget.store_late -= 1;
        world.messages.push(Message::Call {
            of: *of,
            action: action.clone(),
            waited: false,
        });
        world.on_answer(*of, call, StoreAnswer::Lost);
        next.push((label("is late", message, index(*of)), world));
    }
    let answer = taken.store(action);
    if *waited {
        let to = *of;
        taken.messages.push(Message::Answer { to, call, answer });
    }
    next.push((label("takes effect", message, index(*of)), taken));
}

fn answer_events(message: &Message, mut taken: World, next: &mut Vec<(Label, World)>) {
    let Message::Answer { to, call, answer } = message else {
        return;
    };
    if taken.budget.store_lost > 0 {
        let mut world = taken.clone();
        world.budget.store_lost -= 1;
        world.on_answer(*to, *call, StoreAnswer::Lost);
        next.push((label("is lost", message, index(*to)), world));
    }
    taken.on_answer(*to, *call, answer.clone());
    next.push((label("arrives", message, index(*to)), taken));
}

fn run_events((on, path): (Incarnation, u64), taken: &World, next: &mut Vec<(Label, World)>) {
    let answer = taken.dispatched.len() as u8;
    let ends = [
        ("is answered", RunEnd::Answered { answer, bytes: 1 }),
        ("is lost", RunEnd::NoAnswer),
        ("is not sent", RunEnd::NotSent),
    ];
    for (event, end) in ends {
        let bad = u8::from(!matches!(end, RunEnd::Answered { .. }));
        let Some(bad_runs) = taken.budget.bad_runs.checked_sub(bad) else {
            continue;
        };
        let mut world = taken.clone();
        world.budget.bad_runs = bad_runs;
        world.on_ran(on, path, end);
        next.push((Label::new("run", event, on, index(on)), world));
    }
}

fn peer_events(message: &Message, taken: &World, next: &mut Vec<(Label, World)>) {
    let targets = match message {
        // Instances may disagree about the owner.
        Message::Claim { .. } => 0..taken.nodes.len(),
        Message::Forward { claimant, .. } => index(*claimant)..index(*claimant) + 1,
        Message::Reply { to, .. } | Message::Outcome { to, .. } => {
            index(to.incarnation)..index(to.incarnation) + 1
        }
        _ => 0..0,
    };
    for target in targets {
        let mut world = taken.clone();
        world.deliver(message, target);
        next.push((label("arrives", message, target), world));
        if taken.may_double(message) > 0 {
            let mut world = taken.clone();
            world.deliver(message, target);
            match message {
                Message::Claim { .. } => world.budget.doubled_claims -= 1,
                _ => world.budget.doubled -= 1,
            }
            world.messages.push(message.clone());
            next.push((label("arrives, will again", message, target), world));
        }
    }
    if taken.budget.late > 0 {
        let mut world = taken.clone();
        world.budget.late -= 1;
        world.messages.push(message.clone());
        if world.time_out(message) {
            next.push((label("times out, is late", message, 0), world));
        }
    }
}

fn label(event: &'static str, message: &Message, to: usize) -> Label {
    let (subject, from) = match message {
        Message::Claim { ticket, .. } => ("claim", origin(*ticket).incarnation),
        Message::Reply { to, .. } => ("reply to a claim", to.incarnation),
        Message::Forward { origin, .. } => ("forwarded request", origin.incarnation),
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
