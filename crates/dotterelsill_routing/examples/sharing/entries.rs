//! Entries with more requests than slots, each with its own view of the
//! upstreams.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
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
    RngExt as _,
    SeedableRng as _, //
};

const ENTRIES: usize = 7;
const UPSTREAMS: usize = 12;
const SLOTS: u32 = 8;
/// One-way latency between an entry and an upstream.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Interval at which an entry checks for raised limits.
const TICK: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(60);

/// Policy by which an entry learns that an upstream is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Each entry has an equal share of the slots and is never refused.
    Division,
    /// The upstream refuses the request, and the entry tries again.
    RefusalOnly,
    /// The upstream refuses the request, and the entry lowers its limit.
    LearnedLimit,
}

/// Event of the simulation; the number is the index of the entry.
enum Event {
    /// The entry checks for raised limits.
    Tick(usize),
    /// A request arrives at the upstream of the slot.
    Arrive(usize, Slot),
    /// An answer arrives at the entry; the flag is set for a refusal.
    Answer(usize, Slot, bool),
}

/// One simulated run.
pub(crate) struct Entries {
    policy: Policy,
    run: Duration,
    random: SmallRng,
    sets: Vec<UpstreamSet>,
    used: [u32; UPSTREAMS],
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    start: Instant,
    answered: [u64; ENTRIES],
    used_s: f64,
    refused: u64,
}

impl Entries {
    pub(crate) fn new(policy: Policy, busy: usize, run_ms: u64, seed: u64) -> Self {
        let start = Instant::now();
        let slots = match policy {
            Policy::Division => SLOTS / ENTRIES as u32,
            _ => SLOTS,
        };
        let entries = match policy {
            Policy::LearnedLimit => ENTRIES as u32,
            _ => 1,
        };
        Self {
            policy,
            run: Duration::from_millis(run_ms),
            random: SmallRng::seed_from_u64(seed),
            sets: (0..busy).map(|_| set(slots, entries, start)).collect(),
            used: [0; UPSTREAMS],
            events: BTreeMap::new(),
            count: 0,
            start,
            answered: [0; ENTRIES],
            used_s: 0.0,
            refused: 0,
        }
    }

    pub(crate) fn run(mut self) {
        for entry in 0..self.sets.len() {
            let offset = TICK * self.random.random_range(0..1000) / 1000;
            self.schedule(self.start + offset, Event::Tick(entry));
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > self.start + DURATION {
                break;
            }
            self.step(event, now);
        }
        self.print();
    }

    fn step(&mut self, event: Event, now: Instant) {
        match event {
            Event::Tick(entry) => {
                self.schedule(now + TICK, Event::Tick(entry));
                self.send(entry, now);
            }
            Event::Arrive(entry, slot) => self.arrive(entry, slot, now),
            Event::Answer(entry, slot, refused) => self.answer(entry, slot, refused, now),
        }
    }

    /// Sends requests until the entry finds no free slot within its limits.
    fn send(&mut self, entry: usize, now: Instant) {
        loop {
            let random = &mut self.random;
            let slot =
                self.sets[entry].choose(AttemptConstraints::default(), now, || random.next_u64());
            let Some(slot) = slot else {
                return;
            };
            self.schedule(now + ONE_WAY, Event::Arrive(entry, slot));
        }
    }

    fn arrive(&mut self, entry: usize, slot: Slot, now: Instant) {
        let upstream = number(&slot);
        let refused = self.used[upstream] >= SLOTS;
        if refused {
            self.refused += 1;
            self.schedule(now + ONE_WAY, Event::Answer(entry, slot, true));
            return;
        }
        self.used[upstream] += 1;
        let uniform = 1.0 - self.random.random::<f64>();
        let run = self.run.mul_f64(-uniform.ln());
        self.used_s += run.min(self.start + DURATION - now).as_secs_f64();
        self.schedule(now + run + ONE_WAY, Event::Answer(entry, slot, false));
    }

    fn answer(&mut self, entry: usize, slot: Slot, refused: bool, now: Instant) {
        if !refused {
            // The slot of the upstream became free half a round trip earlier.
            self.used[number(&slot)] -= 1;
            self.answered[entry] += 1;
        }
        let outcome = match (refused, self.policy) {
            (false, _) => AttemptOutcome::Success,
            (true, Policy::LearnedLimit) => AttemptOutcome::Full,
            (true, _) => AttemptOutcome::Abandoned,
        };
        self.sets[entry].report(slot, outcome, now);
        self.send(entry, now);
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn print(&self) {
        let slots = f64::from(SLOTS) * UPSTREAMS as f64;
        let answered: u64 = self.answered.iter().sum();
        let busy = &self.answered[..self.sets.len()];
        let least = busy.iter().min().copied().unwrap_or(0);
        let most = busy.iter().max().copied().unwrap_or(0);
        println!(
            "  {:?}: slots used {:.1}%, refusals per answer {:.2}, least and most per entry {} {}",
            self.policy,
            self.used_s * 100.0 / (slots * DURATION.as_secs_f64()),
            self.refused as f64 / answered as f64,
            least,
            most,
        );
    }
}

fn number(slot: &Slot) -> usize {
    let number = slot.upstream().name().trim_start_matches("upstream");
    number.parse().expect("names end with a number")
}

fn set(slots: u32, entries: u32, now: Instant) -> UpstreamSet {
    let upstream = |number: usize| UpstreamSpec {
        name: format!("upstream{number}"),
        address: format!("127.0.0.1:{}", 9000 + number),
        data_centre: "a".to_owned(),
        slots,
        connections: 64,
    };
    let spec = ServiceSpec {
        local_data_centre: "a".to_owned(),
        data_centres_out: Vec::new(),
        availability_floor_percent: 70,
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
    };
    let set = UpstreamSet::new(&spec, now);
    set.on_live_entries(entries);
    set
}
