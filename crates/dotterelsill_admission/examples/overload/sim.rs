//! Discrete-event simulation in virtual time.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_admission::{
    RunOutcome,
    RunningRequest, //
};
use dotterelsill_routing::{
    AttemptConstraints,
    AttemptOutcome,
    ServiceSpec,
    Slot,
    UpstreamSet,
    UpstreamSpec, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use crate::{
    report::Report,
    waiting::{
        Job,
        Order,
        Waiting, //
    },
    workload::{
        sources,
        Source,
        SLOTS_PER_UPSTREAM,
        UPSTREAMS, //
    }, //
};

/// Simulated time before the measurement starts, in seconds.
pub(crate) const WARM_UP_S: u64 = 60;

/// Event of the simulation.
enum Event {
    /// A request of the source with this index arrives.
    Arrival(usize),
    /// A run ends.
    End(Box<(Job, RunningRequest, Slot)>),
}

/// State of one simulated run.
pub(crate) struct Sim {
    random: SmallRng,
    sources: Vec<Source>,
    waiting: Waiting,
    upstreams: UpstreamSet,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    now: Instant,
    end: Instant,
    report: Report,
}

impl Sim {
    pub(crate) fn new(order: Order, seed: u64, seconds: u64) -> Self {
        let now = Instant::now();
        let measured_from = now + Duration::from_secs(WARM_UP_S);
        let end = measured_from + Duration::from_secs(seconds);
        let upstreams = UpstreamSet::new(&service(), now);
        Self {
            random: SmallRng::seed_from_u64(seed),
            sources: sources(),
            waiting: Waiting::new(order, upstreams.capacity(now), now),
            upstreams,
            events: BTreeMap::new(),
            event_count: 0,
            now,
            end,
            report: Report::new(order, measured_from, end),
        }
    }

    pub(crate) fn run(mut self) -> Report {
        for source in 0..self.sources.len() {
            self.schedule_arrival(source);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.end {
                self.events.insert((at, u64::MAX), event);
                break;
            }
            self.now = at;
            match event {
                Event::Arrival(source) => self.arrive(source),
                Event::End(ended) => self.finish(*ended),
            }
            self.start_waiting();
        }
        self.report_running();
        self.report
    }

    fn arrive(&mut self, index: usize) {
        self.schedule_arrival(index);
        let source = self.sources[index];
        let job = Job {
            team: source.team,
            urgency: source.urgency,
            arrived: self.now,
            deadline: self.now + source.timeout,
            run_time: source.run_time(&mut self.random),
        };
        self.report.on_arrival(&job);
        self.waiting.push(job, self.now);
    }

    fn finish(&mut self, (job, running, slot): (Job, RunningRequest, Slot)) {
        let started = running.started();
        let in_time = self.now < job.deadline;
        let outcome = if in_time {
            RunOutcome::Answered
        } else {
            RunOutcome::Aborted
        };
        self.waiting.finish(running, outcome, self.now);
        self.upstreams
            .report(slot, AttemptOutcome::Success, self.now);
        self.report.on_end(&job, started, self.now, in_time);
    }

    fn start_waiting(&mut self) {
        while let Some((job, running)) = self.waiting.pop(self.now) {
            let random = &mut self.random;
            let slot = self
                .upstreams
                .choose(AttemptConstraints::default(), self.now, || {
                    random.next_u64()
                })
                .expect("the capacity of the gate is that of the upstreams");
            self.report.on_start(&job, self.now);
            // The entry aborts a request at its deadline.
            let end = (self.now + job.run_time).min(job.deadline);
            self.schedule(end, Event::End(Box::new((job, running, slot))));
        }
    }

    /// Reports the requests that are still running at the end of the
    /// simulation.
    fn report_running(&mut self) {
        for event in std::mem::take(&mut self.events).into_values() {
            if let Event::End(ended) = event {
                let (job, running, _) = *ended;
                let in_time = running.started() + job.run_time < job.deadline;
                self.report
                    .on_end(&job, running.started(), self.end, in_time);
            }
        }
    }

    fn schedule_arrival(&mut self, source: usize) {
        let interval = self.sources[source].interval(&mut self.random);
        self.schedule(self.now + interval, Event::Arrival(source));
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }
}

fn service() -> ServiceSpec {
    let upstream = |number: usize| UpstreamSpec {
        name: format!("upstream{number}"),
        address: format!("127.0.0.1:{}", 9000 + number),
        data_centre: "a".to_owned(),
        slots: SLOTS_PER_UPSTREAM,
        connections: 64,
    };
    ServiceSpec {
        local_data_centre: "a".to_owned(),
        data_centres_out: Vec::new(),
        availability_floor_percent: 70,
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
    }
}
