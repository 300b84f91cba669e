//! Credits that enforce the teams' upper limits on requests running at once.
//!
//! Each team has a record in the store that divides its limit into credits held
//! by instances. A request runs on one credit; the background task of this module
//! moves credits between the records and this instance.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
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
    reserve_per_incarnation,
    Credit,
    Credits,
    Holder,
    Incarnation,
    Ledger,
    Operation,
    Policy, //
};
use event_listener::Event;
use futures_lite::FutureExt as _;

use crate::{
    escrow_reader::Reader,
    ledgers,
    shared::Shared,
    snapshot::Snapshot, //
};

/// Time between two reads of the records while no request waits for a credit.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reads of the records.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time that a shutdown waits until all credits are returned.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Name of the pseudo-team of the callers of open queues; it has no upper limit.
pub(crate) const OPEN_TEAM: &str = "(open)";

/// Holders by team and incarnation.
type Holders = HashMap<(String, Incarnation), Holder>;

/// A credit in use, with the incarnation that holds it.
///
/// Work may start on it only under the authority of that incarnation: the
/// credits of an earlier one may already have been reclaimed.
#[must_use = "the credit is returned when it is dropped"]
pub(crate) struct HeldCredit {
    _credit: Credit,
    incarnation: Incarnation,
}

impl HeldCredit {
    /// Returns whether the current incarnation of this instance holds the credit.
    pub(crate) fn is_current(&self, shared: &Shared) -> bool {
        shared.authority.current_incarnation() == Some(self.incarnation.0)
    }
}

/// A team's credits as requests use them.
struct TeamCredits {
    credits: Credits,
    incarnation: Incarnation,
    /// Number of requests that wait for a slot or a credit.
    waiting: AtomicU32,
}

/// Credits of all teams on this incarnation.
#[derive(Default)]
pub(crate) struct Limits {
    /// Credits by team, replaced with each new incarnation and each change of the
    /// teams.
    teams: ArcSwap<HashMap<String, Arc<TeamCredits>>>,
    /// Holders by team and incarnation, used by the one task that accesses the
    /// store. Those of earlier incarnations return what they hold.
    holders: Mutex<Holders>,
    /// Incarnations with holdings in the records when those were last listed.
    listed: ArcSwap<HashSet<Incarnation>>,
    /// Notified when a request finds no free credit or starts to wait.
    credit_wanted: Event,
}

/// Guard that counts a request as waiting until it is dropped.
pub(crate) struct Waiting(Option<Arc<TeamCredits>>);

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(team) = &self.0 {
            team.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Limits {
    /// Takes a credit for one request. The outer value is `None` if no credit is
    /// free, the inner one for the team without an upper limit.
    pub(crate) fn take(&self, team: &str) -> Option<Option<HeldCredit>> {
        if team == OPEN_TEAM {
            return Some(None);
        }
        let teams = self.teams.load();
        let team = teams.get(team)?;
        match team.credits.try_start() {
            Some(credit) => Some(Some(HeldCredit {
                _credit: credit,
                incarnation: team.incarnation,
            })),
            None => {
                self.credit_wanted.notify(1);
                None
            }
        }
    }

    /// Counts a request that waits for a slot or a credit of a team.
    pub(crate) fn waiting(&self, team: &str) -> Waiting {
        let team = self.teams.load().get(team).cloned();
        if let Some(team) = &team {
            team.waiting.fetch_add(1, Ordering::Relaxed);
            self.credit_wanted.notify(1);
        }
        Waiting(team)
    }

    /// Returns name, allowance and number of running requests of each team.
    pub(crate) fn counts(&self) -> Vec<(String, u32, u32)> {
        let teams = self.teams.load();
        let counts = |(name, team): (&String, &Arc<TeamCredits>)| {
            let counts = team.credits.counts();
            (name.clone(), counts.allowance, counts.running)
        };
        teams.iter().map(counts).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Holders> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the teams that have requests running or waiting here, or of which
    /// this instance holds more than its reserve.
    pub(crate) fn active_teams(
        &self,
        limits: &HashMap<String, u32>,
        live_instances: u32,
    ) -> Vec<String> {
        let holders = self.lock();
        let is_active = |(team, holder): (&String, &Holder)| {
            let limit = limits.get(team).copied().unwrap_or(0);
            let reserve = reserve_per_incarnation(limit, live_instances);
            let running = holder.credits().counts().running;
            running > 0 || self.waiting_count(team) > 0 || holder.state().held > reserve
        };
        let mut active: Vec<String> = holders
            .iter()
            .filter(|((team, _), holder)| is_active((team, holder)))
            .map(|((team, _), _)| team.clone())
            .collect();
        active.sort_unstable();
        active.dedup();
        active
    }

    /// Replaces the incarnations that have holdings in the records.
    pub(crate) fn set_listed(&self, incarnations: HashSet<Incarnation>) {
        self.listed.store(Arc::new(incarnations));
    }

    /// Returns the incarnations that had holdings when the records were last
    /// listed.
    pub(crate) fn listed(&self) -> HashSet<Incarnation> {
        HashSet::clone(&self.listed.load())
    }

    /// Creates the holders of a new incarnation or of new teams.
    ///
    /// Holders of an earlier incarnation start no more requests and return their
    /// credits as the requests that run on them end.
    fn create_holders(&self, incarnation: Incarnation, snapshot: &Snapshot) {
        let mut holders = self.lock();
        for ((team, held_by), holder) in holders.iter_mut() {
            if *held_by != incarnation || !snapshot.limits.contains_key(team) {
                holder.leave();
            }
        }
        holders.retain(|_, holder| !holder.has_left() && !holder.is_fenced());
        let mut changed = false;
        for team in snapshot.limits.keys() {
            let key = (team.clone(), incarnation);
            holders.entry(key).or_insert_with(|| {
                changed = true;
                Holder::new(incarnation, Policy::default())
            });
        }
        if changed {
            self.publish(incarnation, &holders);
        }
    }

    /// Makes the credits of the current incarnation available to requests.
    fn publish(&self, incarnation: Incarnation, holders: &Holders) {
        let old = self.teams.load_full();
        let current = holders
            .iter()
            .filter(|((_, held_by), _)| *held_by == incarnation);
        let teams = current.map(|((name, _), holder)| {
            let waiting = old
                .get(name)
                .map_or(0, |team| team.waiting.load(Ordering::Relaxed));
            let team = TeamCredits {
                credits: holder.credits().clone(),
                incarnation,
                waiting: AtomicU32::new(waiting),
            };
            (name.clone(), Arc::new(team))
        });
        self.teams.store(Arc::new(teams.collect()));
    }

    /// Returns the incarnations that still have a holder of a team.
    fn incarnations(&self, team: &str) -> Vec<Incarnation> {
        let holders = self.lock();
        let of_team = holders.keys().filter(|(name, _)| name == team);
        of_team.map(|(_, incarnation)| *incarnation).collect()
    }

    fn waiting_count(&self, team: &str) -> u32 {
        let teams = self.teams.load();
        teams
            .get(team)
            .map_or(0, |team| team.waiting.load(Ordering::Relaxed))
    }
}

/// Moves credits between the records and this instance until shutdown.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut reader = Reader::default();
    loop {
        let credit_wanted = shared.limits.credit_wanted.listen();
        let begin = Instant::now();
        reconcile(&shared, &mut reader).await;
        Timer::at(begin + MIN_READ_INTERVAL).await;
        let idle = async {
            Timer::at(begin + IDLE_READ_INTERVAL).await;
        };
        credit_wanted.or(idle).await;
    }
}

/// Reads the records once and writes the operations that are due.
async fn reconcile(shared: &Shared, reader: &mut Reader) {
    let Some(incarnation) = current_incarnation(shared) else {
        return;
    };
    let snapshot = shared.snapshot.load_full();
    shared.limits.create_holders(incarnation, &snapshot);
    let begin = Instant::now();
    let records = match reader.read(shared, incarnation, &snapshot).await {
        Ok(records) => records,
        Err(error) => {
            log::debug!(error:%; "escrow_not_read");
            return;
        }
    };
    for (team, limit) in &snapshot.limits {
        match records.get(team) {
            Some((version, Some(ledger))) => {
                reconcile_limit(shared, team, *limit, *version, ledger, snapshot.revision).await;
            }
            // The record cannot be decoded; it is left as it is.
            Some((_, None)) => {}
            // Only a list of all records shows that one does not exist.
            None if reader.has_listed_since(begin) => {
                create_record(shared, team, *limit, snapshot.revision).await;
            }
            None => {}
        }
    }
    snapshot.start_waiting();
}

/// Sets a record's limit to the configured one or, if they are equal already,
/// writes the next operations to it.
async fn reconcile_limit(
    shared: &Shared,
    team: &str,
    limit: u32,
    version: u64,
    ledger: &Ledger,
    revision: u64,
) {
    if ledger.limit() != limit {
        // An error means that a newer revision has set the limit already.
        if let Ok(changed) = ledger.set_limit(limit, revision) {
            ledgers::write(shared, team, version, &changed).await;
            return;
        }
    }
    apply_operations(shared, team, version, ledger).await;
}

/// Creates the record of a team.
async fn create_record(shared: &Shared, team: &str, limit: u32, revision: u64) {
    match Ledger::new(limit, revision) {
        Ok(created) => {
            ledgers::write(shared, team, 0, &created).await;
        }
        Err(error) => log::error!(team, error:%; "limit_not_set"),
    }
}

/// Writes the next operation of each holder of a team to the team's record.
async fn apply_operations(shared: &Shared, team: &str, mut version: u64, ledger: &Ledger) {
    let mut ledger = ledger.clone();
    for incarnation in shared.limits.incarnations(team) {
        let key = (team.to_owned(), incarnation);
        let Some(operation) = next_operation(shared, &key, version, &ledger) else {
            continue;
        };
        let next = match ledger.apply(incarnation, &operation) {
            Ok(next) => next,
            Err(error) => {
                log::debug!(team, error:%; "escrow_operation_refused");
                with_holder(shared, &key, Holder::on_write_failed);
                continue;
            }
        };
        match ledgers::write(shared, team, version, &next).await {
            Some(written) => {
                version = written;
                ledger = next;
                with_holder(shared, &key, |holder| holder.on_record(version, &ledger));
            }
            None => {
                with_holder(shared, &key, Holder::on_write_failed);
                return;
            }
        }
    }
}

fn next_operation(
    shared: &Shared,
    key: &(String, Incarnation),
    version: u64,
    ledger: &Ledger,
) -> Option<Operation> {
    let waiting = shared.limits.waiting_count(&key.0);
    let reserve = reserve_per_incarnation(ledger.limit(), shared.peers.live_count());
    with_holder(shared, key, |holder| {
        holder.set_reserve(reserve);
        holder.next_operation(version, ledger, waiting, Instant::now())
    })
    .flatten()
}

/// Runs a closure on a holder; `None` if the holder does not exist.
fn with_holder<T>(
    shared: &Shared,
    key: &(String, Incarnation),
    update: impl FnOnce(&mut Holder) -> T,
) -> Option<T> {
    shared.limits.lock().get_mut(key).map(update)
}

fn current_incarnation(shared: &Shared) -> Option<Incarnation> {
    let update = shared.authority.update();
    let instance = update.as_ref()?;
    Some(Incarnation(instance.incarnation().0))
}

/// Returns all credits to the records at shutdown, for at most
/// [`RELEASE_TIMEOUT`].
pub(crate) async fn release_credits(shared: &Shared) {
    for holder in shared.limits.lock().values_mut() {
        holder.leave();
    }
    let begin = Instant::now();
    while begin.elapsed() < RELEASE_TIMEOUT {
        // A new reader lists all records instead of reading a few.
        reconcile(shared, &mut Reader::default()).await;
        let has_left = |holder: &Holder| holder.has_left() || holder.is_fenced();
        if shared.limits.lock().values().all(has_left) {
            return;
        }
        Timer::after(MIN_READ_INTERVAL).await;
    }
    log::warn!("credits_not_given_back");
}
