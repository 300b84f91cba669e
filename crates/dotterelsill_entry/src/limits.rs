//! Credits of the teams' upper limits.

use std::{
    collections::HashMap,
    sync::{
        atomic::{
            AtomicU32,
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

use arc_swap::ArcSwap;
use async_io::Timer;
use dotterelsill_escrow::{
    reserve_of,
    Credit,
    Credits,
    Holder,
    Incarnation,
    Ledger,
    Policy, //
};
use event_listener::Event;
use futures_lite::FutureExt as _;

use crate::{
    ledgers,
    shared::Shared,
    snapshot::Snapshot, //
};

/// Time between two looks at all records while nobody waits for a credit.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two looks at all records.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that a shutdown waits for credits to be given back.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Name of the team that stands for the callers of open queues; it has no upper
/// limit.
pub(crate) const OPEN_TEAM: &str = "(open)";

/// What requests need of a team's credits.
struct TeamCredits {
    credits: Credits,
    waiting: AtomicU32,
}

/// Credits of all teams on this incarnation.
#[derive(Default)]
pub(crate) struct Limits {
    /// Replaced with each incarnation and each change of the teams.
    teams: ArcSwap<HashMap<String, Arc<TeamCredits>>>,
    /// Owned by the one task that talks to the store.
    holders: Mutex<HashMap<String, Holder>>,
    wanted: Event,
}

/// A request that waits for a credit, counted until this is dropped.
pub(crate) struct Waiting(Option<Arc<TeamCredits>>);

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(team) = &self.0 {
            team.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Limits {
    /// Takes a credit for one request. The inner value is `None` for the team
    /// that has no upper limit; the outer one when no credit is free.
    pub(crate) fn take(&self, team: &str) -> Option<Option<Credit>> {
        if team == OPEN_TEAM {
            return Some(None);
        }
        let credit = self.teams.load().get(team)?.credits.try_start();
        if credit.is_none() {
            self.wanted.notify(1);
        }
        Some(Some(credit?))
    }

    /// Counts a request that waits for a slot or a credit of a team.
    pub(crate) fn waiting(&self, team: &str) -> Waiting {
        let team = self.teams.load().get(team).cloned();
        if let Some(team) = &team {
            team.waiting.fetch_add(1, Ordering::Relaxed);
            self.wanted.notify(1);
        }
        Waiting(team)
    }

    /// Returns allowance and number running of each team.
    pub(crate) fn counts(&self) -> Vec<(String, u32, u32)> {
        let teams = self.teams.load();
        let counts = |(name, team): (&String, &Arc<TeamCredits>)| {
            let counts = team.credits.counts();
            (name.clone(), counts.allowance, counts.running)
        };
        teams.iter().map(counts).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Holder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the holders of a new incarnation or of new teams.
    ///
    /// Holders of an earlier incarnation are fenced: requests that still run on
    /// their credits keep them, and what the record lists for that incarnation
    /// is reclaimed like that of one that died.
    fn adopt(&self, incarnation: Incarnation, snapshot: &Snapshot) {
        let mut holders = self.lock();
        for holder in holders.values_mut() {
            if holder.incarnation() != incarnation {
                holder.fence();
            }
        }
        holders.retain(|_, holder| holder.incarnation() == incarnation);
        let mut changed = false;
        for team in snapshot.limits.keys() {
            if !holders.contains_key(team) {
                let holder = Holder::new(incarnation, Policy::default());
                holders.insert(team.clone(), holder);
                changed = true;
            }
        }
        if changed {
            self.publish(&holders);
        }
    }

    fn publish(&self, holders: &HashMap<String, Holder>) {
        let old = self.teams.load_full();
        let credits = |(name, holder): (&String, &Holder)| {
            let waiting = old
                .get(name)
                .map_or(0, |team| team.waiting.load(Ordering::Relaxed));
            let team = TeamCredits {
                credits: holder.credits().clone(),
                waiting: AtomicU32::new(waiting),
            };
            (name.clone(), Arc::new(team))
        };
        self.teams
            .store(Arc::new(holders.iter().map(credits).collect()));
    }

    fn waiting_count(&self, team: &str) -> u32 {
        let teams = self.teams.load();
        teams
            .get(team)
            .map_or(0, |team| team.waiting.load(Ordering::Relaxed))
    }
}

/// Moves credits between the records and this instance until the program stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let wanted = shared.limits.wanted.listen();
        let begin = Instant::now();
        step(&shared).await;
        Timer::at(begin + BUSY_INTERVAL).await;
        let idle = async {
            Timer::at(begin + IDLE_INTERVAL).await;
        };
        wanted.or(idle).await;
    }
}

/// Looks at all records once and makes the operations that are due.
async fn step(shared: &Shared) {
    let Some(incarnation) = current_incarnation(shared) else {
        return;
    };
    let snapshot = shared.snapshot.load_full();
    shared.limits.adopt(incarnation, &snapshot);
    let records = match ledgers::list(shared).await {
        Ok(records) => records,
        Err(error) => {
            log::debug!(error:%; "escrow_not_listed");
            return;
        }
    };
    let missing = (0, None);
    for (team, limit) in &snapshot.limits {
        let (version, ledger) = records.get(team).unwrap_or(&missing);
        let configured = match ledger {
            Some(ledger) => ledger.set_limit(*limit, snapshot.revision),
            None => Ledger::new(*limit, snapshot.revision),
        };
        match (ledger, configured) {
            // The limit was written under a newer revision than the one here.
            (Some(ledger), Err(_)) => operate(shared, team, *version, ledger).await,
            (Some(ledger), Ok(_)) if ledger.limit() == *limit => {
                operate(shared, team, *version, ledger).await;
            }
            (_, Ok(configured)) => {
                ledgers::write(shared, team, *version, &configured).await;
            }
            (None, Err(error)) => log::error!(team, error:%; "limit_not_set"),
        }
    }
    snapshot.start_waiting();
}

async fn operate(shared: &Shared, team: &str, version: u64, ledger: &Ledger) {
    let waiting = shared.limits.waiting_count(team);
    let operation = {
        let mut holders = shared.limits.lock();
        let Some(holder) = holders.get_mut(team) else {
            return;
        };
        let members = shared.peers.live_count();
        holder.set_reserve(reserve_of(ledger.limit(), members));
        let operation = holder.next_operation(version, ledger, waiting, Instant::now());
        operation.map(|operation| (holder.incarnation(), operation))
    };
    let Some((incarnation, operation)) = operation else {
        return;
    };
    let written = match ledger.apply(incarnation, &operation) {
        Ok(next) => ledgers::write(shared, team, version, &next)
            .await
            .map(|version| (version, next)),
        Err(error) => {
            log::debug!(team, error:%; "escrow_operation_refused");
            None
        }
    };
    let mut holders = shared.limits.lock();
    let Some(holder) = holders.get_mut(team) else {
        return;
    };
    match written {
        Some((version, ledger)) => holder.on_record(version, &ledger),
        None => holder.on_write_failed(),
    }
}

fn current_incarnation(shared: &Shared) -> Option<Incarnation> {
    let update = shared.authority.update();
    let instance = update.as_ref()?;
    Some(Incarnation(instance.incarnation().0))
}

/// Gives back all credits at a shutdown.
pub(crate) async fn leave(shared: &Shared) {
    for holder in shared.limits.lock().values_mut() {
        holder.leave();
    }
    let begin = Instant::now();
    while begin.elapsed() < LEAVE_LIMIT {
        step(shared).await;
        if shared.limits.lock().values().all(Holder::has_left) {
            return;
        }
        Timer::after(BUSY_INTERVAL).await;
    }
    log::warn!("credits_not_given_back");
}
