//! The scheduler's links to dispatchers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    Dispatchers,
    Route, //
};
use event_listener::Event;
use futures_lite::FutureExt as _;

use super::{
    link::{
        Link,
        LinkEvent, //
    },
    waiting::{
        closed,
        CallResult, //
    },
    Call,
    CallAnswer,
    CallFailure,
    SentOrder,
    WorkerTarget, //
};
use crate::{
    clock,
    leadership::Leadership,
    peers::Peers,
    signal::Signal,
    worker_loops, //
};

/// Interval between checks whether links are to be opened.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time that the first call to a worker waits for links to be opened.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Links of a scheduler to its dispatchers.
pub(crate) struct DispatchLinks {
    dispatchers: Mutex<Dispatchers>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// Set once the registered workers were listed for the first time.
    workers_listed: Signal,
    /// Number of links that are being opened.
    opening: AtomicUsize,
    /// Whether the attempts to open the first links have ended, or none are needed.
    /// First calls to workers wait for it, so that they go over dispatchers.
    is_settled: AtomicBool,
    settled: Event,
}

impl DispatchLinks {
    /// Creates the links of a scheduler with the given processor time, in millicores.
    pub(crate) fn new(processor_milli: u32) -> Self {
        Self {
            dispatchers: Mutex::new(Dispatchers::new(processor_milli)),
            links: Mutex::default(),
            workers_listed: Signal::default(),
            opening: AtomicUsize::new(0),
            is_settled: AtomicBool::new(false),
            settled: Event::new(),
        }
    }

    /// Locks the routes. The guard must not be held across an `await`.
    pub(crate) fn dispatchers(&self) -> MutexGuard<'_, Dispatchers> {
        self.dispatchers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an order over the dispatcher at an address without waiting for its
    /// answer, and returns whether a link to it is open.
    pub(crate) fn send_order(&self, address: SocketAddr, sent: SentOrder) -> bool {
        let links = self.links();
        links
            .get(&address)
            .is_some_and(|link| link.send_order(sent))
    }

    /// Makes a call to a worker over the dispatcher at an address.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        target: &Arc<WorkerTarget>,
        call: Call,
    ) -> Result<CallAnswer, CallFailure> {
        let link = self.links().get(&address).cloned();
        match link {
            Some(link) => link.call(target, call).await,
            None => Err(closed(false)),
        }
    }

    /// Handles a list of all registered workers.
    pub(crate) fn on_workers_listed(&self) {
        if !self.is_settled.load(Ordering::SeqCst) {
            self.workers_listed.set();
        }
    }

    /// Waits until the first links are open, for at most `SETTLE_TIMEOUT`.
    pub(crate) async fn wait_until_settled(&self) {
        let listener = self.settled.listen();
        if self.is_settled.load(Ordering::SeqCst) {
            return;
        }
        let timed_out = async {
            Timer::after(SETTLE_TIMEOUT).await;
        };
        listener.or(timed_out).await;
    }

    fn settle(&self) {
        if !self.is_settled.swap(true, Ordering::SeqCst) {
            self.settled.notify(usize::MAX);
        }
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens links as the number of workers asks for it, until the task group stops.
pub(crate) async fn manage(leadership: Arc<Leadership>, peers: Arc<Peers>) {
    let links = &leadership.dispatch;
    links.workers_listed.wait().await;
    loop {
        let workers = leadership.scheduler().workers_by_data_centre();
        let addresses = {
            let mut dispatchers = links.dispatchers();
            dispatchers.on_registered(&peers.dispatchers());
            dispatchers.open_links(&workers, clock::now())
        };
        links.opening.fetch_add(addresses.len(), Ordering::SeqCst);
        if links.opening.load(Ordering::SeqCst) == 0 {
            links.settle();
        }
        for address in addresses {
            let (leadership, peers) = (leadership.clone(), peers.clone());
            leadership
                .tasks
                .clone()
                .spawn_until_stop(async move { run_link(&leadership, &peers, address).await });
        }
        wake_ended_loops(&leadership);
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Wakes the loops of workers that are gone, so that they end.
fn wake_ended_loops(leadership: &Leadership) {
    let scheduler = leadership.scheduler();
    for (&key, handle) in leadership.handles().iter() {
        if !scheduler.has_worker(key) {
            handle.wake.set();
        }
    }
}

/// Opens a link and keeps it until it ends.
async fn run_link(leadership: &Leadership, peers: &Peers, address: SocketAddr) {
    let links = &leadership.dispatch;
    let route = Route::Over(address);
    let settle = |results: Vec<(SentOrder, CallResult)>| {
        worker_loops::settle_orders(leadership, route, results);
    };
    let link = Arc::new(Link::new(leadership.token));
    let reason = match link.open(peers.client_of(address)).await {
        Ok(mut stream) => {
            links.links().insert(address, link.clone());
            links.dispatchers().on_open(address);
            log::info!(dispatcher:% = address; "dispatch_link_opened");
            on_opening_ended(leadership);
            loop {
                match link.run(&mut stream, &settle).await {
                    // Calls under way are still answered.
                    LinkEvent::Leaving => {
                        release_workers(leadership, address);
                        log::info!(dispatcher:% = address; "dispatcher_leaves");
                    }
                    LinkEvent::Ended(reason) => break reason,
                }
            }
        }
        Err(error) => {
            on_opening_ended(leadership);
            error.message().to_owned()
        }
    };
    {
        // Another link to the same instance may have been opened since it left.
        let mut open = links.links();
        if open
            .get(&address)
            .is_some_and(|open| Arc::ptr_eq(open, &link))
        {
            open.remove(&address);
        }
    }
    settle(link.close());
    release_workers(leadership, address);
    log::info!(dispatcher:% = address, reason; "dispatch_link_closed");
}

/// Ends the wait of the first calls once no link is being opened any more, and makes
/// idle workers use the open links.
fn on_opening_ended(leadership: &Leadership) {
    let links = &leadership.dispatch;
    if links.opening.fetch_sub(1, Ordering::SeqCst) == 1 {
        links.settle();
    }
    for handle in leadership.handles().values() {
        handle.wake.set();
    }
}

/// Makes the routes of all workers of a dispatcher direct. Their next answer may be
/// that of another incarnation, so that their status is to be read first.
fn release_workers(leadership: &Leadership, address: SocketAddr) {
    let now = clock::now();
    let released = leadership.dispatch.dispatchers().on_closed(address, now);
    if released.is_empty() {
        return;
    }
    {
        let mut scheduler = leadership.scheduler();
        for &key in &released {
            scheduler.on_silence(key, now);
        }
    }
    let handles = leadership.handles();
    for key in released {
        if let Some(handle) = handles.get(&key) {
            handle.wake.set();
        }
    }
}
