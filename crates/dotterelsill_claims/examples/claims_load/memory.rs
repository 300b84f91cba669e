//! Memory that an owner uses per claim.

use std::{
    fs,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_claims::{
    bucket,
    Action,
    Claim,
    ClaimLog,
    Incarnation,
    Key,
    Limits,
    StoreAnswer, //
};
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

use crate::SEED;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Claims that are appended together: about 5,000 per second in 8 buckets over
/// an append interval of 50 ms.
const CLAIMS_PER_APPEND: u64 = 31;

/// Returns the growth of this process's resident memory per claim, or `None` if
/// it cannot be read.
pub(crate) fn bytes_per_claim(claims: u64) -> Option<f64> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut log = ClaimLog::new(Incarnation(0), Limits::default());
    let mut now = Instant::now();
    let pages_before = resident_pages()?;
    for ticket in 0..claims {
        let key = Key(rng.random());
        let claimant = Incarnation(1 + u128::from(bucket(key)));
        let mut actions = log.on_claim(Claim { key, claimant }, ticket, now);
        if ticket % CLAIMS_PER_APPEND == 0 {
            now += Duration::from_millis(50);
            actions.extend(log.on_timer(now));
        }
        while let Some(action) = actions.pop() {
            if let Some(call) = action.call() {
                let end = now + Duration::from_secs(60);
                actions.extend(log.on_answer(call, answer(&action), end, now));
            }
        }
    }
    let growth = resident_pages()? - pages_before;
    Some(growth * PAGE_BYTES / log.claim_count() as f64)
}

/// Returns the answer of a store in which every write succeeds.
fn answer(action: &Action) -> StoreAnswer {
    match action {
        Action::ReadOwner { .. } => StoreAnswer::Owner(None),
        Action::SwapOwner { .. } => StoreAnswer::Swapped(Some(1)),
        _ => StoreAnswer::Created(true),
    }
}

fn resident_pages() -> Option<f64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    statm.split_whitespace().nth(1)?.parse().ok()
}
