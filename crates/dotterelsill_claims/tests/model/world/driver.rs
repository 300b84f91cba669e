//! Driver of the log, the runs and the attempts of each instance.

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
    index,
    origin,
    ticket,
    Driver,
    Message,
    Node,
    Path,
    World,
    REPEATED, //
};

impl World {
    /// Tells the sender that it waited too long; the message stays in flight.
    pub(super) fn time_out(&mut self, message: &Message) -> bool {
        let (to, event) = match message {
            Message::Claim { ticket, .. } => (origin(*ticket), Event::OwnerUnreachable),
            Message::Reply { to, .. } => (*to, Event::OwnerUnreachable),
            Message::Forward { origin, .. } => (*origin, Event::ClaimantUnreachable),
            Message::Outcome { to, .. } => (*to, Event::ClaimantUnreachable),
            _ => return false,
        };
        self.on_event(to, event)
    }

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
            Message::Forward {
                key,
                claimant,
                origin,
            } => {
                let (mut origin, now) = (*origin, self.now);
                if self.driver == Driver::NewOriginOnRepeat && self.budget.doubled == 0 {
                    origin.number += REPEATED;
                }
                let node = index(*claimant);
                let runs = &mut self.nodes[node].runs;
                let (attempt, step) = Attempt::from_peer(*key, *claimant, origin, runs, now);
                self.begin(node, attempt, true, step);
            }
            Message::Outcome { to, outcome } => {
                self.on_event(*to, Event::ClaimantReply(Some(outcome.clone())));
            }
            _ => {}
        }
    }

    pub(super) fn arrive(&mut self, node: usize, key: Key) {
        let origin = AttemptId {
            incarnation: self.nodes[node].incarnation,
            number: self.nodes[node].next_path,
        };
        let (attempt, step) = Attempt::from_caller(key, origin, &self.nodes[node].runs);
        self.begin(node, attempt, false, step);
    }

    fn begin(&mut self, node: usize, attempt: Attempt, forwarded: bool, step: Step<u8>) {
        let path = self.nodes[node].next_path;
        self.nodes[node].next_path += 1;
        self.nodes[node]
            .paths
            .insert(path, Path { attempt, forwarded });
        self.step(node, path, step);
    }

    /// Gives an event to the path of an attempt, if it still exists.
    fn on_event(&mut self, to: AttemptId, event: Event<u8>) -> bool {
        let node = index(to.incarnation);
        if self.nodes[node].incarnation != to.incarnation {
            return false;
        }
        self.path_event(node, to.number, event)
    }

    fn path_event(&mut self, node: usize, path: u64, event: Event<u8>) -> bool {
        let now = self.now;
        let Node { paths, runs, .. } = &mut self.nodes[node];
        let Some(found) = paths.get_mut(&path) else {
            return false;
        };
        let Some(step) = found.attempt.on_event(event, runs, now) else {
            return false;
        };
        self.step(node, path, step);
        true
    }

    fn step(&mut self, node: usize, path: u64, step: Step<u8>) {
        let attempt = &self.nodes[node].paths[&path].attempt;
        let (key, origin) = (attempt.key(), attempt.id());
        let incarnation = self.nodes[node].incarnation;
        match step {
            Step::RequestClaim => {
                let claimant = self.nodes[node].runs.incarnation();
                self.messages.push(Message::Claim {
                    claim: Claim { key, claimant },
                    ticket: ticket(origin),
                });
            }
            Step::CheckAuthority => {
                let may_start = !self.nodes[node].lapsed;
                self.path_event(node, path, Event::AuthorityChecked(may_start));
            }
            Step::Dispatch => {
                self.check_dispatch(key, origin);
                self.dispatched.push((key, incarnation, origin));
                self.messages.push(Message::Run {
                    on: incarnation,
                    path,
                });
            }
            Step::WaitForRun => {}
            Step::ForwardToClaimant(claimant) | Step::PollClaimant(claimant) => {
                self.messages.push(Message::Forward {
                    key,
                    claimant,
                    origin,
                });
            }
            Step::Finish(outcome) => self.finish(node, path, outcome),
        }
    }

    pub(super) fn on_ran(&mut self, on: Incarnation, path: u64, end: RunEnd<u8>) {
        let node = index(on);
        if self.nodes[node].incarnation != on {
            return;
        }
        let attempt = &self.nodes[node].paths[&path].attempt;
        let (key, origin) = (attempt.key(), attempt.id());
        if end == RunEnd::NotSent {
            self.dispatched.retain(|run| *run != (key, on, origin));
        }
        if end == RunEnd::NoAnswer && self.driver == Driver::NotRunAfterDispatch {
            let outcome = Outcome::NotRun(NotRunReason::NotSent);
            return self.finish(node, path, outcome);
        }
        self.path_event(node, path, Event::RunEnded(end));
        let paths: Vec<u64> = self.nodes[node].paths.keys().copied().collect();
        for path in paths {
            if self.nodes[node]
                .paths
                .get(&path)
                .is_some_and(|p| p.attempt.key() == key)
            {
                self.path_event(node, path, Event::AwaitedRunEnded);
            }
        }
    }

    fn finish(&mut self, node: usize, path: u64, outcome: Outcome<u8>) {
        let Some(ended) = self.nodes[node].paths.remove(&path) else {
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

    pub(super) fn on_answer(&mut self, to: Incarnation, call: u64, answer: StoreAnswer) {
        let (index, now) = (index(to), self.clock());
        let node = &mut self.nodes[index];
        if node.incarnation != to {
            return;
        }
        let hour = Duration::from_secs(3600);
        let ends_at = if node.lapsed { now } else { now + hour };
        let actions = node.log.on_answer(call, answer, ends_at, now);
        self.log_actions(index, actions);
    }

    fn log_actions(&mut self, node: usize, actions: Vec<Action>) {
        let of = self.nodes[node].incarnation;
        for action in actions {
            if let Action::Reply { ticket, reply } = action {
                self.nodes[node]
                    .waiting
                    .retain(|waiting| waiting.1 != ticket);
                let to = origin(ticket);
                self.messages.push(Message::Reply { to, reply });
                continue;
            }
            if self.driver == Driver::GrantsBeforeAppend {
                self.grant_early(node, &action);
            }
            let waited = true;
            self.messages.push(Message::Call { of, action, waited });
        }
    }

    fn grant_early(&mut self, node: usize, action: &Action) {
        let Action::Create {
            entry: Entry::Batch { claims, .. },
            ..
        } = action
        else {
            return;
        };
        for (claim, ticket) in self.nodes[node].waiting.clone() {
            if claims.contains(&claim) {
                let (to, reply) = (origin(ticket), ClaimReply::Granted);
                self.messages.push(Message::Reply { to, reply });
            }
        }
    }
}
