//! Tasks that append to the claim logs of the buckets that this instance owns.
//!
//! Claims of requests that run at most once are divided into buckets by key; each
//! bucket has its own log in the store and its own task.

use std::{
    collections::HashMap,
    future::Future,
    pin::Pin,
    sync::Arc,
    time::Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_io::Timer;
use dotterelsill_claims::{
    bucket,
    Action,
    Claim,
    ClaimLog,
    ClaimReply,
    Incarnation,
    Limits,
    StoreAnswer,
    BUCKET_COUNT, //
};
use futures_lite::{
    future,
    FutureExt as _, //
};

use crate::{
    claim_store::ClaimStore,
    shared::Shared, //
};

/// Maximum number of claims that wait for the task of a bucket.
const QUEUE_LENGTH: usize = 1024;

/// A claim with the channel for its reply.
pub(crate) type PendingClaim = (Claim, Sender<ClaimReply>);

/// Channels to the tasks of all buckets.
pub(crate) struct Buckets {
    senders: Vec<Sender<PendingClaim>>,
    receivers: Vec<Receiver<PendingClaim>>,
}

impl Default for Buckets {
    fn default() -> Self {
        let channels = (0..BUCKET_COUNT).map(|_| async_channel::bounded(QUEUE_LENGTH));
        let (senders, receivers) = channels.unzip();
        Self { senders, receivers }
    }
}

impl Buckets {
    /// Handles a claim with this instance as the owner of the bucket.
    pub(crate) async fn claim(&self, claim: Claim) -> ClaimReply {
        let (reply_sender, replies) = async_channel::bounded(1);
        let sender = &self.senders[usize::from(bucket(claim.key))];
        if sender.try_send((claim, reply_sender)).is_err() {
            return ClaimReply::Refused;
        }
        replies.recv().await.unwrap_or(ClaimReply::Refused)
    }

    /// Starts the tasks of all buckets; they run until shutdown.
    pub(crate) fn start(&self, shared: &Arc<Shared>) {
        for (number, receiver) in (0..BUCKET_COUNT).zip(&self.receivers) {
            let shared = shared.clone();
            let receiver = receiver.clone();
            let tasks = shared.tasks.clone();
            tasks.spawn_until_stop(async move {
                // A claim that the log of the last incarnation did not take is
                // passed to the log of the next one.
                let mut carried_over = None;
                loop {
                    let bucket = Bucket::new(number, &shared);
                    carried_over = bucket.run(&shared, &receiver, carried_over).await;
                }
            });
        }
    }
}

/// A store call in progress; it returns the store and the call's number and
/// answer.
type Call = Pin<Box<dyn Future<Output = (ClaimStore, Option<(u64, StoreAnswer)>)> + Send>>;

/// The next event of a bucket's task.
enum BucketEvent {
    Claim(Option<PendingClaim>),
    Answer(ClaimStore, Option<(u64, StoreAnswer)>),
    Timer,
}

/// Claim log of one bucket under one incarnation.
struct Bucket {
    incarnation: Incarnation,
    log: ClaimLog,
    /// `None` while a store call is in progress.
    store: Option<ClaimStore>,
    call: Option<Call>,
    /// Channels for the replies to claims, by ticket.
    reply_senders: HashMap<u64, Sender<ClaimReply>>,
    next_ticket: u64,
}

impl Bucket {
    fn new(number: u8, shared: &Shared) -> Self {
        let incarnation =
            current_authority(shared).map_or(Incarnation(0), |(incarnation, _)| incarnation);
        Self {
            incarnation,
            log: ClaimLog::new(incarnation, Limits::default()),
            store: Some(ClaimStore::new(number)),
            call: None,
            reply_senders: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Handles claims until the incarnation ends; returns a claim that the next
    /// incarnation has to handle.
    async fn run(
        mut self,
        shared: &Arc<Shared>,
        receiver: &Receiver<PendingClaim>,
        mut carried_over: Option<PendingClaim>,
    ) -> Option<PendingClaim> {
        loop {
            let event = match carried_over.take() {
                Some(pending) => BucketEvent::Claim(Some(pending)),
                None => self.next_event(receiver).await,
            };
            let authority = current_authority(shared);
            let now = Instant::now();
            let Some((_, ends_at)) = authority.filter(|(id, _)| *id == self.incarnation) else {
                let actions = self.log.stop();
                self.perform(shared, actions);
                return match event {
                    BucketEvent::Claim(Some((_, reply_sender))) if authority.is_none() => {
                        refuse(&reply_sender);
                        None
                    }
                    BucketEvent::Claim(pending) => pending,
                    BucketEvent::Answer(..) | BucketEvent::Timer => None,
                };
            };
            let actions = match event {
                BucketEvent::Claim(Some((claim, reply_sender))) => {
                    self.next_ticket += 1;
                    self.reply_senders.insert(self.next_ticket, reply_sender);
                    self.log.on_claim(claim, self.next_ticket, now)
                }
                BucketEvent::Claim(None) => return None,
                BucketEvent::Answer(store, answer) => {
                    self.store = Some(store);
                    self.call = None;
                    match answer {
                        Some((call, answer)) => self.log.on_answer(call, answer, ends_at, now),
                        None => Vec::new(),
                    }
                }
                BucketEvent::Timer => self.log.on_timer(now),
            };
            self.perform(shared, actions);
        }
    }

    /// Waits for the next event. Store answers take precedence over the timer, and
    /// both over new claims.
    async fn next_event(&mut self, receiver: &Receiver<PendingClaim>) -> BucketEvent {
        let claim = async { BucketEvent::Claim(receiver.recv().await.ok()) };
        let wake_at = self.log.wake_at();
        let timer = async {
            match wake_at {
                Some(at) => {
                    Timer::at(at).await;
                    BucketEvent::Timer
                }
                None => future::pending().await,
            }
        };
        let call = &mut self.call;
        let answer = async {
            match call {
                Some(call) => {
                    let (store, answer) = call.await;
                    BucketEvent::Answer(store, answer)
                }
                None => future::pending().await,
            }
        };
        answer.or(timer).or(claim).await
    }

    /// Sends replies and starts the store call; there is at most one at a time.
    fn perform(&mut self, shared: &Arc<Shared>, actions: Vec<Action>) {
        for action in actions {
            if let Action::Reply { ticket, reply } = action {
                if let Some(reply_sender) = self.reply_senders.remove(&ticket) {
                    // Sending fails only if the claimant has stopped waiting.
                    let _ = reply_sender.try_send(reply);
                }
            } else if let Some(mut store) = self.store.take() {
                let shared = shared.clone();
                self.call = Some(Box::pin(async move {
                    let answer = store.call(&shared, action).await;
                    (store, answer)
                }));
            }
        }
    }
}

fn refuse(reply_sender: &Sender<ClaimReply>) {
    // Sending fails only if the claimant has stopped waiting.
    let _ = reply_sender.try_send(ClaimReply::Refused);
}

/// Returns the current incarnation and the end of its authority.
pub(crate) fn current_authority(shared: &Shared) -> Option<(Incarnation, Instant)> {
    let update = shared.authority.update();
    let instance = update.as_ref()?;
    let ends_at = instance.authority().ends_at()?;
    Some((Incarnation(instance.incarnation().0), ends_at))
}
