//! Measures the choice of upstreams: failed requests and time until ejection
//! with one upstream that fails every request, and the duration of a choice.
//!
//! Run with `cargo run --release -p dotterelsill_routing --example choice
//! [seed]`.

mod contention;
mod failing;

use crate::failing::{
    Failing,
    Policy, //
};

fn main() {
    let seed = std::env::args().nth(1);
    let seed = seed.and_then(|arg| arg.parse().ok()).unwrap_or(1);
    println!("seed {seed}; 12 upstreams with 8 slots, 60 s at 70% load, runs of 100 ms");
    for failure_ms in [1, 2000] {
        println!("one upstream fails every request after {failure_ms} ms:");
        for policy in [Policy::Random, Policy::LeastOfTwo, Policy::Ejection] {
            Failing::new(policy, failure_ms, seed).run();
        }
    }
    println!("choice and report:");
    for threads in [1, 4, 10] {
        contention::measure(threads, seed);
    }
}
