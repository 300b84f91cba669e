//! Effects of the steps on a state of the model.

use std::time::Duration;

use dotterelsill_revision::{
    Incarnation,
    Member,
    MemberState,
    RelayedState, //
};

use crate::world::{
    at,
    head,
    register,
    registration,
    ticks,
    Answer,
    Call,
    Config,
    Driver,
    Message,
    Subject,
    World,
    LEASE,
    START, //
};

impl World {
    pub(crate) fn revision(&self) -> u64 {
        1 + u64::from(self.stored.is_some())
    }

    /// Returns whether the new revision is in force for good.
    pub(crate) fn is_settled(&self) -> bool {
        let instance = self.subject.instance.as_ref();
        let in_force = instance.and_then(|one| one.tracker().in_force());
        self.reported && self.restarts == 0 && in_force == Some(&head(2))
    }

    pub(crate) fn lease(&mut self, incarnation: u8) -> Option<&mut u8> {
        let now = self.now;
        let mut members = self.members.iter_mut();
        let lease = members.find(|(member, end)| *member == incarnation && *end > now);
        lease.map(|(_, end)| end)
    }

    /// Sends a call. Reads take effect at once: a request that is late brings
    /// newer answers for the same instant of sending, which is never worse.
    pub(crate) fn send(&mut self, config: Config, call: Call) {
        let mut message = Message {
            incarnation: self.subject.incarnation,
            sent: self.now,
            call,
            answer: None,
        };
        if let Some(first) = &mut self.subject.registering {
            first.get_or_insert(self.now);
        }
        if matches!(call, Call::Read | Call::Ask(..)) {
            message.answer = Some(self.serve(config, &message));
        }
        self.put(message);
    }

    /// Puts a message on its way, unless its addressee is gone.
    pub(crate) fn put(&mut self, message: Message) {
        let is_gone = message.incarnation != self.subject.incarnation;
        let is_lost = is_gone && message.answer.is_some();
        if !is_lost && !self.messages.contains(&message) {
            self.messages.push(message);
            self.messages.sort();
        }
    }

    /// Lets a request take effect at the store or the peer.
    pub(crate) fn serve(&mut self, config: Config, message: &Message) -> Answer {
        match message.call {
            Call::Read => Answer::Head(self.revision()),
            Call::Renew => {
                let end = self.now + LEASE;
                let lease = self.lease(message.incarnation);
                Answer::Renewed(lease.map(|lease| *lease = end).is_some())
            }
            Call::Ask(read, revision) => self.ask(config, read, revision),
            Call::Register => {
                let end = self.now + LEASE;
                let known = |(member, _): &(u8, u8)| *member == message.incarnation;
                if !self.members.iter().any(known) {
                    self.members.push((message.incarnation, end));
                }
                Answer::Registered
            }
        }
    }

    /// Returns the answer of a peer that read the store at an earlier tick.
    pub(crate) fn ask(&self, config: Config, read: u8, revision: u64) -> Answer {
        let mut peer = register(config, 0, 0, 0);
        peer.on_store_read(at(read), Some(&head(revision)));
        let answer = peer.relay(at(self.now));
        let age = answer.proof_age.expect("the peer has a proof");
        Answer::Peer {
            known: revision,
            proof_age: age.as_secs() as u8,
        }
    }

    /// Returns the asks for all reads that the peer may have made.
    pub(crate) fn asks(&self) -> Vec<Call> {
        let stored = self.stored.unwrap_or(self.now);
        let old = (START..=stored).map(|read| Call::Ask(read, 1));
        let new = (stored..=self.now).map(|read| Call::Ask(read, 2));
        let new = new.filter(|_| self.stored.is_some());
        old.chain(new).collect()
    }

    pub(crate) fn receive(&mut self, config: Config, message: &Message, answer: &Answer) {
        let now = self.now;
        let node = &mut self.subject;
        if node.incarnation != message.incarnation {
            return;
        }
        if *answer == Answer::Registered {
            finish_registration(config, node, now);
            return;
        }
        let Some(instance) = node
            .instance
            .as_mut()
            .filter(|_| node.registering.is_none())
        else {
            return;
        };
        let from_arrival = config.driver == Driver::FreshnessFromArrival;
        let sent_at = at(if from_arrival { now } else { message.sent });
        match answer {
            Answer::Head(revision) => {
                instance.on_store_read(sent_at, Some(&head(*revision)));
            }
            Answer::Renewed(alive) => {
                let authority = instance.authority_mut();
                authority.on_renewal(at(message.sent), *alive, at(now));
            }
            Answer::Peer { known, proof_age } => {
                let ignores = config.driver == Driver::RelayIgnoresAge;
                let age = ticks(if ignores { 0 } else { *proof_age });
                instance.on_relay(sent_at, &relay_answer(*known, age));
            }
            Answer::Registered => {}
        }
        // The counter has no influence and would only multiply the states.
        instance.take_stale_reads();
    }

    pub(crate) fn list_members(&mut self, config: Config) {
        let ignores = config.driver == Driver::AcceptanceIgnoresIsolation;
        let isolation_limit = ticks(if ignores { 0 } else { config.isolation });
        let members = self.members.iter().map(|(incarnation, _)| Member {
            incarnation: Incarnation((*incarnation).into()),
            instance: "entry".into(),
            isolation_limit,
            state: MemberState::Live,
        });
        let listed: Vec<_> = members.collect();
        let now = at(self.now);
        if let Some(acceptance) = &mut self.acceptance {
            acceptance.on_members(now, &listed).expect("in order");
        }
    }

    pub(crate) fn list_leases(&mut self) {
        let now = self.now;
        let alive = self.members.iter().filter(|(_, end)| *end > now);
        let alive: Vec<_> = alive
            .map(|(member, _)| Incarnation((*member).into()))
            .collect();
        if let Some(acceptance) = &mut self.acceptance {
            acceptance
                .on_leases(at(now), at(now), &alive)
                .expect("in order");
        }
    }

    pub(crate) fn confirm(&mut self) {
        let now = at(self.now);
        let answer = self.subject.instance.as_ref().map(|one| one.relay(now));
        if let Some((acceptance, answer)) = self.acceptance.as_mut().zip(answer) {
            acceptance.on_member_response(answer.incarnation, answer.in_force);
        }
    }

    pub(crate) fn load_body(&mut self) {
        if let Some(instance) = &mut self.subject.instance {
            if let Some(head) = instance.tracker().head_to_load().cloned() {
                instance.on_body(&head);
            }
        }
    }

    /// Ends an incarnation: by a crash, or in order, which keeps the revisions.
    pub(crate) fn restart(&mut self, crash: bool) {
        self.restarts -= 1;
        let incarnation = self.subject.incarnation;
        if crash {
            self.subject.instance = None;
        } else {
            if let Some(instance) = &mut self.subject.instance {
                instance.authority_mut().resign();
            }
            self.members.retain(|(member, _)| *member != incarnation);
        }
        self.subject.incarnation += 1;
        self.messages.retain(|message| message.answer.is_none());
        self.subject.registering = Some(None);
    }

    pub(crate) fn tick(&mut self) {
        self.now += 1;
        for (_, end) in &mut self.members {
            if *end <= self.now {
                *end = 0;
            }
        }
    }
}

pub(crate) fn relay_answer(known: u64, age: Duration) -> RelayedState {
    RelayedState {
        head: Some(head(known)),
        in_force: None,
        incarnation: Incarnation(0),
        proof_age: Some(age),
    }
}

pub(crate) fn finish_registration(config: Config, node: &mut Subject, now: u8) {
    let Some(Some(sent)) = node.registering.take() else {
        return;
    };
    let incarnation = Incarnation(node.incarnation.into());
    match &mut node.instance {
        Some(instance) => {
            let registration = registration(config, sent, now);
            instance
                .register_again(incarnation, registration)
                .expect("in order");
        }
        None => node.instance = Some(register(config, node.incarnation, sent, now)),
    }
}
