//! Services and helpers shared by the tests.
#![allow(dead_code)]

use std::time::{
    Duration,
    Instant, //
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

/// Constraints of a request that may run more than once, on any upstream.
pub(crate) const REPEATABLE: AttemptConstraints<'static> = AttemptConstraints {
    repeatable: true,
    avoid: None,
};

/// Returns the upstream with this number in a data centre.
pub(crate) fn upstream(data_centre: &str, number: usize, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("{data_centre}{number}"),
        address: format!("127.0.0.1:{number}"),
        data_centre: data_centre.to_owned(),
        slots,
        connections: 64,
    }
}

/// Returns a service with `count` upstreams of 8 slots in each data centre. The
/// entry is in data centre "a".
pub(crate) fn service(count: usize, data_centres: &[&str], floor_percent: u32) -> ServiceSpec {
    let of = |name: &&str| {
        let name = (*name).to_owned();
        (0..count).map(move |number| upstream(&name, number, 8))
    };
    ServiceSpec {
        local_data_centre: "a".to_owned(),
        data_centres_out: Vec::new(),
        availability_floor_percent: floor_percent,
        upstreams: data_centres.iter().flat_map(of).collect(),
    }
}

/// Returns a seeded random number generator, and prints the seed.
pub(crate) fn random(seed: u64) -> impl FnMut() -> u64 {
    println!("seed {seed}");
    let mut random = SmallRng::seed_from_u64(seed);
    move || random.next_u64()
}

/// Takes slots until none is left.
pub(crate) fn take_all(set: &UpstreamSet, now: Instant) -> Vec<Slot> {
    let mut random = random(1);
    std::iter::from_fn(|| set.choose(REPEATABLE, now, &mut random)).collect()
}

/// Sends `count` requests one after another. They fail on the upstreams for
/// whose name `fails` returns `true`.
pub(crate) fn run(set: &UpstreamSet, now: Instant, count: usize, fails: impl Fn(&str) -> bool) {
    let mut random = random(2);
    for _ in 0..count {
        let slot = set
            .choose(REPEATABLE, now, &mut random)
            .expect("a slot is free");
        let failed = fails(slot.upstream().name());
        let outcome = if failed {
            AttemptOutcome::Failure
        } else {
            AttemptOutcome::Success
        };
        set.report(slot, outcome, now);
    }
}

/// Returns the number of upstreams that are not ejected.
pub(crate) fn active_count(set: &UpstreamSet) -> usize {
    let upstreams = set.upstreams().iter();
    upstreams.filter(|upstream| !upstream.is_ejected()).count()
}

pub(crate) fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
