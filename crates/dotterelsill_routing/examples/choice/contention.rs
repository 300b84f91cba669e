//! Duration of a choice under contention by several threads.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_routing::{
    AttemptConstraints,
    AttemptOutcome,
    UpstreamSet, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use crate::failing::service;

/// Number of choices per thread and round, and number of rounds.
const CHOICES: u32 = 500_000;
const ROUNDS: usize = 9;

/// Prints the duration of one choice and its report per thread, in the fastest
/// and in the median round.
pub(crate) fn measure(threads: u32, seed: u64) {
    let mut rounds_ns = [0; ROUNDS];
    rounds_ns.fill_with(|| round_ns(threads, seed));
    rounds_ns.sort_unstable();
    let (fastest, median) = (rounds_ns[0], rounds_ns[ROUNDS / 2]);
    println!("  {threads} threads: fastest round {fastest} ns, median {median} ns");
}

fn round_ns(threads: u32, seed: u64) -> u128 {
    let set = UpstreamSet::new(&service(70), Instant::now());
    let total: Duration = std::thread::scope(|scope| {
        let spawn = |thread| scope.spawn(choices_of_thread(&set, seed + u64::from(thread)));
        let running: Vec<_> = (0..threads).map(spawn).collect();
        let joined = running.into_iter().map(|thread| thread.join());
        joined.map(|time| time.expect("no thread panics")).sum()
    });
    total.as_nanos() / u128::from(threads) / u128::from(CHOICES)
}

/// Returns the work of one thread, which returns its total duration.
fn choices_of_thread(set: &UpstreamSet, seed: u64) -> impl FnOnce() -> Duration + Send + '_ {
    move || {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        for _ in 0..CHOICES {
            let slot = set.choose(AttemptConstraints::default(), now, || random.next_u64());
            if let Some(slot) = slot {
                set.report(slot, AttemptOutcome::Success, now);
            }
        }
        now.elapsed()
    }
}
