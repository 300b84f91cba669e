//! Queues and services of one configuration revision.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Instant, //
};

use async_channel::Sender;
use async_io::Timer;
use dotterelsill_admission::{
    RunOutcome,
    Team,
    Teams, //
};
use dotterelsill_escrow::credit_release_time;
use dotterelsill_proto::config::{
    self,
    Queue, //
};
use dotterelsill_revision::WhenIsolated;
use dotterelsill_routing::{
    LatencyHistogram,
    Upstream,
    UpstreamSet, //
};

use crate::{
    attempt::{
        AttemptResult,
        NotRun,
        Reservation, //
    },
    burn::Counts,
    metrics::QueueMetrics,
    pool::Pool,
    service::Service, //
};

/// A service with the upstreams of one revision.
pub(crate) struct ServicePlan {
    pub(crate) set: UpstreamSet,
    pub(crate) service: Arc<Service>,
    /// Request counts by team.
    pub(crate) counts: HashMap<String, Arc<Counts>>,
    /// Connection pools by name of upstream.
    pools: HashMap<String, Arc<Pool>>,
}

impl ServicePlan {
    /// Creates the plan. Pools of upstreams whose address is unchanged, and counts
    /// of teams that still exist, are taken over from the previous revision.
    pub(crate) fn new(
        set: UpstreamSet,
        service: Arc<Service>,
        teams: &Teams,
        previous: Option<&ServicePlan>,
    ) -> Self {
        let pool = |upstream: &Arc<Upstream>| {
            // The configuration check has already parsed every address.
            let address: SocketAddr = upstream.address().parse().ok()?;
            let kept = previous
                .and_then(|previous| previous.pools.get(upstream.name()))
                .filter(|pool| pool.address() == address);
            let pool = kept
                .cloned()
                .unwrap_or_else(|| Arc::new(Pool::new(address)));
            Some((upstream.name().to_owned(), pool))
        };
        let pools = set.upstreams().iter().filter_map(pool).collect();
        let counts = |team: &Arc<Team>| {
            let kept = previous.and_then(|previous| previous.counts.get(team.name()));
            (team.name().to_owned(), kept.cloned().unwrap_or_default())
        };
        Self {
            set,
            service,
            counts: teams.iter().map(counts).collect(),
            pools,
        }
    }

    /// Returns the connection pool of an upstream of this plan.
    ///
    /// # Panics
    ///
    /// Panics if the upstream is not part of this plan.
    pub(crate) fn pool(&self, upstream: &Upstream) -> &Arc<Pool> {
        &self.pools[upstream.name()]
    }

    /// Adjusts the number of slots to the upstreams that are usable now, and refuses
    /// waiting requests that can no longer meet their deadline.
    pub(crate) fn maintain(&self, now: Instant) {
        self.service.set_capacity(self.set.capacity(now));
        self.service.expire(now);
    }

    /// Releases the reservation of an attempt that has ended.
    pub(crate) fn end(&self, reservation: Reservation, outcome: RunOutcome) {
        match reservation {
            Reservation::Permit(permit) => self.service.finish(permit, outcome),
            Reservation::Credit(credit) => {
                drop(credit);
                self.service.start_waiting();
            }
        }
    }

    /// Releases the service's slot after an aborted run, and keeps the credit until
    /// the upstream has certainly stopped.
    pub(crate) async fn end_aborted(&self, reservation: Reservation, run_end: Instant) {
        let credit = match reservation {
            Reservation::Permit(mut permit) => {
                let credit = permit.credit.take();
                self.service.finish(permit, RunOutcome::Aborted);
                credit
            }
            Reservation::Credit(credit) => credit,
        };
        if credit.is_some() {
            Timer::at(credit_release_time(run_end)).await;
            drop(credit);
            self.service.start_waiting();
        }
    }

    /// Returns the reservation of an attempt that ran nothing to the request that
    /// waits, or releases it if that request has ended.
    pub(crate) fn return_reservation(
        &self,
        reservation: Reservation,
        reason: String,
        upstream: &Upstream,
        result: &Sender<AttemptResult>,
    ) {
        let not_run = NotRun {
            reason,
            reservation,
            avoid: upstream.name().to_owned(),
        };
        if let Err(error) = result.try_send(AttemptResult::NotRun(not_run)) {
            if let AttemptResult::NotRun(not_run) = error.into_inner() {
                self.end(not_run.reservation, RunOutcome::NotRun);
            }
        }
    }
}

/// A queue with the plan of its service.
pub(crate) struct QueuePlan {
    pub(crate) queue: Queue,
    pub(crate) service: Arc<ServicePlan>,
    /// Latencies of this queue alone. With one histogram for a service that has
    /// short and long work, every long request would be hedged.
    pub(crate) latency: Arc<LatencyHistogram>,
    pub(crate) metrics: QueueMetrics,
}

impl QueuePlan {
    /// Returns whether the queue is served while this instance is isolated. By
    /// default a repeatable queue is served and any other is not.
    pub(crate) fn when_isolated(&self) -> WhenIsolated {
        match self.queue.when_isolated() {
            config::WhenIsolated::Serve => WhenIsolated::Serve,
            config::WhenIsolated::Refuse => WhenIsolated::Refuse,
            config::WhenIsolated::Default if self.queue.repeatable => WhenIsolated::Serve,
            config::WhenIsolated::Default => WhenIsolated::Refuse,
        }
    }
}
