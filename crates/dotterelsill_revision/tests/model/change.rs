//! Model check of a change whose store answers are lost, doubled and late.
//!
//! Another writer replaces the head up to three times, and old bodies are
//! removed. Requests take effect late or never, so that a compare-and-swap can
//! arrive after it was given up.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_revision::{
    Action,
    Base,
    BodyResponse,
    ChangeWriter,
    Head,
    HeadRead,
    Outcome,
    Predecessor,
    SwapResponse,
    UnknownReason,
    WriteId, //
};

use crate::search;

const DEADLINE: u8 = 2;

/// Mistakes of a driver that the invariants must catch.
#[derive(Clone, Copy, PartialEq)]
enum Driver {
    Correct,
    RefusesLostAnswer,
    TrustsBody,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Answer {
    Body,
    Swap(SwapResponse),
    Head(HeadRead),
    Predecessor(WriteId, Predecessor),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Message {
    Request(Action),
    Answer(Answer),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u8,
    /// Head revisions in order; the version of the head is their number.
    history: Vec<WriteId>,
    /// Oldest revision whose body still exists.
    oldest_body: usize,
    change: ChangeWriter,
    /// Whether the call that the change names was sent.
    called: bool,
    reported: Option<Outcome>,
    messages: Vec<Message>,
}

fn at(tick: u8) -> Instant {
    static ZERO: OnceLock<Instant> = OnceLock::new();
    *ZERO.get_or_init(Instant::now) + Duration::from_secs(tick.into())
}

fn start() -> World {
    let base = WriteId::new("base");
    let head = Head {
        revision: 1,
        write_id: base.clone(),
    };
    let base_head = Base {
        version: 1,
        head: Some(head),
    };
    World {
        now: 0,
        history: vec![base],
        oldest_body: 1,
        change: ChangeWriter::new(WriteId::new("ours"), base_head, at(DEADLINE)),
        called: false,
        reported: None,
        messages: Vec::new(),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Tick,
    Call,
    GiveUp,
    Overtake,
    RemoveBody,
    Lose(Message),
    Deliver(Message),
    DeliverAndKeep(Message),
}

fn successors(driver: Driver, world: &World) -> Vec<(Step, World)> {
    let mut steps = vec![Step::Call, Step::GiveUp, Step::RemoveBody];
    if world.now < DEADLINE + 1 {
        steps.push(Step::Tick);
    }
    if world.history.len() < 4 {
        steps.push(Step::Overtake);
    }
    for message in &world.messages {
        steps.push(Step::Lose(message.clone()));
        steps.push(Step::Deliver(message.clone()));
        steps.push(Step::DeliverAndKeep(message.clone()));
    }
    let applied = steps.into_iter().map(|step| {
        let next = apply(driver, world, &step);
        (step, next)
    });
    applied.filter(|(_, next)| next != world).collect()
}

fn apply(driver: Driver, world: &World, step: &Step) -> World {
    let mut next = world.clone();
    match step {
        Step::Tick => next.now += 1,
        Step::Call => next.call(),
        Step::GiveUp => next.give_up(driver),
        Step::Overtake => {
            let name = format!("other{}", next.history.len());
            next.history.push(WriteId::new(&name));
        }
        Step::RemoveBody => next.oldest_body = 4,
        Step::Lose(message) => next.messages.retain(|one| one != message),
        Step::Deliver(message) => {
            next.messages.retain(|one| one != message);
            next.deliver(driver, message);
        }
        Step::DeliverAndKeep(message) => next.deliver(driver, message),
    }
    if let Action::Done(outcome) = next.change.next_action() {
        next.reported.get_or_insert(outcome);
    }
    next
}

impl World {
    fn put(&mut self, message: Message) {
        if self.messages.len() < 2 && !self.messages.contains(&message) {
            self.messages.push(message);
        }
    }

    fn call(&mut self) {
        let action = self.change.next_action();
        if !self.called && !matches!(action, Action::Done(_)) {
            self.called = true;
            self.put(Message::Request(action));
        }
    }

    fn give_up(&mut self, driver: Driver) {
        if !self.called {
            return;
        }
        let swaps = matches!(self.change.next_action(), Action::SwapHead { .. });
        if driver == Driver::RefusesLostAnswer && swaps {
            self.reported.get_or_insert(Outcome::Overtaken);
        }
        self.called = false;
        self.change.on_no_response(at(self.now));
    }

    fn deliver(&mut self, driver: Driver, message: &Message) {
        match message {
            Message::Request(action) => {
                let answer = self.serve(action);
                self.put(Message::Answer(answer));
            }
            Message::Answer(answer) => self.receive(driver, answer),
        }
    }

    fn serve(&mut self, action: &Action) -> Answer {
        let version = self.history.len() as u64;
        match action {
            Action::WriteBody => Answer::Body,
            Action::SwapHead {
                expected_version,
                head,
            } if *expected_version == version => {
                self.history.push(head.write_id.clone());
                Answer::Swap(SwapResponse::Swapped)
            }
            Action::SwapHead { .. } => Answer::Swap(SwapResponse::Mismatch),
            Action::ReadBody { write_id } => {
                Answer::Predecessor(write_id.clone(), self.predecessor(write_id))
            }
            Action::ReadHead | Action::Done(_) => Answer::Head(HeadRead {
                version,
                head: self.history.last().map(|write_id| Head {
                    revision: version,
                    write_id: write_id.clone(),
                }),
            }),
        }
    }

    fn predecessor(&self, write_id: &WriteId) -> Predecessor {
        let position = self.history.iter().position(|one| one == write_id);
        match position {
            Some(position) if position > 0 && position + 1 >= self.oldest_body => {
                Predecessor::Write(self.history[position - 1].clone())
            }
            _ => Predecessor::BodyMissing,
        }
    }

    fn receive(&mut self, driver: Driver, answer: &Answer) {
        let before = self.change.clone();
        let now = at(self.now);
        match answer {
            Answer::Body => self.change.on_body(BodyResponse::Written, now),
            Answer::Swap(answer) => self.change.on_swap(*answer, now),
            Answer::Head(read) => self.change.on_head(read, now),
            Answer::Predecessor(of, predecessor) => {
                self.change.on_predecessor(of, predecessor.clone(), now);
            }
        }
        if driver == Driver::TrustsBody && *answer == Answer::Body {
            let revision = before.head().revision;
            self.reported.get_or_insert(Outcome::Stored { revision });
        }
        self.called &= before == self.change;
    }
}

const FALSELY_STORED: &str = "a change that is not stored was reported as stored";
const FALSELY_REFUSED: &str = "a change that is stored was reported as refused";

fn violation(world: &World) -> Option<&'static str> {
    let ours = world.change.head();
    let revision = world.history.iter().position(|one| *one == ours.write_id);
    let revision = revision.map(|position| position as u64 + 1);
    match (&world.reported, revision) {
        (Some(Outcome::Stored { revision: reported }), stored) if stored != Some(*reported) => {
            Some(FALSELY_STORED)
        }
        (Some(Outcome::Overtaken | Outcome::NotSent), Some(_)) => Some(FALSELY_REFUSED),
        _ => None,
    }
}

fn run(name: &str, driver: Driver, min_states: usize, expected: Option<&str>) {
    let found = search::search(start(), |world| successors(driver, world), violation);
    search::check(name, &found, min_states, expected);
}

/// Guards against a wrong report on a change whose store answer was lost, also
/// when the write takes effect after the report.
#[test]
fn lost_answers_are_recognised() {
    run("lost answers", Driver::Correct, 5_000, None);
}

/// Guards against a change that ends as unknown whatever the store answers.
#[test]
fn every_outcome_is_reached() {
    let unknown = |reason| Outcome::Unknown { reason };
    let outcomes = [
        Outcome::Stored { revision: 2 },
        Outcome::Overtaken,
        Outcome::NotSent,
        unknown(UnknownReason::Timeout),
        unknown(UnknownReason::BodyMissing),
    ];
    for outcome in outcomes {
        let found = search::search(
            start(),
            |world| successors(Driver::Correct, world),
            |world| (world.reported.as_ref() == Some(&outcome)).then_some("reached"),
        );
        search::check("outcome", &found, 3, Some("reached"));
    }
}

/// Guards against a model that misses the mistakes a driver can make.
#[test]
fn broken_recognition_is_caught() {
    let lost = Driver::RefusesLostAnswer;
    run("refuses lost answer", lost, 10, Some(FALSELY_REFUSED));
    run("trusts body", Driver::TrustsBody, 3, Some(FALSELY_STORED));
}
