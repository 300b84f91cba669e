//! Registration of workers, their leases, and their end.

use std::time::Duration;

use crate::{
    given_up::{
        Evidence,
        GivenUpReason, //
    },
    granted::MAX_ORDER_DELAY,
    unread_places::UnreadPlaces,
    worker::Worker,
    Acknowledgement,
    JobId,
    ProcessedEnds,
    Recipient,
    Resources,
    Scheduler,
    StartTerms,
    TaskId,
    WorkerKey,
    WorkerReport, //
};

impl Scheduler {
    /// Handles a worker's registration; returns its key and whether a new
    /// connection to it is needed.
    pub fn on_report(&mut self, report: WorkerReport, now: Duration) -> (WorkerKey, bool) {
        self.needs_plan = true;
        if let Some(&key) = self.by_id.get(&report.id) {
            let longest = self.limits.max_lease;
            let worker = self.workers.get_mut(&key).expect("by_id names workers");
            let is_moved = worker.report.address != report.address;
            if !worker.on_started(report.started_unix_ms, None, longest, now) {
                return (key, false);
            }
            worker.set_report(report);
            worker.is_listed = true;
            self.settle_late_starts(key);
            return (key, is_moved);
        }
        let key = self.new_worker(report, now);
        (key, true)
    }

    /// Handles the disappearance of a worker's registration. Its runs count as
    /// active until its lease has certainly ended.
    pub fn on_unlisted(&mut self, id: &str, now: Duration) {
        if let Some(worker) = self.by_id.get(id).and_then(|key| self.workers.get_mut(key)) {
            if worker.is_listed {
                log::info!(worker = id, runs = worker.booked.len() as u64; "worker_unlisted");
                worker.is_listed = false;
                worker.unlisted_at = now;
            }
        }
    }

    /// Returns the identifier and the address of a worker.
    pub fn worker_address(&self, key: WorkerKey) -> Option<(&str, &str)> {
        let report = &self.workers.get(&key)?.report;
        Some((&report.id, &report.address))
    }

    /// Returns whether a worker is still known.
    pub fn has_worker(&self, key: WorkerKey) -> bool {
        self.workers.contains_key(&key)
    }

    /// Returns what to send with the start of a booked run. Returns `None` while the
    /// worker does not answer: a new incarnation may answer next, which knows no fencing
    /// token yet, so its status must be read first.
    pub fn start_terms(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        may_extend: bool,
        now: Duration,
    ) -> Option<StartTerms> {
        let is_silent = self.workers.get(&key).is_none_or(Worker::is_silent);
        if is_silent {
            return None;
        }
        let lease_end_ms = self.lease_end(key, may_extend, now)?;
        let worker = self.workers.get_mut(&key)?;
        let recipient = if worker.life.keeps_connections {
            Recipient::Life {
                started_unix_ms: worker.life.started_unix_ms,
            }
        } else if !worker.may_grant {
            // The next scheduler must know that the start may reach a later life.
            return None;
        } else {
            if let Some(booked) = worker.booked.get_mut(&task) {
                booked.unbound_until = Some(now + MAX_ORDER_DELAY);
            }
            Recipient::AnyLife
        };
        Some(StartTerms {
            lease_end_ms,
            recipient,
        })
    }

    /// Handles that a start was not sent because the life that was to get it closes its
    /// connections after each answer. Further starts go to it over any connection, once
    /// the record of workers that may run tasks says so.
    pub fn on_connection_not_kept(&mut self, key: WorkerKey, started_unix_ms: u64) {
        if let Some(worker) = self.workers.get_mut(&key) {
            let is_present = worker.life.started_unix_ms == started_unix_ms;
            if is_present && worker.life.keeps_connections {
                log::warn!(worker = worker.report.id, born = started_unix_ms; "connections_not_kept");
                worker.life.keeps_connections = false;
                worker.may_grant = false;
            }
        }
    }

    /// Returns the end of the lease to send with a status request, on the worker's
    /// clock. The lease is extended only while this scheduler holds its authority
    /// and the worker answers.
    pub fn lease_end(&mut self, key: WorkerKey, may_extend: bool, now: Duration) -> Option<u64> {
        let lease = self.limits.lease;
        let worker = self.workers.get_mut(&key)?;
        // A request to a silent worker may still be executed. Extending the lease
        // with it would mean that the lease never certainly ends.
        if may_extend && worker.may_grant && !worker.is_silent() {
            worker.life.grant(lease, now)
        } else {
            worker.life.granted()
        }
    }

    /// Returns the number up to which a worker may discard its ends.
    pub fn acknowledged(&self, key: WorkerKey) -> u64 {
        // After a silence a new incarnation may answer, which counts its ends from
        // 1 again.
        self.workers
            .get(&key)
            .filter(|worker| !worker.is_silent())
            .map_or(0, |worker| worker.life.acknowledged_end)
    }

    /// Returns the acknowledgement to send with a status request, which is logged when
    /// its number rises.
    pub fn acknowledgement(&mut self, key: WorkerKey) -> Acknowledgement {
        let number = self.acknowledged(key);
        let Some(worker) = self.workers.get_mut(&key) else {
            return Acknowledgement::default();
        };
        let started_unix_ms = worker.life.started_unix_ms;
        let sent = worker.life.sent_acknowledgement;
        if number > sent {
            log::info!(
                worker = worker.report.id, born = started_unix_ms, sent, number;
                "acknowledgement_raised"
            );
            worker.life.sent_acknowledgement = number;
        }
        Acknowledgement {
            started_unix_ms,
            number,
        }
    }

    /// Logs that a status request with an acknowledgement was answered by another life
    /// than the one whose ends it counts. The acknowledgement itself is sent only over a
    /// connection on which its life has answered. `answered_by` is the start time that
    /// the response carries.
    pub fn check_acknowledgement(&self, key: WorkerKey, sent: &Acknowledgement, answered_by: u64) {
        let is_other = answered_by != 0 && answered_by != sent.started_unix_ms;
        if sent.number == 0 || !is_other {
            return;
        }
        if let Some(worker) = self.workers.get(&key) {
            log::warn!(
                worker = worker.report.id, number = sent.number,
                born = sent.started_unix_ms, answered_by;
                "request_reached_other_life"
            );
        }
    }

    /// Returns the ends of a worker that need not be listed to this scheduler again.
    pub fn processed_ends(&self, key: WorkerKey) -> ProcessedEnds {
        let worker = self.workers.get(&key);
        worker.map_or(ProcessedEnds::default(), |worker| ProcessedEnds {
            started_unix_ms: worker.life.started_unix_ms,
            number: worker.life.processed_end,
        })
    }

    /// Returns whether ends of a worker are waiting to be stored.
    pub fn has_pending_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| !worker.life.pending_ends.is_empty())
    }

    /// Returns whether a worker has something to report: runs, ends that are not
    /// acknowledged, or a new life that must refuse a late start.
    pub fn is_busy(&self, key: WorkerKey) -> bool {
        self.workers.get(&key).is_some_and(|worker| {
            !worker.booked.is_empty()
                || !worker.life.pending_ends.is_empty()
                || worker.may_have_late_starts()
        })
    }

    /// Returns whether a worker's status must be read before it gets tasks, because
    /// its lease has lapsed or its last call was not answered.
    pub fn needs_status(&self, key: WorkerKey) -> bool {
        self.workers.get(&key).is_some_and(Worker::needs_status)
    }

    /// Returns the workers whose status must be read before they get tasks. The caller
    /// has to poll each of them, whatever made its status outdated: a restart, the end
    /// of its lease, or a call without an answer.
    pub fn unread_workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        let unread = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.needs_status());
        unread.map(|(&key, _)| key)
    }

    /// Returns whether a worker runs both serving and filler tasks.
    pub fn has_serving_and_filler(&self, key: WorkerKey) -> bool {
        self.workers.get(&key).is_some_and(|worker| {
            let mut booked = worker.booked.values();
            worker.booked.values().any(|run| run.target.is_some())
                && booked.any(|run| run.is_filler)
        })
    }

    /// Returns whether the last call to a worker was not answered.
    pub fn is_silent(&self, key: WorkerKey) -> bool {
        self.workers.get(&key).is_some_and(Worker::is_silent)
    }

    /// Handles a call to a worker that was not answered; the worker gets no new
    /// tasks until it answers.
    pub fn on_silence(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            let was_silent = worker.is_silent();
            worker.on_silence(now);
            if !was_silent {
                let age_ms = now.saturating_sub(worker.answered_at).as_millis() as u64;
                log::warn!(worker = worker.report.id, age_ms; "worker_silent");
                self.settle_late_starts(key);
            }
        }
    }

    /// Ends the runs of workers whose leases have certainly ended, and removes
    /// workers that are gone. Returns the keys of the removed workers.
    pub fn expire_leases(&mut self, now: Duration) -> Vec<WorkerKey> {
        self.late_orders.retain(|_, (_, until)| now < *until);
        self.expire_late_starts(now);
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_run_to_end(now) || worker.is_gone(now))
            .filter(|(_, worker)| worker.has_lapsed(now))
            .map(|(&key, _)| key)
            .collect();
        let mut removed = Vec::new();
        for key in lapsed {
            let worker = &self.workers[&key];
            let is_listed = worker.is_listed;
            if !worker.booked.is_empty() || !is_listed {
                let silent_ms = now.saturating_sub(worker.answered_at).as_millis() as u64;
                log::warn!(
                    worker = worker.report.id, runs = worker.booked.len() as u64, silent_ms,
                    is_listed; "lease_lapsed"
                );
            }
            let evidence = match worker.life.ended_at() {
                Some(at) => Evidence {
                    reason: GivenUpReason::LifeEnded,
                    at,
                },
                None => Evidence {
                    reason: GivenUpReason::LeaseLapsed,
                    at: worker.life.clock_read_at().unwrap_or(worker.answered_at),
                },
            };
            self.end_worker_runs(key, evidence, now);
            if self.workers[&key].is_gone(now) {
                self.remove_worker(key);
                removed.push(key);
            }
        }
        removed
    }

    /// Handles an answer of another worker at an address of a worker, to a call that
    /// was sent at `sent_at`. The worker has ended, unless it moved or restarted since.
    pub fn on_other_worker(
        &mut self,
        key: WorkerKey,
        address: &str,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        if worker.report.address != address || sent_at <= worker.life.since {
            log::info!(worker = worker.report.id, address; "answer_of_earlier_address_ignored");
            return;
        }
        log::info!(worker = worker.report.id; "worker_replaced");
        let evidence = Evidence {
            reason: GivenUpReason::OtherWorker,
            at: sent_at,
        };
        self.on_worker_ended(key, evidence, now);
    }

    /// Handles the certain end of a worker incarnation and all of its runs.
    pub(crate) fn on_worker_ended(&mut self, key: WorkerKey, evidence: Evidence, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_listed = false;
            worker.life.end(now);
            self.end_worker_runs(key, evidence, now);
        }
    }

    /// Ends the runs of a worker that certainly runs nothing any more, except for those
    /// that a later life may begin by a start that was sent before. Such a run ends once
    /// that life has answered a stop, or the start can no longer be carried out.
    fn end_worker_runs(&mut self, key: WorkerKey, evidence: Evidence, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.life.is_known = false;
        self.needs_plan = true;
        let mut booked = worker.booked.values();
        let has_late_run = booked.any(|booked| booked.may_reach_later_life(now));
        if has_late_run || !worker.late_starts.is_empty() {
            let late = (worker.granted_record(), now + MAX_ORDER_DELAY);
            self.late_orders.insert(worker.report.id.clone(), late);
        }
        let runs: Vec<(TaskId, u64)> = worker
            .booked
            .iter()
            .filter(|(_, booked)| !booked.may_reach_later_life(now))
            .map(|(task, booked)| (*task, booked.attempt))
            .collect();
        for (task, attempt) in runs {
            self.lapse_run(key, task, attempt, evidence, now);
        }
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(&key) {
            if self.by_id.get(&worker.report.id) == Some(&key) {
                self.by_id.remove(&worker.report.id);
            }
        }
    }

    /// Returns the places of workers that may have active runs of an earlier scheduler,
    /// because their status was not read.
    pub(crate) fn unread_places(&self, now: Duration) -> UnreadPlaces {
        let mut places = UnreadPlaces::default();
        let workers = self.workers.values();
        let unread = workers.filter(|worker| self.may_run_unseen(worker, now));
        unread.for_each(|worker| places.add(worker));
        places
    }

    /// Returns the number of workers of a pool, or of an unknown one, that may have active
    /// runs of an earlier scheduler.
    pub(crate) fn unread_workers_of(&self, pool: &str, now: Duration) -> usize {
        let unread = self.workers.values().filter(|worker| {
            let is_of_pool = worker.report.pool.is_empty() || worker.report.pool == pool;
            is_of_pool && self.may_run_unseen(worker, now)
        });
        unread.count()
    }

    pub(crate) fn workspace_of(&self, id: JobId) -> Option<String> {
        self.jobs.get(&id)?.spec.workspace.clone()
    }

    pub(crate) fn add_usage(&mut self, workspace: Option<String>, resources: &Resources) {
        if let Some(workspace) = workspace {
            self.usage.entry(workspace).or_default().add(resources);
        }
    }
}
