//! Driver of the claim log, the runs and the attempts of each instance.

use std::time::Duration;

use dotterelsill_claims::{
    Action,
    Attempt,
    AttemptId,
    Claim,
    ClaimReply,
    Entry,
    Event,
    Incarnation,
    Key,
    NotRunReason,
    Outcome,
    RunEnd,
    Step,
    StoreAnswer, //
};

use super::{
    attempt_id,
    instance_index,
    ticket,
    ActiveAttempt,
    Driver,
    Message,
    Node,
    World,
    REPEATED_OFFSET, //
};

impl World {
    /// Reports a timeout to the attempt that waits for a message, which stays
    /// in flight. Returns whether the attempt still waited.
    pub(super) fn time_out(&mut self, message: &Message) -> bool {
        let (to, event) = match message {
            Message::Claim { ticket, .. } => (attempt_id(*ticket), Event::OwnerUnreachable),
            Message::Reply { to, .. } => (*to, Event::OwnerUnreachable),
            Message::Forward { id, .. } => (*id, Event::ClaimantUnreachable),
            Message::Outcome { to, .. } => (*to, Event::ClaimantUnreachable),
            _ => return false,
        };
        self.on_event(to, event)
    }

    /// Delivers a message to the instance `target`.
    pub(super) fn deliver(&mut self, message: &Message, target: usize) {
        match message {
            Message::Claim { claim, ticket } => {
                let now = self.clock();
                let node = &mut self.nodes[target];
                node.waiting.push((*claim, *ticket));
                let actions = node.log.on_claim(*claim, *ticket, now);
                self.log_actions(target, actions);
            }
            Message::Reply { to, reply } => {
                self.on_event(*to, Event::ClaimReply(*reply));
            }
            Message::Forward { key, claimant, id } => {
                let (mut id, now) = (*id, self.now);
                if self.driver == Driver::NewIdOnRepeat && self.budget.duplicated_messages == 0 {
                    id.number += REPEATED_OFFSET;
                }
                let node = instance_index(*claimant);
                let runs = &mut self.nodes[node].runs;
                let (attempt, step) = Attempt::from_peer(*key, *claimant, id, runs, now);
                self.begin(node, attempt, true, step);
            }
            Message::Outcome { to, outcome } => {
                self.on_event(*to, Event::ClaimantReply(Some(outcome.clone())));
            }
            _ => {}
        }
    }

    /// Starts an attempt of a caller on an instance.
    pub(super) fn arrive(&mut self, node: usize, key: Key) {
        let id = AttemptId {
            incarnation: self.nodes[node].incarnation,
            number: self.nodes[node].next_number,
        };
        let (attempt, step) = Attempt::from_caller(key, id, &self.nodes[node].runs);
        self.begin(node, attempt, false, step);
    }

    fn begin(&mut self, node: usize, attempt: Attempt, forwarded: bool, step: Step<u8>) {
        let number = self.nodes[node].next_number;
        self.nodes[node].next_number += 1;
        self.nodes[node]
            .attempts
            .insert(number, ActiveAttempt { attempt, forwarded });
        self.step(node, number, step);
    }

    /// Passes an event to an attempt, if it is still in progress. Returns
    /// whether the event matched its state.
    fn on_event(&mut self, to: AttemptId, event: Event<u8>) -> bool {
        let node = instance_index(to.incarnation);
        if self.nodes[node].incarnation != to.incarnation {
            return false;
        }
        self.attempt_event(node, to.number, event)
    }

    /// Passes an event to the attempt with a number on an instance.
    fn attempt_event(&mut self, node: usize, number: u64, event: Event<u8>) -> bool {
        let now = self.now;
        let Node { attempts, runs, .. } = &mut self.nodes[node];
        let Some(found) = attempts.get_mut(&number) else {
            return false;
        };
        let Some(step) = found.attempt.on_event(event, runs, now) else {
            return false;
        };
        self.step(node, number, step);
        true
    }

    /// Performs the next step of an attempt.
    fn step(&mut self, node: usize, number: u64, step: Step<u8>) {
        let attempt = &self.nodes[node].attempts[&number].attempt;
        let (key, id) = (attempt.key(), attempt.id());
        let incarnation = self.nodes[node].incarnation;
        match step {
            Step::RequestClaim => {
                let claimant = self.nodes[node].runs.incarnation();
                self.messages.push(Message::Claim {
                    claim: Claim { key, claimant },
                    ticket: ticket(id),
                });
            }
            Step::CheckAuthority => {
                let may_start = !self.nodes[node].authority_lapsed;
                self.attempt_event(node, number, Event::AuthorityChecked(may_start));
            }
            Step::Dispatch => {
                self.check_dispatch(key, id);
                self.dispatched.push((key, incarnation, id));
                self.messages.push(Message::Run {
                    on: incarnation,
                    number,
                });
            }
            Step::WaitForRun => {}
            Step::ForwardToClaimant(claimant) | Step::PollClaimant(claimant) => {
                self.messages.push(Message::Forward { key, claimant, id });
            }
            Step::Finish(outcome) => self.finish(node, number, outcome),
        }
    }

    /// Reports the end of a run to the attempt that dispatched it and to the
    /// attempts that wait for it.
    pub(super) fn on_run_ended(&mut self, on: Incarnation, number: u64, end: RunEnd<u8>) {
        let node = instance_index(on);
        if self.nodes[node].incarnation != on {
            return;
        }
        let attempt = &self.nodes[node].attempts[&number].attempt;
        let (key, id) = (attempt.key(), attempt.id());
        if end == RunEnd::NotSent {
            self.dispatched.retain(|run| *run != (key, on, id));
        }
        if end == RunEnd::NoAnswer && self.driver == Driver::NotRunAfterDispatch {
            let outcome = Outcome::NotRun(NotRunReason::NotSent);
            return self.finish(node, number, outcome);
        }
        self.attempt_event(node, number, Event::RunEnded(end));
        let numbers: Vec<u64> = self.nodes[node].attempts.keys().copied().collect();
        for number in numbers {
            if self.nodes[node]
                .attempts
                .get(&number)
                .is_some_and(|active| active.attempt.key() == key)
            {
                self.attempt_event(node, number, Event::AwaitedRunEnded);
            }
        }
    }

    /// Ends an attempt: replies to the peer, or records what the caller is
    /// told.
    fn finish(&mut self, node: usize, number: u64, outcome: Outcome<u8>) {
        let Some(ended) = self.nodes[node].attempts.remove(&number) else {
            return;
        };
        let (key, to) = (ended.attempt.key(), ended.attempt.id());
        self.check_outcome(self.nodes[node].incarnation, key, to, &outcome);
        if ended.forwarded {
            self.messages.push(Message::Outcome { to, outcome });
        } else if let Outcome::NotRun(_) = outcome {
            self.not_run.push(to);
        }
    }

    /// Passes the answer to a store call to the log that waits for it.
    pub(super) fn on_answer(&mut self, to: Incarnation, call: u64, answer: StoreAnswer) {
        let (index, now) = (instance_index(to), self.clock());
        let node = &mut self.nodes[index];
        if node.incarnation != to {
            return;
        }
        let hour = Duration::from_secs(3600);
        let ends_at = if node.authority_lapsed {
            now
        } else {
            now + hour
        };
        let actions = node.log.on_answer(call, answer, ends_at, now);
        self.log_actions(index, actions);
    }

    /// Performs the actions of an instance's log.
    fn log_actions(&mut self, node: usize, actions: Vec<Action>) {
        let of = self.nodes[node].incarnation;
        for action in actions {
            if let Action::Reply { ticket, reply } = action {
                self.nodes[node]
                    .waiting
                    .retain(|waiting| waiting.1 != ticket);
                let to = attempt_id(ticket);
                self.messages.push(Message::Reply { to, reply });
                continue;
            }
            if self.driver == Driver::GrantsBeforeAppend {
                self.grant_before_append(node, &action);
            }
            let is_awaited = true;
            self.messages.push(Message::Call {
                of,
                action,
                is_awaited,
            });
        }
    }

    /// Replies that the claims of an append are granted before it takes effect.
    fn grant_before_append(&mut self, node: usize, action: &Action) {
        let Action::Create {
            entry: Entry::Batch { claims, .. },
            ..
        } = action
        else {
            return;
        };
        for (claim, ticket) in self.nodes[node].waiting.clone() {
            if claims.contains(&claim) {
                let (to, reply) = (attempt_id(ticket), ClaimReply::Granted);
                self.messages.push(Message::Reply { to, reply });
            }
        }
    }
}
