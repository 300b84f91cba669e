//! Error budget burn rates of all services over the whole fleet, computed from the
//! request counters of all instances.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_burn::{
    svg,
    text_table,
    Limits,
    Objective,
    Sample,
    Tracker, //
};
use dotterelsill_proto::peer::{
    BurnResponse,
    Counter,
    CountersRequest, //
};
use dotterelsill_rpc::timeout;
use http::StatusCode;
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    outcome::Outcome,
    peers::CALL_TIMEOUT,
    shared::Shared, //
};

/// Time between two samples of all counters.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(30);

/// Service level objective: share of good requests, in parts per million.
const OBJECTIVE_PPM: u32 = 999_000;

/// Number of requests of one team to one service since the process started.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    good: AtomicU64,
    total: AtomicU64,
}

impl Counts {
    /// Counts a request that has ended. A refusal because of an invalid request is
    /// not counted, because it says nothing about the service.
    pub(crate) fn observe(&self, outcome: &Outcome) {
        let is_good = match outcome {
            Outcome::Answered(_) => true,
            Outcome::NotRun(reason) if is_callers_fault(reason.status) => return,
            Outcome::NotRun(_) | Outcome::Failed(_) | Outcome::Unknown(_) => false,
        };
        self.total.fetch_add(1, Ordering::Relaxed);
        self.good.fetch_add(is_good.into(), Ordering::Relaxed);
    }

    /// Returns the counts as a message, or `None` if there were no requests.
    pub(crate) fn counter(&self, service: &str, team: &str) -> Option<Counter> {
        // `good` is read first: a request that ends between the two reads then
        // counts as an error, and only until the next sample.
        let good = self.good.load(Ordering::Relaxed);
        let total = self.total.load(Ordering::Relaxed);
        (total > 0).then(|| Counter {
            service: service.to_owned(),
            team: team.to_owned(),
            good: good.min(total),
            total,
        })
    }
}

/// Returns whether a refusal is due to an invalid request; status 429 (too many
/// requests) is not.
fn is_callers_fault(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS
}

/// Burn rates of all services, updated by one task.
pub(crate) struct Burn(Mutex<State>);

struct State {
    tracker: Tracker,
    /// Pairs of service and team that each instance has reported.
    seen: HashMap<String, HashSet<(String, String)>>,
}

impl Burn {
    /// Creates an empty state.
    pub(crate) fn new(now: Instant) -> Self {
        Self(Mutex::new(State {
            tracker: Tracker::new(now, Limits::default()),
            seen: HashMap::new(),
        }))
    }

    /// Returns the report as a text table and as an SVG picture.
    pub(crate) fn report(&self, now: Instant) -> BurnResponse {
        let rows = self.lock().tracker.report(now);
        BurnResponse {
            text: text_table(&rows),
            svg: svg(&rows),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a sample of the counters of one instance.
    ///
    /// The first sample of an instance is only a baseline, because its requests may
    /// be older than this process. A pair that appears later had no requests
    /// before, so its baseline is zero.
    fn observe(&self, instance: &str, counters: &[Counter], at: Instant) {
        let number = number_of(instance);
        let mut state = self.lock();
        let State { tracker, seen } = &mut *state;
        let is_known = seen.contains_key(instance);
        let pairs = seen.entry(instance.to_owned()).or_default();
        for counter in counters {
            let pair = (counter.service.clone(), counter.team.clone());
            let is_new = pairs.insert(pair);
            let sample = Sample {
                at,
                instance: number,
                service: &counter.service,
                team: &counter.team,
                good: counter.good,
                total: counter.total,
            };
            if let (true, true, Some(before)) = (is_known, is_new, at.checked_sub(SAMPLE_INTERVAL))
            {
                let zero = Sample {
                    at: before,
                    good: 0,
                    total: 0,
                    ..sample
                };
                observe_sample(tracker, &zero);
            }
            observe_sample(tracker, &sample);
        }
    }
}

/// Returns a number that identifies an instance in the tracker, derived from the
/// digest of its name.
fn number_of(instance: &str) -> u64 {
    let digest = Sha256::digest(instance);
    let mut number = [0; 8];
    number.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(number)
}

fn observe_sample(tracker: &mut Tracker, sample: &Sample<'_>) {
    if let Err(error) = tracker.observe(sample) {
        log::debug!(service = sample.service, error:%; "sample_refused");
    }
}

/// Samples the counters of all instances and logs alerts until shutdown.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Ok(objective) = Objective::new(OBJECTIVE_PPM) else {
        return;
    };
    let mut services = HashSet::new();
    loop {
        let snapshot = shared.snapshot.load_full();
        let configured: HashSet<String> = snapshot.services().map(str::to_owned).collect();
        for gone in services.difference(&configured) {
            shared.burn.lock().tracker.remove_service(gone);
        }
        for service in &configured {
            shared.burn.lock().tracker.set_objective(service, objective);
        }
        services = configured;
        sample(&shared).await;
        for change in shared.burn.lock().tracker.evaluate(Instant::now()) {
            log::warn!(
                service = change.service,
                team = change.team,
                alert = change.alert.name(),
                state:? = change.state;
                "burn_alert"
            );
        }
        Timer::after(SAMPLE_INTERVAL).await;
    }
}

/// Samples the counters of this instance and of all live peers.
async fn sample(shared: &Shared) {
    let own = shared.snapshot.load().counters();
    shared
        .burn
        .observe(&shared.settings.instance, &own, Instant::now());
    for peer in shared.peers.alive_members() {
        if peer.instance == shared.settings.instance {
            continue;
        }
        let Some(mut client) = shared.peers.client(&peer, &shared.tasks) else {
            continue;
        };
        if let Ok(Ok(answer)) = timeout(CALL_TIMEOUT, client.counters(CountersRequest {})).await {
            let counters = answer.into_inner().counters;
            shared
                .burn
                .observe(&peer.instance, &counters, Instant::now());
        }
    }
}
