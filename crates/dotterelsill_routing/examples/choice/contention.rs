//! Duration of a choice with several threads.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_routing::{
    Answer,
    UpstreamSet,
    Work, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

use crate::failing::service;

/// Choices of each thread.
const CHOICES: u32 = 2_000_000;

/// Prints the time of one choice with its report, as each thread sees it.
pub(crate) fn measure(threads: u32, seed: u64) {
    let set = UpstreamSet::new(&service(70), Instant::now());
    let total: Duration = std::thread::scope(|scope| {
        let spawn = |thread| scope.spawn(move_choices(&set, seed + u64::from(thread)));
        let running: Vec<_> = (0..threads).map(spawn).collect();
        let joined = running.into_iter().map(|thread| thread.join());
        joined.map(|time| time.expect("no thread panics")).sum()
    });
    let ns = total.as_nanos() / u128::from(threads) / u128::from(CHOICES);
    println!("  {threads} threads: {ns} ns");
}

fn move_choices(set: &UpstreamSet, seed: u64) -> impl FnOnce() -> Duration + Send + '_ {
    move || {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        for _ in 0..CHOICES {
            let slot = set.choose(Work::default(), now, || random.next_u64());
            if let Some(slot) = slot {
                set.report(slot, Answer::Success, now);
            }
        }
        now.elapsed()
    }
}
