//! Division of the workers among dispatchers: instances that make the scheduler's
//! calls to workers.
//!
//! Carrying calls costs many times the processor time and bytes of deciding on them,
//! so that one instance cannot carry those of hundreds of workers. Each worker is
//! called over one route at a time. A dispatcher decides nothing: a call that it
//! loses or delays is to the scheduler a call without an answer.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    Scheduler,
    WorkerKey, //
};

/// Processor time of an instance for each worker that it calls, in millicores. It
/// covers about 10 starts and 10 status calls a second.
const MILLI_PER_WORKER: u32 = 4;

/// Time for which a closed link is not opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// Time for which the scheduler itself calls a worker after a call over a dispatcher
/// was not answered. It doubles with each further one in a row.
const INITIAL_DIRECT_TIME: Duration = Duration::from_secs(4);

/// Maximum of that time.
const MAX_DIRECT_TIME: Duration = Duration::from_secs(64);

/// How the scheduler calls a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Route {
    /// The scheduler calls the worker itself.
    Direct,
    /// The instance at the address calls the worker.
    Over(SocketAddr),
}

/// An instance that may be a dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatcherReport {
    /// Data centre of the instance.
    pub data_centre: String,
    /// Processor time of the instance, in millicores.
    pub processor_milli: u32,
}

/// State of the link to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Link {
    Unused,
    Opening,
    Open,
    /// Not to be opened again before a time.
    Closed {
        until: Duration,
    },
}

#[derive(Debug)]
struct Dispatcher {
    report: DispatcherReport,
    is_registered: bool,
    link: Link,
    /// Number of workers whose status is requested over it.
    workers: u32,
}

impl Dispatcher {
    fn capacity(&self) -> u32 {
        (self.report.processor_milli / MILLI_PER_WORKER).max(1)
    }

    /// Returns whether the dispatcher has more free capacity than another one.
    fn is_freer_than(&self, other: &Self) -> bool {
        let load = |a: &Self, b: &Self| u64::from(a.workers) * u64::from(b.capacity());
        load(self, other) < load(other, self)
    }
}

/// Routes to one worker.
#[derive(Clone, Copy, Debug)]
struct WorkerRoutes {
    status: Route,
    /// Follows the status route once a status was answered over it: the connection
    /// of the new route may lead to another incarnation of the worker.
    orders: Route,
    /// Time until which no dispatcher is used.
    direct_until: Duration,
    /// Number of unanswered calls over dispatchers since the last answer.
    failures: u32,
}

/// The dispatchers of one scheduler, and the route to each worker.
#[derive(Debug)]
pub struct Dispatchers {
    own_milli: u32,
    dispatchers: BTreeMap<SocketAddr, Dispatcher>,
    routes: HashMap<WorkerKey, WorkerRoutes>,
}

impl Dispatchers {
    /// Creates the state for a scheduler with the given processor time, in millicores.
    pub fn new(own_milli: u32) -> Self {
        Self {
            own_milli,
            dispatchers: BTreeMap::new(),
            routes: HashMap::new(),
        }
    }

    /// Handles a list of the registered instances without the scheduler's own. The
    /// links to instances that are no longer registered stay open until they close.
    pub fn on_registered(&mut self, reports: &BTreeMap<SocketAddr, DispatcherReport>) {
        for (address, dispatcher) in &mut self.dispatchers {
            dispatcher.is_registered = reports.contains_key(address);
        }
        self.dispatchers
            .retain(|_, d| d.is_registered || matches!(d.link, Link::Opening | Link::Open));
        for (&address, report) in reports {
            let dispatcher = self.dispatchers.entry(address).or_insert(Dispatcher {
                report: report.clone(),
                is_registered: true,
                link: Link::Unused,
                workers: 0,
            });
            dispatcher.report.clone_from(report);
        }
    }

    /// Returns the instances to open links to, given the number of workers in each
    /// data centre: none if the scheduler can call all workers itself, otherwise the
    /// largest of each data centre that together can call its workers.
    pub fn open_links(
        &mut self,
        workers: &BTreeMap<String, u32>,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let mut opened = Vec::new();
        if workers.values().sum::<u32>() <= self.own_milli / MILLI_PER_WORKER {
            return opened;
        }
        for (data_centre, &count) in workers {
            let mut candidates: Vec<(SocketAddr, &mut Dispatcher)> = self
                .dispatchers
                .iter_mut()
                .filter(|(_, d)| d.is_registered && d.report.data_centre == *data_centre)
                .filter(|(_, d)| !matches!(d.link, Link::Closed { until } if now < until))
                .map(|(&address, dispatcher)| (address, dispatcher))
                .collect();
            // Open links come first, so that a new instance does not add to them.
            candidates.sort_by_key(|(_, d)| {
                let is_in_use = matches!(d.link, Link::Opening | Link::Open);
                (!is_in_use, std::cmp::Reverse(d.report.processor_milli))
            });
            let mut covered = 0;
            for (address, dispatcher) in candidates {
                if covered >= count {
                    break;
                }
                covered += dispatcher.capacity();
                if matches!(dispatcher.link, Link::Unused | Link::Closed { .. }) {
                    dispatcher.link = Link::Opening;
                    opened.push(address);
                }
            }
        }
        opened
    }

    /// Handles a link that was opened.
    pub fn on_open(&mut self, address: SocketAddr) {
        if let Some(dispatcher) = self.dispatchers.get_mut(&address) {
            dispatcher.link = Link::Open;
        }
    }

    /// Handles a link that could not be opened, was closed, or whose instance is
    /// leaving. Returns the workers that were called over it: no route leads over it
    /// any more, and calls to them are unanswered.
    pub fn on_closed(&mut self, address: SocketAddr, now: Duration) -> Vec<WorkerKey> {
        let over = Route::Over(address);
        let mut affected = Vec::new();
        for (&key, routes) in &mut self.routes {
            if routes.status == over || routes.orders == over {
                routes.status = Route::Direct;
                routes.orders = Route::Direct;
                affected.push(key);
            }
        }
        if let Some(dispatcher) = self.dispatchers.get_mut(&address) {
            dispatcher.workers = 0;
            dispatcher.link = Link::Closed {
                until: now + REOPEN_DELAY,
            };
        }
        affected
    }

    /// Returns the route for orders to a worker.
    pub fn order_route(&self, key: WorkerKey) -> Route {
        self.routes
            .get(&key)
            .map_or(Route::Direct, |routes| routes.orders)
    }

    /// Returns the route for the next status call to a worker, and assigns the worker
    /// to a dispatcher of its data centre if it has none.
    pub fn status_route(&mut self, key: WorkerKey, data_centre: &str, now: Duration) -> Route {
        let routes = self.routes.entry(key).or_insert(WorkerRoutes {
            status: Route::Direct,
            orders: Route::Direct,
            direct_until: Duration::ZERO,
            failures: 0,
        });
        if routes.status == Route::Direct && now >= routes.direct_until {
            let mut best: Option<(SocketAddr, &mut Dispatcher)> = None;
            for (&address, dispatcher) in &mut self.dispatchers {
                let is_usable = dispatcher.link == Link::Open
                    && dispatcher.is_registered
                    && dispatcher.report.data_centre == data_centre;
                let is_best = |(_, best): &(_, &mut Dispatcher)| dispatcher.is_freer_than(best);
                if is_usable && best.as_ref().is_none_or(is_best) {
                    best = Some((address, dispatcher));
                }
            }
            if let Some((address, dispatcher)) = best {
                dispatcher.workers += 1;
                routes.status = Route::Over(address);
            }
        }
        routes.status
    }

    /// Returns the time for which the scheduler itself still calls a worker since a call
    /// over a dispatcher was not answered, or `None` if it does not.
    pub fn direct_time_left(&self, key: WorkerKey, now: Duration) -> Option<Duration> {
        let routes = self.routes.get(&key)?;
        let left = routes.direct_until.checked_sub(now)?;
        (routes.status == Route::Direct && !left.is_zero()).then_some(left)
    }

    /// Handles a status that was answered over a route.
    pub fn on_answered(&mut self, key: WorkerKey, route: Route) {
        if let Some(routes) = self.routes.get_mut(&key) {
            // The route may have been closed while the answer was on its way.
            if routes.status == route {
                routes.orders = route;
                if route != Route::Direct {
                    routes.failures = 0;
                }
            }
        }
    }

    /// Handles a call that was not answered over a route. The scheduler itself calls
    /// the worker for some time, since the dispatcher may be at fault.
    pub fn on_unanswered(&mut self, key: WorkerKey, route: Route, now: Duration) {
        let Some(routes) = self.routes.get_mut(&key) else {
            return;
        };
        if route == Route::Direct || (routes.status != route && routes.orders != route) {
            return;
        }
        let doublings = routes.failures.min(8);
        let time = (INITIAL_DIRECT_TIME * 2_u32.pow(doublings)).min(MAX_DIRECT_TIME);
        routes.direct_until = now + time;
        routes.failures += 1;
        self.release(key);
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, key: WorkerKey) {
        self.release(key);
        self.routes.remove(&key);
    }

    /// Returns the number of open links, and of workers that are called over them.
    pub fn in_use(&self) -> (usize, usize) {
        let is_open = |dispatcher: &&Dispatcher| dispatcher.link == Link::Open;
        let open = self.dispatchers.values().filter(is_open);
        let workers = self.routes.values();
        let routed = workers.filter(|routes| routes.status != Route::Direct);
        (open.count(), routed.count())
    }

    /// Makes the routes to a worker direct.
    fn release(&mut self, key: WorkerKey) {
        let Some(routes) = self.routes.get_mut(&key) else {
            return;
        };
        if let Route::Over(address) = routes.status {
            if let Some(dispatcher) = self.dispatchers.get_mut(&address) {
                dispatcher.workers = dispatcher.workers.saturating_sub(1);
            }
        }
        routes.status = Route::Direct;
        routes.orders = Route::Direct;
    }
}

impl Scheduler {
    /// Returns the number of registered workers in each data centre.
    pub fn workers_by_data_centre(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            *counts.entry(worker.report.data_centre.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the data centre of a worker.
    pub fn worker_data_centre(&self, key: WorkerKey) -> Option<&str> {
        let worker = self.workers.get(&key)?;
        Some(&worker.report.data_centre)
    }
}
