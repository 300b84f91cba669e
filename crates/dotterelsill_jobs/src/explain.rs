//! Explanations for operators: why the tasks of a job run, wait or have ended.

use std::{
    fmt::Write as _,
    time::Duration, //
};

use crate::{
    job::{
        Job,
        StepState,
        Task, //
    },
    job_life::steps_of,
    placement::{
        Candidate,
        PlacementRequest, //
    },
    shortage::{
        Class,
        JobOccurrence,
        Placed, //
    },
    Resources,
    Scheduler,
    StepId, //
};

impl Scheduler {
    /// Returns a text with one line for the job, one for each step of its open
    /// occurrences and one for each run; `None` if the job is not known.
    pub fn explain(&self, id: crate::JobId, now: Duration) -> Option<String> {
        let Some(job) = self.jobs.get(&id) else {
            let state = self.restored_state(id)?;
            let phase = format!("{:?}", state.phase).to_lowercase();
            return Some(format!("job {id}: {phase} under an earlier scheduler\n"));
        };
        let age_ms = now.saturating_sub(job.known_at).as_millis();
        let home = job.bound_to().unwrap_or("any");
        let mut text = format!(
            "job {id}: {}, on queue {}, known for {age_ms} ms, home {home}, {}\n",
            format!("{:?}", job.phase).to_lowercase(),
            job.spec.queue,
            if self.is_stored(id) {
                "stored"
            } else {
                "not stored yet"
            },
        );
        let queue = self.configuration.queue_of_job(&job.spec);
        let shortage = queue.and_then(|queue| self.shortage.get(&queue.pool));
        for step in steps_of(job) {
            let id = JobOccurrence::of(step);
            let placed = shortage.and_then(|shortage| shortage.placed.get(&id));
            let is_shown = |placed: &&Placed| placed.placing.class != Class::OnTime;
            if let Some(placed) = placed.filter(is_shown).filter(|_| step.step == 0) {
                let (class, term) = (placed.placing.class.name(), placed.placing.term.name());
                let since = placed.deferred_since.unwrap_or(now);
                let deferred_ms = now.saturating_sub(since).as_millis();
                // Writing to a `String` cannot fail.
                let _ = writeln!(
                    text,
                    "occurrence {}: class {class} by {term}, deferred for {deferred_ms} ms",
                    step.occurrence
                );
            }
            let state = &job.occurrences[&step.occurrence].steps[step.step as usize];
            self.explain_step(&mut text, job, step, state, now);
        }
        Some(text)
    }

    fn explain_step(
        &self,
        text: &mut String,
        job: &Job,
        id: StepId,
        state: &StepState,
        now: Duration,
    ) {
        let waiting = state.tasks.waiting();
        let changed = state.tasks.changed();
        let running = changed.iter().filter(|task| !task.runs.is_empty());
        let failed: usize = changed.iter().map(|t| t.failed_attempts.len()).sum();
        // Writing to a `String` cannot fail.
        let _ = write!(
            text,
            "step {}.{}: {} tasks, {} done, {} running, {waiting} waiting, {failed} failed runs",
            id.occurrence,
            id.step,
            state.tasks.len(),
            state.done,
            running.count(),
        );
        let reason = (waiting > 0 && job.is_open()).then(|| self.why_waiting(job, id, state, now));
        let _ = match reason {
            Some(reason) => writeln!(text, "; waits for {reason}"),
            None => writeln!(text),
        };
        for (index, task) in changed.iter().enumerate() {
            for run in &task.runs {
                let worker = self.workers.get(&run.worker);
                let worker = worker.map_or("a worker that is gone", |w| w.report.id.as_str());
                let age_ms = now.saturating_sub(run.ordered_at).as_millis();
                let _ = writeln!(
                    text,
                    "  {} attempt {} on {worker}: {:?} for {age_ms} ms, {}%{}",
                    id.task(index as u32),
                    run.attempt,
                    run.state,
                    run.percent,
                    self.describe_run(job, id.task(index as u32), run, now)
                );
            }
        }
    }

    /// Returns what the waiting tasks of a step wait for, checked in the same order
    /// as in planning.
    pub(crate) fn why_waiting(
        &self,
        job: &Job,
        id: StepId,
        state: &StepState,
        now: Duration,
    ) -> String {
        let step = &job.spec.steps[id.step as usize];
        if !job.is_ready(id) {
            return format!("the steps {:?}", step.after);
        }
        let Some(queue) = self.configuration.queue_of_job(&job.spec) else {
            return format!("queue {}, which is not configured", job.spec.queue_key());
        };
        let unread_places = self.unread_places(now);
        if job.waits_for_unread_workers(&unread_places) {
            return format!("the lists of workers of {unread_places}, which may run its tasks");
        }
        if !job.may_start_in(&queue.pool) {
            return format!("the store, to note that it may run in pool {}", queue.pool);
        }
        let is_paused = |task: &Task| task.not_before > now;
        let mut waiting = state.tasks.iter().filter(|task| task.is_waiting());
        if waiting.all(is_paused) {
            return "the pause after a failed run".to_owned();
        }
        let mut waiting = state.tasks.iter().filter(|task| task.is_waiting());
        if !self.has_authority && waiting.all(|task| task.needs_authority) {
            return "the scheduler's lease, since a later scheduler may have seen them end"
                .to_owned();
        }
        let resources = step.counted_resources();
        if !self.is_within_cap(job.spec.workspace.as_deref(), &resources) {
            let workspace = job.spec.workspace.as_deref().unwrap_or_default();
            return format!("the limit of workspace {workspace}");
        }
        if self
            .valid_tickets(id, now)
            .is_some_and(|valid| valid.is_empty())
        {
            return "the advisor, who has allowed no worker yet".to_owned();
        }
        let usable = self.candidates_of(&queue.pool, now);
        let usable = usable.list();
        let fits = |free: &Resources| free.fits(&Resources::default(), &resources);
        let fitting: Vec<&Candidate> = usable
            .iter()
            .filter(|candidate| fits(&candidate.free))
            .collect();
        let tickets = self.valid_tickets(id, now);
        let request = PlacementRequest::of(job, id, tickets.as_ref());
        let may_run = |candidate: &&&Candidate| {
            let worker = &self.workers[&candidate.key];
            worker.is_in(job.bound_to()) && request.allows(candidate.key, worker)
        };
        format!(
            "room: {} workers of pool {} take tasks, {} of them have the room, {} of these may run the step",
            usable.len(),
            queue.pool,
            fitting.len(),
            fitting.iter().filter(may_run).count()
        )
    }
}
