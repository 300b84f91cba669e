//! Effects of the steps on the state of the model.

use std::time::Duration;

use dotterelsill_revision::{
    Incarnation,
    Member,
    MemberState,
    RelayedState, //
};

use crate::state::{
    head,
    instant_at,
    register,
    registration,
    ticks,
    Call,
    Config,
    Driver,
    Message,
    ModelState,
    Response,
    Subject,
    LEASE,
    START, //
};

impl ModelState {
    /// Returns the newest revision in the store.
    pub(crate) fn revision(&self) -> u64 {
        1 + u64::from(self.stored.is_some())
    }

    /// Returns whether the change is in force for good: it was reported as in
    /// force, the subject has it in force and no restart is left.
    pub(crate) fn is_settled(&self) -> bool {
        let instance = self.subject.instance.as_ref();
        let in_force = instance.and_then(|instance| instance.tracker().in_force());
        self.reported_in_force && self.restarts == 0 && in_force == Some(&head(2))
    }

    /// Returns the end of the incarnation's lease unless the lease has expired.
    pub(crate) fn lease(&mut self, incarnation: u8) -> Option<&mut u8> {
        let now = self.now;
        let mut members = self.members.iter_mut();
        let lease = members.find(|(member, end)| *member == incarnation && *end > now);
        lease.map(|(_, end)| end)
    }

    /// Sends a call.
    ///
    /// Reads take effect immediately. A delayed request would return a newer
    /// response for the same instant of sending, which is never worse.
    pub(crate) fn send(&mut self, config: Config, call: Call) {
        let mut message = Message {
            incarnation: self.subject.incarnation,
            sent: self.now,
            call,
            response: None,
        };
        if let Some(first) = &mut self.subject.registering {
            first.get_or_insert(self.now);
        }
        if matches!(call, Call::Read | Call::QueryPeer(..)) {
            message.response = Some(self.process_request(config, &message));
        }
        self.enqueue(message);
    }

    /// Adds a message to those in flight, unless it is a response to a previous
    /// incarnation.
    pub(crate) fn enqueue(&mut self, message: Message) {
        let is_previous = message.incarnation != self.subject.incarnation;
        let is_undeliverable = is_previous && message.response.is_some();
        if !is_undeliverable && !self.messages.contains(&message) {
            self.messages.push(message);
            self.messages.sort();
        }
    }

    /// Applies a request at the store or the peer and returns the response.
    pub(crate) fn process_request(&mut self, config: Config, message: &Message) -> Response {
        match message.call {
            Call::Read => Response::Head(self.revision()),
            Call::Renew => {
                let end = self.now + LEASE;
                let lease = self.lease(message.incarnation);
                Response::Renewed(lease.map(|lease| *lease = end).is_some())
            }
            Call::QueryPeer(read_at, revision) => self.query_peer(config, read_at, revision),
            Call::Register => {
                let end = self.now + LEASE;
                let known = |(member, _): &(u8, u8)| *member == message.incarnation;
                if !self.members.iter().any(known) {
                    self.members.push((message.incarnation, end));
                }
                Response::Registered
            }
        }
    }

    /// Returns the response of a peer that last read the store at tick `read_at`.
    pub(crate) fn query_peer(&self, config: Config, read_at: u8, revision: u64) -> Response {
        let mut peer = register(config, 0, 0, 0);
        peer.on_store_read(instant_at(read_at), Some(&head(revision)));
        let response = peer.relay(instant_at(self.now));
        let age = response.proof_age.expect("the peer has a proof");
        Response::Peer {
            known: revision,
            proof_age: age.as_secs() as u8,
        }
    }

    /// Returns a query to the peer for each last read that the peer may have made.
    pub(crate) fn peer_queries(&self) -> Vec<Call> {
        let stored = self.stored.unwrap_or(self.now);
        let old = (START..=stored).map(|read_at| Call::QueryPeer(read_at, 1));
        let new = (stored..=self.now).map(|read_at| Call::QueryPeer(read_at, 2));
        let new = new.filter(|_| self.stored.is_some());
        old.chain(new).collect()
    }

    pub(crate) fn process_response(
        &mut self,
        config: Config,
        message: &Message,
        response: &Response,
    ) {
        let now = self.now;
        let subject = &mut self.subject;
        if subject.incarnation != message.incarnation {
            return;
        }
        if *response == Response::Registered {
            finish_registration(config, subject, now);
            return;
        }
        let Some(instance) = subject
            .instance
            .as_mut()
            .filter(|_| subject.registering.is_none())
        else {
            return;
        };
        let from_arrival = config.driver == Driver::FreshnessFromArrival;
        let sent_at = instant_at(if from_arrival { now } else { message.sent });
        match response {
            Response::Head(revision) => {
                instance.on_store_read(sent_at, Some(&head(*revision)));
            }
            Response::Renewed(alive) => {
                let authority = instance.authority_mut();
                authority.on_renewal(instant_at(message.sent), *alive, instant_at(now));
            }
            Response::Peer { known, proof_age } => {
                let ignores_age = config.driver == Driver::RelayIgnoresAge;
                let age = ticks(if ignores_age { 0 } else { *proof_age });
                instance.on_relay(sent_at, &relayed_state(*known, age));
            }
            Response::Registered => {}
        }
        // The counter does not affect decisions and would only add states to the
        // search.
        instance.take_stale_reads();
    }

    pub(crate) fn list_members(&mut self, config: Config) {
        let ignores_isolation = config.driver == Driver::ConfirmationIgnoresIsolation;
        let isolation_limit = ticks(if ignores_isolation {
            0
        } else {
            config.isolation
        });
        let members = self.members.iter().map(|(incarnation, _)| Member {
            incarnation: Incarnation((*incarnation).into()),
            instance: "entry".into(),
            isolation_limit,
            state: MemberState::Live,
        });
        let listed: Vec<_> = members.collect();
        let now = instant_at(self.now);
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.on_members(now, &listed).expect("in order");
        }
    }

    pub(crate) fn list_leases(&mut self) {
        let now = self.now;
        let alive = self.members.iter().filter(|(_, end)| *end > now);
        let alive: Vec<_> = alive
            .map(|(member, _)| Incarnation((*member).into()))
            .collect();
        if let Some(confirmation) = &mut self.confirmation {
            confirmation
                .on_leases(instant_at(now), instant_at(now), &alive)
                .expect("in order");
        }
    }

    pub(crate) fn confirm(&mut self) {
        let now = instant_at(self.now);
        let response = self
            .subject
            .instance
            .as_ref()
            .map(|instance| instance.relay(now));
        if let Some((confirmation, response)) = self.confirmation.as_mut().zip(response) {
            confirmation.on_member_response(response.incarnation, response.in_force);
        }
    }

    pub(crate) fn load_body(&mut self) {
        if let Some(instance) = &mut self.subject.instance {
            if let Some(head) = instance.tracker().head_to_load().cloned() {
                instance.on_body(&head);
            }
        }
    }

    /// Ends the incarnation by a crash, or by a regular registration under a new
    /// one, which keeps the known revisions.
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
        self.messages.retain(|message| message.response.is_none());
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

pub(crate) fn relayed_state(known: u64, age: Duration) -> RelayedState {
    RelayedState {
        head: Some(head(known)),
        in_force: None,
        incarnation: Incarnation(0),
        proof_age: Some(age),
    }
}

pub(crate) fn finish_registration(config: Config, subject: &mut Subject, now: u8) {
    let Some(Some(sent)) = subject.registering.take() else {
        return;
    };
    let incarnation = Incarnation(subject.incarnation.into());
    match &mut subject.instance {
        Some(instance) => {
            let registration = registration(config, sent, now);
            instance
                .register_again(incarnation, registration)
                .expect("in order");
        }
        None => subject.instance = Some(register(config, subject.incarnation, sent, now)),
    }
}
