//! Workers on which runs are much slower than expected.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    is_measured,
    speed::{
        RunSpeed,
        Verdict, //
    },
};
use crate::{
    job::Job,
    Run,
    RunState,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerStatus, //
};

/// Number of different tasks whose runs must be slow at the same time for their worker to
/// be slow. A single slow run may be a straggler.
const MIN_SLOW_TASKS: usize = 2;

/// Minimum number of slow runs for each run of usual speed on a slow worker. At any moment
/// about a sixth of the runs are stragglers, if 3% take 7 times as long.
const SLOW_PER_USUAL: usize = 3;

/// Time for which a worker stays slow after it has last shown this. It covers two status
/// calls, the second of which shows the speed of tasks that were started meanwhile.
const SLOW_HOLD: Duration = Duration::from_secs(3);

/// Time for which the end of a run counts beside the runs that are active.
const END_AGE: Duration = Duration::from_secs(1);

/// Shortest wait of a status call, as each call has a cost for the scheduler.
const MIN_STATUS_WAIT: Duration = Duration::from_millis(250);

/// Maximum number of ends that are kept for a worker.
const MAX_ENDS: usize = 8;

/// What the runs of one life of a worker show about its speed.
#[derive(Debug, Default)]
pub(crate) struct WorkerSpeed {
    /// Latest ends of runs and their verdicts.
    ends: VecDeque<(Duration, Verdict)>,
    /// Time at which the speed of a run was last known.
    pub(super) judged_at: Option<Duration>,
    /// Time since which the worker is slow, if it is.
    pub(super) slow_since: Duration,
    slow_until: Duration,
}

impl WorkerSpeed {
    /// Returns whether the worker is slow.
    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        now < self.slow_until
    }

    /// Records the end `done` of a run.
    fn on_end(&mut self, verdict: Verdict, now: Duration) {
        if self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((now, verdict));
    }

    /// Judges the worker by the numbers of its active runs that are slow and usual;
    /// returns whether it is newly slow.
    fn judge(&mut self, slow: usize, usual: usize, now: Duration) -> bool {
        let is_old = |(at, _): &(Duration, Verdict)| now.saturating_sub(*at) > END_AGE;
        while self.ends.front().is_some_and(is_old) {
            self.ends.pop_front();
        }
        let ended = |verdict| self.ends.iter().filter(|end| end.1 == verdict).count();
        let slow = slow + ended(Verdict::Slow);
        let usual = usual + ended(Verdict::Usual);
        if slow + usual > 0 {
            self.judged_at = Some(now);
        }
        if slow < MIN_SLOW_TASKS || slow < usual * SLOW_PER_USUAL {
            return false;
        }
        let is_new = !self.is_slow(now);
        if is_new {
            self.slow_since = now;
        }
        self.slow_until = now + SLOW_HOLD;
        is_new
    }
}

impl Scheduler {
    /// Returns the number of workers on which runs are much slower than expected.
    pub fn slow_workers(&self) -> usize {
        self.slow_workers.len()
    }

    /// Measures the runs that a worker lists, and judges the worker by them.
    pub(crate) fn judge_worker(&mut self, key: WorkerKey, status: &WorkerStatus, now: Duration) {
        let (mut slow, mut usual) = (0, 0);
        for listed in &status.running {
            let task = listed.task;
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let Some(step) = job.spec.steps.get(task.step.step as usize) else {
                continue;
            };
            if !is_measured(step) {
                continue;
            }
            let queue = job.spec.queue_key();
            let expected = self.run_times.expected(queue, &step.image, step.estimated);
            let Some(run) = self.run_mut(key, task, listed.attempt) else {
                continue;
            };
            if run.state == RunState::Stopping {
                continue;
            }
            run.speed
                .on_progress(listed.percent, &listed.checkpoint, status.read_at, expected);
            match run.speed.verdict(now) {
                Some(Verdict::Slow) => {
                    slow += 1;
                    self.stragglers.tasks.insert(task);
                }
                Some(Verdict::Usual) => usual += 1,
                None => {}
            }
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if worker.life.speed.judge(slow, usual, now) {
            log::info!(
                worker = worker.report.id, pool = worker.report.pool, slow_runs = slow as u64,
                usual_runs = usual as u64;
                "worker_slow"
            );
            self.slow_workers.insert(key);
        }
    }

    /// Records the run time of a run that has ended `done`.
    pub(crate) fn note_run_time(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        speed: &RunSpeed,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let step = job.spec.steps.get(task.step.step as usize);
        let Some(step) = step.filter(|step| is_measured(step)) else {
            return;
        };
        let (queue, image, estimated) = (job.spec.queue_key(), &step.image, step.estimated);
        let expected = self.run_times.expected(queue, image, estimated);
        if let (Some(worker), Some(verdict)) = (
            self.workers.get_mut(&key),
            speed.verdict_at_end(now, expected),
        ) {
            worker.life.speed.on_end(verdict, now);
        }
        if let Some(measured) = speed.whole_time(now) {
            self.run_times.on_done(queue, image, estimated, measured);
        }
    }

    /// Returns for how long a status call may wait for the end of a run: at most `longest`,
    /// and shorter if a run is overdue before, as its progress then shows whether it is
    /// slow. It is shortened once for each run.
    pub fn status_wait(&self, key: WorkerKey, longest: Duration, now: Duration) -> Duration {
        let Some(worker) = self.workers.get(&key) else {
            return longest;
        };
        let until_overdue = worker.booked.iter().filter_map(|(task, booked)| {
            let job = self.jobs.get(&task.step.job)?;
            let expected = self.expected_run_time(job, *task)?;
            let occurrence = job.occurrences.get(&task.step.occurrence)?;
            let tasks = &occurrence.steps[task.step.step as usize].tasks;
            let mut runs = tasks.get(task.index as usize)?.runs.iter();
            let run = runs.find(|run| run.attempt == booked.attempt)?;
            run.speed.time_until_overdue(expected, now)
        });
        let shortest = until_overdue.min().unwrap_or(longest);
        shortest.clamp(MIN_STATUS_WAIT.min(longest), longest)
    }

    /// Returns the time that a run of a task is expected to take; `None` if runs of the
    /// step are not measured.
    pub(crate) fn expected_run_time(&self, job: &Job, task: TaskId) -> Option<Duration> {
        let step = job.spec.steps.get(task.step.step as usize)?;
        let expected = || {
            let (queue, image) = (job.spec.queue_key(), &step.image);
            self.run_times.expected(queue, image, step.estimated)
        };
        is_measured(step).then(expected)
    }

    /// Describes a run for operators; empty if it is not measured.
    pub(crate) fn describe_run(&self, job: &Job, task: TaskId, run: &Run, now: Duration) -> String {
        let mut text = String::new();
        if let Some(expected) = self.expected_run_time(job, task) {
            text += &format!(", {}", run.speed.describe(expected, now));
        }
        let worker = self.workers.get(&run.worker);
        if worker.is_some_and(|worker| worker.life.speed.is_slow(now)) {
            text += ", on a slow worker";
        }
        if run.is_copy {
            text += ", a copy of a slow run";
        }
        text
    }

    /// Forgets and logs the workers that are no longer slow.
    pub(crate) fn clear_slow_workers(&mut self, now: Duration) {
        let workers = &self.workers;
        self.slow_workers.retain(|key| {
            let Some(worker) = workers.get(key) else {
                return false;
            };
            let speed = &worker.life.speed;
            let is_slow = speed.is_slow(now);
            if !is_slow {
                let slow_ms = now.saturating_sub(speed.slow_since).as_millis() as u64;
                log::info!(worker = worker.report.id, slow_ms; "worker_slow_cleared");
            }
            is_slow
        });
    }
}
