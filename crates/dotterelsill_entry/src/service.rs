//! Admission control of one service: concurrency slots and the queue of waiting
//! requests.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant, //
};

use async_channel::Sender;
use async_io::Timer;
use dotterelsill_admission::{
    FairQueue,
    Gate,
    Pushed,
    Request,
    RunOutcome,
    RunningRequest,
    StartedRequest,
    Team,
    Teams,
    Ticket, //
};
use dotterelsill_routing::RetryBudget;
use futures_lite::FutureExt as _;
use http::StatusCode;

use crate::{
    limits::{
        HeldCredit,
        Limits, //
    },
    outcome::Reason, //
};

/// Maximum number of requests of one team that may wait for one service.
const MAX_WAITING_PER_TEAM: usize = 1000;

/// Permission to run one request: a concurrency slot of the service, and a credit
/// of the team's upper limit unless the queue is open.
pub(crate) struct Permit {
    pub(crate) running: RunningRequest,
    pub(crate) credit: Option<HeldCredit>,
}

/// Channel that delivers the admission decision to a waiting request.
type Waiter = Sender<Result<Permit, Reason>>;

/// Admission state of one service, kept across revisions of the configuration.
pub(crate) struct Service {
    gate: Arc<Gate>,
    queue: Mutex<FairQueue<Waiter>>,
    limits: Arc<Limits>,
    pub(crate) retries: RetryBudget,
}

impl Service {
    /// Creates the state of a service that is new in a revision; it has no slots
    /// until [`Service::set_capacity`] is called.
    pub(crate) fn new(teams: &Teams, limits: &Arc<Limits>, now: Instant) -> Self {
        let gate = Arc::new(Gate::new(0, now));
        let queue = FairQueue::new(&gate, teams, MAX_WAITING_PER_TEAM);
        Self {
            gate,
            queue: Mutex::new(queue),
            limits: limits.clone(),
            retries: RetryBudget::new(now),
        }
    }

    /// Applies the teams of a new revision and refuses the waiting requests of
    /// teams that were removed.
    pub(crate) fn reconfigure(&self, teams: &Teams, now: Instant) {
        for waiter in self.lock().reconfigure(teams, now) {
            refuse(
                &waiter,
                StatusCode::UNAUTHORIZED,
                "the team is no longer configured",
            );
        }
    }

    /// Sets the number of slots and starts waiting requests in free ones.
    pub(crate) fn set_capacity(&self, capacity: u32) {
        self.gate.set_capacity(capacity);
        self.start_waiting();
    }

    /// Refuses the waiting requests that can no longer meet their deadline.
    pub(crate) fn expire(&self, now: Instant) {
        if self.is_idle() {
            return;
        }
        for waiter in self.lock().expire(now) {
            refuse_late(&waiter);
        }
    }

    /// Waits until a request may run, at most until its deadline.
    ///
    /// While slots are free and no request waits, this takes no lock.
    pub(crate) async fn admit(
        &self,
        team: &Arc<Team>,
        urgency: u32,
        deadline: Instant,
    ) -> Result<Permit, Reason> {
        match self.try_start(team, urgency) {
            Some(permit) => Ok(permit),
            None => self.wait(team, urgency, deadline).await,
        }
    }

    fn try_start(&self, team: &Arc<Team>, urgency: u32) -> Option<Permit> {
        let credit = self.limits.take(team.name())?;
        let running = self.gate.try_start(team, urgency, Instant::now())?;
        Some(Permit { running, credit })
    }

    async fn wait(
        &self,
        team: &Arc<Team>,
        urgency: u32,
        deadline: Instant,
    ) -> Result<Permit, Reason> {
        let (waiter, started) = async_channel::bounded(1);
        let request = Request {
            team: team.clone(),
            urgency,
            deadline,
            payload: waiter,
        };
        let Pushed { ticket, evicted } =
            self.lock()
                .push(request, Instant::now())
                .map_err(|(refusal, _)| {
                    Reason::new(StatusCode::TOO_MANY_REQUESTS, refusal.to_string())
                })?;
        if let Some(evicted) = evicted {
            refuse(
                &evicted,
                StatusCode::TOO_MANY_REQUESTS,
                "a later request of the team took its place",
            );
        }
        let _waiting = self.limits.waiting(team.name());
        let _cancel = CancelOnDrop {
            service: self,
            ticket,
        };
        self.start_waiting();
        let received = async { started.recv().await.ok() };
        let late = async {
            Timer::at(deadline).await;
            None
        };
        received
            .or(late)
            .await
            .unwrap_or_else(|| Err(late_reason()))
    }

    /// Records the end of a request, frees its slot and starts waiting requests.
    pub(crate) fn finish(&self, permit: Permit, outcome: RunOutcome) {
        let Permit { running, credit } = permit;
        // The credit is returned before the slot, so that the next request of the
        // team finds it.
        drop(credit);
        if self.gate.finish(running, outcome, Instant::now()) {
            self.start_waiting();
        }
    }

    /// Starts waiting requests while there are free slots and credits.
    pub(crate) fn start_waiting(&self) {
        if self.is_idle() {
            return;
        }
        loop {
            let mut refused = Vec::new();
            let mut taken = None;
            let started = self.lock().pop_next(
                Instant::now(),
                |team| match self.limits.take(team.name()) {
                    Some(credit) => {
                        taken = credit;
                        true
                    }
                    None => false,
                },
                &mut refused,
            );
            refused.iter().for_each(refuse_late);
            match started {
                Some(started) => self.hand_over(started, taken),
                None => return,
            }
        }
    }

    fn hand_over(&self, started: StartedRequest<Waiter>, credit: Option<HeldCredit>) {
        let permit = Permit {
            running: started.running,
            credit,
        };
        if let Err(error) = started.payload.try_send(Ok(permit)) {
            // The caller has disconnected; dropping the permit frees the slot for
            // the next request.
            if let Ok(permit) = error.into_inner() {
                drop(permit);
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, FairQueue<Waiter>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that removes a waiting request from the queue when its caller
/// disconnects.
struct CancelOnDrop<'a> {
    service: &'a Service,
    ticket: Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        // Has no effect if the request was already started or refused.
        self.service.lock().cancel(self.ticket);
    }
}

fn late_reason() -> Reason {
    Reason::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "the request would not be answered before its deadline; send it again later",
    )
}

fn refuse_late(waiter: &Waiter) {
    // Sending fails only if the caller has disconnected.
    let _ = waiter.try_send(Err(late_reason()));
}

fn refuse(waiter: &Waiter, status: StatusCode, reason: &str) {
    // Sending fails only if the caller has disconnected.
    let _ = waiter.try_send(Err(Reason::new(status, reason)));
}
