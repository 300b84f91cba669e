//! Fences incarnations that can start no more work, and reclaims their credits.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_escrow::{
    Incarnation,
    LeaseState,
    Ledger,
    MemberState,
    ReclaimLimits,
    ReclaimProof,
    ReclaimTracker,
    ABORT_GRACE, //
};
use dotterelsill_proto::peer::Member;
use dotterelsill_revision::{
    LEASE,
    MAX_ISOLATION_LIMIT, //
};
use prost::Message as _;

use crate::{
    buckets,
    ledgers,
    register::{
        key_suffix,
        MEMBER_PREFIX, //
    },
    shared::Shared, //
};

/// What this instance has observed about other incarnations.
#[derive(Default)]
pub(crate) struct Observer {
    trackers: HashMap<Incarnation, ReclaimTracker>,
}

/// Registered instances and live leases as read at one time.
pub(crate) struct MembershipView<'a> {
    pub(crate) members: &'a [Member],
    pub(crate) alive: &'a [dotterelsill_revision::Incarnation],
    /// Time at which the store's answers had arrived.
    pub(crate) arrived_at: Instant,
}

impl Observer {
    /// Records one view, then fences incarnations that are gone and reclaims their
    /// credits.
    pub(crate) async fn on_view(&mut self, shared: &Shared, view: &MembershipView<'_>) {
        let Some((own, _)) = buckets::current_authority(shared) else {
            return;
        };
        let holders = shared.limits.listed();
        let members: HashMap<Incarnation, &Member> = view
            .members
            .iter()
            .filter_map(|member| Some((incarnation_of(member)?, member)))
            .collect();
        let tracked: HashSet<Incarnation> = members.keys().chain(&holders).copied().collect();
        self.trackers.retain(|seen, _| tracked.contains(seen));
        for incarnation in tracked.into_iter().filter(|seen| seen.0 != own.0) {
            let member = members.get(&incarnation).copied();
            self.observe(shared, incarnation, member, view);
        }
        self.fence_and_free(shared, &members, &holders).await;
    }

    /// Updates the tracker of one incarnation.
    fn observe(
        &mut self,
        shared: &Shared,
        incarnation: Incarnation,
        member: Option<&Member>,
        view: &MembershipView<'_>,
    ) {
        let limits = reclaim_limits(shared, member);
        let tracker = self
            .trackers
            .entry(incarnation)
            .or_insert_with(|| ReclaimTracker::new(incarnation, limits));
        tracker.on_limits(limits);
        let is_alive = view.alive.iter().any(|alive| alive.0 == incarnation.0);
        let lease = if is_alive {
            LeaseState::Alive
        } else {
            LeaseState::Expired
        };
        tracker.on_lease(lease, view.arrived_at);
        tracker.on_member(match member {
            None => MemberState::Absent,
            Some(member) if member.state == "fenced" => MemberState::Fenced,
            Some(_) => MemberState::Present,
        });
    }

    /// Fences the incarnations that are due, reclaims the credits of those that are
    /// proven to be gone, and deletes the records of those that hold none.
    async fn fence_and_free(
        &self,
        shared: &Shared,
        members: &HashMap<Incarnation, &Member>,
        holders: &HashSet<Incarnation>,
    ) {
        let now = Instant::now();
        let mut gone = Vec::new();
        for (incarnation, tracker) in &self.trackers {
            let member = members.get(incarnation);
            if let (true, Some(member)) = (tracker.should_fence(now), member) {
                fence(shared, member).await;
            }
            match tracker.reclaim_proof(now) {
                Some(proof) if holders.contains(incarnation) => gone.push(proof),
                Some(_) => {
                    if let Some(member) = member {
                        delete(shared, member).await;
                    }
                }
                None => {}
            }
        }
        if !gone.is_empty() {
            reclaim_credits(shared, &gone).await;
        }
    }
}

/// Returns how long an incarnation may still act: the times that it registered, or
/// without a registration the maximum ones.
fn reclaim_limits(shared: &Shared, member: Option<&Member>) -> ReclaimLimits {
    let current = shared.snapshot.load().max_run;
    let (isolation_limit, max_run) = match member {
        Some(member) => (
            Duration::from_millis(member.isolation_limit_ms),
            Duration::from_millis(member.max_run_ms),
        ),
        None => (MAX_ISOLATION_LIMIT, current),
    };
    ReclaimLimits {
        isolation_limit,
        lease: LEASE,
        max_run: max_run.max(current) + ABORT_GRACE,
    }
}

fn incarnation_of(member: &Member) -> Option<Incarnation> {
    let number = u128::from_str_radix(&member.incarnation, 16).ok()?;
    Some(Incarnation(number))
}

/// Returns the store key of a registration.
fn key_of(member: &Member) -> Option<String> {
    let incarnation = dotterelsill_revision::Incarnation(incarnation_of(member)?.0);
    let suffix = key_suffix(&member.instance, incarnation);
    Some(format!("{MEMBER_PREFIX}{suffix}"))
}

/// Marks a registration as fenced.
async fn fence(shared: &Shared, member: &Member) {
    let fenced = Member {
        state: "fenced".to_owned(),
        ..member.clone()
    };
    let Some(key) = key_of(member) else {
        return;
    };
    let written = async {
        let version = shared
            .store
            .get(&key)
            .await?
            .map_or(0, |entry| entry.version);
        shared
            .store
            .put(&key, fenced.encode_to_vec(), version, 0)
            .await
    };
    match written.await {
        Ok(_) => log::info!(instance = member.instance, incarnation = member.incarnation; "fenced"),
        Err(error) => log::debug!(key, error:%; "not_fenced"),
    }
}

/// Deletes the registration of a fenced incarnation that holds no more credits.
async fn delete(shared: &Shared, member: &Member) {
    let Some(key) = key_of(member) else {
        return;
    };
    let deleted = async {
        let version = shared
            .store
            .get(&key)
            .await?
            .map_or(0, |entry| entry.version);
        shared.store.delete(&key, version).await
    };
    if let Err(error) = deleted.await {
        log::debug!(key, error:%; "member_not_deleted");
    }
}

/// Frees the credits of incarnations that are proven to be gone.
async fn reclaim_credits(shared: &Shared, gone: &[ReclaimProof]) {
    let Ok(records) = ledgers::list(shared).await else {
        return;
    };
    for (team, (version, ledger)) in records {
        let Some(ledger) = ledger else {
            continue;
        };
        let freed = gone
            .iter()
            .fold(ledger.clone(), |ledger: Ledger, gone| ledger.reclaim(gone));
        if freed != ledger
            && ledgers::write(shared, &team, version, &freed)
                .await
                .is_some()
        {
            let credits = ledger.held_total() - freed.held_total();
            log::info!(team, credits; "credits_reclaimed");
        }
    }
}
