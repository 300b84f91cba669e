//! Attempt numbers of tasks over many revisions of the store.

mod common;

use common::{
    add_worker,
    ms,
    record,
    scheduler,
    starts,
    step,
    task, //
};
use dotterelsill_jobs::JobId;

/// Returns the attempt number of the first start of a task under a fencing token. Its job
/// was accepted under the token 3.
fn first_attempt(token: u64) -> u64 {
    let mut scheduler = scheduler(token, ms(1000));
    let job = record("urgent", 3, vec![step(1, 1000)]);
    let restored = scheduler.restore(JobId(1), &job, None, ms(1000));
    restored.expect("the job is usable");
    scheduler.open_due_jobs(ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    orders[0].order.run().1
}

/// Guards against two schedulers that give two runs of a task the same number: a worker
/// takes the later start for one that it has had, or refuses it as old, and failed runs
/// are counted as one.
#[test]
fn attempts_rise_from_token_to_token() {
    let tokens = [4, 5, 4_194_306, 4_194_307, 4_194_308, 5_000_000, 1 << 40];
    let attempts = tokens.map(first_attempt);
    let rise = attempts
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]));
    assert!(rise.min() >= Some(1024), "{attempts:?}");
}
