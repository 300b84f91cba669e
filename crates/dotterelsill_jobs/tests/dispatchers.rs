//! Division of workers among dispatchers, and the state of a stream to one.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    DispatcherReport,
    Dispatchers,
    HeartbeatClock,
    JobId,
    PayloadCache,
    Route,
    WorkerKey, //
};
use rand::{
    rngs::SmallRng,
    RngExt as _,
    SeedableRng as _, //
};

/// Seed of the first search; the others count up from it.
const SEED: u64 = 20_261_205;

const SEARCHES: u64 = 100;
const STEPS: usize = 400;
const WORKERS: u32 = 40;
const INSTANCES: u16 = 8;

fn address(instance: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + instance))
}

fn data_centre(index: u32) -> String {
    if index.is_multiple_of(2) { "a" } else { "b" }.to_owned()
}

fn report(instance: u16) -> DispatcherReport {
    DispatcherReport {
        data_centre: data_centre(instance.into()),
        processor_milli: 40,
    }
}

fn counts() -> BTreeMap<String, u32> {
    let half = WORKERS / 2;
    BTreeMap::from([("a".to_owned(), half), ("b".to_owned(), half)])
}

/// Guards against routes over links that are closed or lead elsewhere, orders over a
/// route on which the worker's status was not read, and counts that drift, in all
/// orders of the events.
#[test]
fn routes_follow_the_links() {
    for seed in SEED..SEED + SEARCHES {
        search(seed);
    }
}

fn search(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut dispatchers = Dispatchers::new(20);
    let mut opening: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut open: BTreeSet<SocketAddr> = BTreeSet::new();
    // Routes over which the worker has answered since they were chosen.
    let mut answered: BTreeMap<u32, Route> = BTreeMap::new();
    let mut now = Duration::ZERO;
    for step in 0..STEPS {
        now += Duration::from_millis(random.random_range(0..400));
        let worker = random.random_range(0..WORKERS);
        let key = WorkerKey(worker);
        match random.random_range(0..8) {
            0 => {
                let registered = (0..INSTANCES).filter(|_| random.random_bool(0.8));
                let reports = registered.map(|i| (address(i), report(i))).collect();
                dispatchers.on_registered(&reports);
            }
            1 => {
                for address in dispatchers.open_links(&counts(), now) {
                    assert!(
                        !open.contains(&address),
                        "seed {seed} step {step}: open twice"
                    );
                    assert!(
                        opening.insert(address),
                        "seed {seed} step {step}: opened twice"
                    );
                }
            }
            2 => {
                if let Some(address) = opening.pop_first() {
                    dispatchers.on_open(address);
                    open.insert(address);
                }
            }
            3 if random.random_bool(0.3) => {
                let address = open.pop_first().or_else(|| opening.pop_first());
                if let Some(address) = address {
                    for key in dispatchers.on_closed(address, now) {
                        answered.insert(key.0, Route::Direct);
                    }
                }
            }
            4 => {
                let route = dispatchers.order_route(key);
                if random.random_bool(0.2) {
                    dispatchers.on_unanswered(key, route, now);
                    if route != Route::Direct {
                        answered.insert(worker, Route::Direct);
                    }
                }
            }
            5 if random.random_bool(0.1) => {
                dispatchers.forget(key);
                answered.remove(&worker);
            }
            _ => {
                let route = dispatchers.status_route(key, &data_centre(worker), now);
                if random.random_bool(0.8) {
                    dispatchers.on_answered(key, route);
                    answered.insert(worker, route);
                }
            }
        }
        for worker in 0..WORKERS {
            let route = dispatchers.order_route(WorkerKey(worker));
            let expected = answered.get(&worker).copied().unwrap_or(Route::Direct);
            if let Route::Over(address) = route {
                assert!(
                    open.contains(&address),
                    "seed {seed} step {step}: closed link"
                );
                assert_eq!(route, expected, "seed {seed} step {step}: status not read");
                let instance = u32::from(address.port() - 1000);
                assert_eq!(
                    instance % 2,
                    worker % 2,
                    "seed {seed} step {step}: data centre"
                );
            }
        }
    }
}

/// Guards against dispatchers for a fleet that the scheduler can call itself.
#[test]
fn small_fleet_needs_no_dispatchers() {
    let mut dispatchers = Dispatchers::new(500);
    dispatchers.on_registered(&(0..INSTANCES).map(|i| (address(i), report(i))).collect());
    assert!(dispatchers.open_links(&counts(), Duration::ZERO).is_empty());
    let route = dispatchers.status_route(WorkerKey(0), "a", Duration::ZERO);
    assert_eq!(route, Route::Direct);
}

/// Guards against work that is not spread by the size of the dispatchers, and against
/// more links than the workers ask for.
#[test]
fn workers_are_divided_by_size() {
    let mut dispatchers = Dispatchers::new(20);
    let sizes = [400, 120, 120, 120];
    let reports = sizes.iter().enumerate().map(|(index, &processor_milli)| {
        let report = DispatcherReport {
            data_centre: "a".to_owned(),
            processor_milli,
        };
        (address(index as u16), report)
    });
    dispatchers.on_registered(&reports.collect());
    let counts = BTreeMap::from([("a".to_owned(), 120)]);
    let opened = dispatchers.open_links(&counts, Duration::ZERO);
    assert_eq!(opened, [address(0), address(1)], "the largest that suffice");
    opened
        .iter()
        .for_each(|&address| dispatchers.on_open(address));
    let mut over: BTreeMap<Route, u32> = BTreeMap::new();
    for worker in 0..120 {
        let route = dispatchers.status_route(WorkerKey(worker), "a", Duration::ZERO);
        *over.entry(route).or_default() += 1;
    }
    let expected = [(Route::Over(address(0)), 92), (Route::Over(address(1)), 28)];
    assert_eq!(over, BTreeMap::from(expected));
}

/// Guards against workers that stay without a dispatcher, or return at once to one
/// that does not reach them.
#[test]
fn worker_returns_to_a_dispatcher_after_a_while() {
    let mut dispatchers = Dispatchers::new(20);
    dispatchers.on_registered(&BTreeMap::from([(address(0), report(0))]));
    dispatchers.open_links(&counts(), Duration::ZERO);
    dispatchers.on_open(address(0));
    let key = WorkerKey(0);
    let over = Route::Over(address(0));
    assert_eq!(dispatchers.status_route(key, "a", Duration::ZERO), over);
    dispatchers.on_answered(key, over);
    let mut now = Duration::ZERO;
    for direct_s in [4, 8, 16] {
        dispatchers.on_unanswered(key, over, now);
        assert_eq!(dispatchers.order_route(key), Route::Direct);
        now += Duration::from_secs(direct_s) - Duration::from_millis(1);
        assert_eq!(dispatchers.status_route(key, "a", now), Route::Direct);
        let left = dispatchers.direct_time_left(key, now);
        assert_eq!(left, Some(Duration::from_millis(1)));
        now += Duration::from_millis(1);
        assert_eq!(dispatchers.direct_time_left(key, now), None);
        assert_eq!(dispatchers.status_route(key, "a", now), over);
    }
}

/// Guards against a dispatcher that makes calls which it received before a pause, or
/// that carry a heartbeat which it never sent.
#[test]
fn calls_from_before_a_pause_are_too_old() {
    let mut clock = HeartbeatClock::new(Duration::from_secs(2));
    let at = Duration::from_millis;
    assert_eq!(clock.on_heartbeat(at(10_000)), 1);
    assert_eq!(clock.on_heartbeat(at(10_500)), 2);
    assert_eq!(clock.valid_until(2), at(12_500));
    assert_eq!(clock.valid_until(0), Duration::ZERO);
    assert_eq!(clock.valid_until(3), Duration::ZERO);
    assert_eq!(clock.valid_until(u64::MAX), Duration::ZERO);
    // The process is paused for 5 s.
    assert_eq!(clock.on_heartbeat(at(15_600)), 3);
    assert!(clock.valid_until(2) < at(15_600));
    assert_eq!(clock.valid_until(3), at(17_600));
}

/// Guards against ends of a stream that keep different payloads, so that a start
/// refers to one that the dispatcher has dropped.
#[test]
fn both_ends_keep_the_same_payloads() {
    let (mut sender, mut receiver) = (PayloadCache::default(), PayloadCache::default());
    let mut random = SmallRng::seed_from_u64(SEED);
    for _ in 0..20_000 {
        let job = JobId(random.random_range(0..1500));
        let payload: Arc<str> = format!("payload of {job}").into();
        if sender.add(job, &payload) {
            receiver.add(job, &payload);
        }
        assert_eq!(receiver.get(job), Some(&payload));
    }
}
