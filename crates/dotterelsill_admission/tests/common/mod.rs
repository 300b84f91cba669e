//! Driver in virtual time, shared by the tests.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_admission::{
    FairQueue,
    Gate,
    Pushed,
    Refusal,
    Request,
    RunOutcome,
    RunningRequest,
    Team,
    TeamShare,
    Teams, //
};

/// Origin of requests: index of the team, and urgency.
pub(crate) type Source = (usize, u32);

/// Service whose requests run in virtual time.
pub(crate) struct Service {
    pub(crate) gate: Arc<Gate>,
    pub(crate) teams: Teams,
    pub(crate) queue: FairQueue<Source>,
    pub(crate) now: Instant,
    running: BTreeMap<(Instant, u64), RunningRequest>,
    started: u64,
}

impl Service {
    /// Creates a service with one team per share.
    pub(crate) fn new(slots: u32, shares_percent: &[u32], max_per_team: usize) -> Self {
        let now = Instant::now();
        let gate = Arc::new(Gate::new(slots, now));
        let teams = Teams::new(&shares(shares_percent), now);
        Self {
            queue: FairQueue::new(&gate, &teams, max_per_team),
            gate,
            teams,
            now,
            running: BTreeMap::new(),
            started: 0,
        }
    }

    pub(crate) fn team(&self, index: usize) -> &Arc<Team> {
        self.teams
            .iter()
            .nth(index)
            .expect("the team is configured")
    }

    /// Pushes a request whose deadline is `timeout` from now.
    pub(crate) fn push(
        &mut self,
        source: Source,
        timeout: Duration,
    ) -> Result<Pushed<Source>, Refusal> {
        let request = Request {
            team: Arc::clone(self.team(source.0)),
            urgency: source.1,
            deadline: self.now + timeout,
            payload: source,
        };
        let pushed = self.queue.push(request, self.now);
        pushed.map_err(|(refusal, _)| refusal)
    }

    /// Starts waiting requests while slots are free, and returns their sources.
    pub(crate) fn start(&mut self, run_time: impl Fn(Source) -> Duration) -> Vec<Source> {
        let mut refused = Vec::new();
        let mut sources = Vec::new();
        while let Some(started) = self.queue.pop_next(self.now, |_| true, &mut refused) {
            let end = self.now + run_time(started.payload);
            self.started += 1;
            self.running.insert((end, self.started), started.running);
            sources.push(started.payload);
        }
        sources
    }

    /// Advances the time to the next end of a run and finishes that request.
    pub(crate) fn finish_next(&mut self) {
        let ((end, _), running) = self.running.pop_first().expect("a request runs");
        self.now = end;
        self.queue.finish(running, RunOutcome::Answered, end);
    }

    /// Runs for `duration` while requests of each source are always waiting.
    /// Returns the part of the slot time that each team used, in percent.
    pub(crate) fn overload(
        &mut self,
        duration: Duration,
        sources: &[Source],
        run_time: impl Fn(Source) -> Duration,
    ) -> Vec<f64> {
        let before = self.used();
        let end = self.now + duration;
        for source in sources {
            for _ in 0..self.gate.capacity() + 2 {
                self.push(*source, NO_DEADLINE).expect("the queue has room");
            }
        }
        while self.now < end {
            for source in self.start(&run_time) {
                self.push(source, NO_DEADLINE).expect("the queue has room");
            }
            self.finish_next();
        }
        let used: Vec<f64> = self
            .used()
            .iter()
            .zip(before)
            .map(|(after, before)| after - before)
            .collect();
        let total: f64 = used.iter().sum();
        used.iter().map(|used| used * 100.0 / total).collect()
    }

    fn used(&self) -> Vec<f64> {
        let used = |team: &Arc<Team>| team.used(self.now).as_secs_f64();
        self.teams.iter().map(used).collect()
    }
}

/// Timeout that no test reaches.
pub(crate) const NO_DEADLINE: Duration = Duration::from_secs(1_000_000);

/// Returns one team per percentage, named by index.
pub(crate) fn shares(percents: &[u32]) -> Vec<TeamShare> {
    let share = |(index, percent): (usize, &u32)| TeamShare {
        name: format!("team{index}"),
        share_percent: *percent,
    };
    percents.iter().enumerate().map(share).collect()
}

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
