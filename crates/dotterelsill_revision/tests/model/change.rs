//! Model check of a change whose store responses are lost, duplicated or late.
//!
//! Another writer replaces the head up to three times, and old bodies are
//! deleted. Requests take effect late or never, so a compare-and-swap can arrive
//! after the driver has stopped waiting for its response.

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

/// Tick from which the change may start no further call.
const DEADLINE: u8 = 2;

/// Correct driver, or driver with one bug that the invariants must detect.
#[derive(Clone, Copy, PartialEq)]
enum Driver {
    Correct,
    /// Reports a change as refused when the response to its swap is lost.
    RefusesLostResponse,
    /// Reports a change as stored once its body is written.
    TrustsBody,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Response {
    Body,
    Swap(SwapResponse),
    Head(HeadRead),
    Predecessor(WriteId, Predecessor),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Message {
    Request(Action),
    Response(Response),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ModelState {
    now: u8,
    /// Writes of all revisions in order. Their number is the revision and the
    /// version of the head.
    history: Vec<WriteId>,
    /// Oldest revision whose body has not been deleted.
    oldest_body: usize,
    change: ChangeWriter,
    /// Whether the next call of the change was sent and awaits its response.
    call_in_flight: bool,
    reported_outcome: Option<Outcome>,
    messages: Vec<Message>,
}

fn instant_at(tick: u8) -> Instant {
    static ZERO: OnceLock<Instant> = OnceLock::new();
    *ZERO.get_or_init(Instant::now) + Duration::from_secs(tick.into())
}

fn initial_state() -> ModelState {
    let base = WriteId::new("base");
    let head = Head {
        revision: 1,
        write_id: base.clone(),
    };
    let base_head = Base {
        version: 1,
        head: Some(head),
    };
    ModelState {
        now: 0,
        history: vec![base],
        oldest_body: 1,
        change: ChangeWriter::new(WriteId::new("ours"), base_head, instant_at(DEADLINE)),
        call_in_flight: false,
        reported_outcome: None,
        messages: Vec::new(),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Tick,
    Call,
    TimeOut,
    Overtake,
    RemoveBody,
    Lose(Message),
    Deliver(Message),
    DeliverDuplicate(Message),
}

fn successors(driver: Driver, state: &ModelState) -> Vec<(Step, ModelState)> {
    let mut steps = vec![Step::Call, Step::TimeOut, Step::RemoveBody];
    if state.now < DEADLINE + 1 {
        steps.push(Step::Tick);
    }
    if state.history.len() < 4 {
        steps.push(Step::Overtake);
    }
    for message in &state.messages {
        steps.push(Step::Lose(message.clone()));
        steps.push(Step::Deliver(message.clone()));
        steps.push(Step::DeliverDuplicate(message.clone()));
    }
    let transitions = steps.into_iter().map(|step| {
        let next = apply(driver, state, &step);
        (step, next)
    });
    transitions.filter(|(_, next)| next != state).collect()
}

fn apply(driver: Driver, state: &ModelState, step: &Step) -> ModelState {
    let mut next = state.clone();
    match step {
        Step::Tick => next.now += 1,
        Step::Call => next.call(),
        Step::TimeOut => next.time_out(driver),
        Step::Overtake => {
            let name = format!("other{}", next.history.len());
            next.history.push(WriteId::new(&name));
        }
        Step::RemoveBody => next.oldest_body = 4,
        Step::Lose(message) => next.messages.retain(|queued| queued != message),
        Step::Deliver(message) => {
            next.messages.retain(|queued| queued != message);
            next.deliver(driver, message);
        }
        Step::DeliverDuplicate(message) => next.deliver(driver, message),
    }
    if let Action::Done(outcome) = next.change.next_action() {
        next.reported_outcome.get_or_insert(outcome);
    }
    next
}

impl ModelState {
    fn enqueue(&mut self, message: Message) {
        if self.messages.len() < 2 && !self.messages.contains(&message) {
            self.messages.push(message);
        }
    }

    fn call(&mut self) {
        let action = self.change.next_action();
        if !self.call_in_flight && !matches!(action, Action::Done(_)) {
            self.call_in_flight = true;
            self.enqueue(Message::Request(action));
        }
    }

    fn time_out(&mut self, driver: Driver) {
        if !self.call_in_flight {
            return;
        }
        let is_swap = matches!(self.change.next_action(), Action::SwapHead { .. });
        if driver == Driver::RefusesLostResponse && is_swap {
            self.reported_outcome.get_or_insert(Outcome::Overtaken);
        }
        self.call_in_flight = false;
        self.change.on_no_response(instant_at(self.now));
    }

    fn deliver(&mut self, driver: Driver, message: &Message) {
        match message {
            Message::Request(action) => {
                let response = self.process_request(action);
                self.enqueue(Message::Response(response));
            }
            Message::Response(response) => self.process_response(driver, response),
        }
    }

    fn process_request(&mut self, action: &Action) -> Response {
        let version = self.history.len() as u64;
        match action {
            Action::WriteBody => Response::Body,
            Action::SwapHead {
                expected_version,
                head,
            } if *expected_version == version => {
                self.history.push(head.write_id.clone());
                Response::Swap(SwapResponse::Swapped)
            }
            Action::SwapHead { .. } => Response::Swap(SwapResponse::Mismatch),
            Action::ReadBody { write_id } => {
                Response::Predecessor(write_id.clone(), self.predecessor(write_id))
            }
            Action::ReadHead | Action::Done(_) => Response::Head(HeadRead {
                version,
                head: self.history.last().map(|write_id| Head {
                    revision: version,
                    write_id: write_id.clone(),
                }),
            }),
        }
    }

    fn predecessor(&self, write_id: &WriteId) -> Predecessor {
        let position = self.history.iter().position(|known| known == write_id);
        match position {
            Some(position) if position > 0 && position + 1 >= self.oldest_body => {
                Predecessor::Write(self.history[position - 1].clone())
            }
            _ => Predecessor::BodyMissing,
        }
    }

    fn process_response(&mut self, driver: Driver, response: &Response) {
        let before = self.change.clone();
        let now = instant_at(self.now);
        match response {
            Response::Body => self.change.on_body(BodyResponse::Written, now),
            Response::Swap(response) => self.change.on_swap(*response, now),
            Response::Head(read) => self.change.on_head(read, now),
            Response::Predecessor(of, predecessor) => {
                self.change.on_predecessor(of, predecessor.clone(), now);
            }
        }
        if driver == Driver::TrustsBody && *response == Response::Body {
            let revision = before.head().revision;
            self.reported_outcome
                .get_or_insert(Outcome::Stored { revision });
        }
        self.call_in_flight &= before == self.change;
    }
}

const FALSELY_STORED: &str = "a change that is not stored was reported as stored";
const FALSELY_REFUSED: &str = "a change that is stored was reported as refused";

fn violation(state: &ModelState) -> Option<&'static str> {
    let ours = state.change.head();
    let revision = state
        .history
        .iter()
        .position(|known| *known == ours.write_id);
    let revision = revision.map(|position| position as u64 + 1);
    match (&state.reported_outcome, revision) {
        (Some(Outcome::Stored { revision: reported }), stored) if stored != Some(*reported) => {
            Some(FALSELY_STORED)
        }
        (Some(Outcome::Overtaken | Outcome::NotSent), Some(_)) => Some(FALSELY_REFUSED),
        _ => None,
    }
}

fn check_model(name: &str, driver: Driver, min_states: usize, expected: Option<&str>) {
    let result = search::search(
        initial_state(),
        |state| successors(driver, state),
        violation,
    );
    search::assert_result(name, &result, min_states, expected);
}

/// Guards against a wrong report on a change whose store response was lost, even
/// when the write takes effect after the report.
#[test]
fn lost_answers_are_recognised() {
    check_model("lost responses", Driver::Correct, 5_000, None);
}

/// Guards against a change that always ends as unknown, whatever the store
/// responds.
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
        let result = search::search(
            initial_state(),
            |state| successors(Driver::Correct, state),
            |state| (state.reported_outcome.as_ref() == Some(&outcome)).then_some("reached"),
        );
        search::assert_result("outcome", &result, 3, Some("reached"));
    }
}

/// Guards against a model that does not detect bugs of the driver.
#[test]
fn broken_recognition_is_caught() {
    let lost = Driver::RefusesLostResponse;
    check_model("refuses lost response", lost, 10, Some(FALSELY_REFUSED));
    check_model("trusts body", Driver::TrustsBody, 3, Some(FALSELY_STORED));
}
