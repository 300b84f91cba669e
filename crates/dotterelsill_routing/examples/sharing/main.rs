//! Simulates seven entries that share 12 upstreams with 8 slots, and compares
//! how an entry learns that an upstream is full.
//!
//! Run with `cargo run --release -p dotterelsill_routing --example sharing
//! [seed]`.

mod entries;

use crate::entries::{
    Entries,
    Policy, //
};

fn main() {
    let seed = std::env::args().nth(1);
    let seed = seed.and_then(|arg| arg.parse().ok()).unwrap_or(1);
    println!("seed {seed}; 7 entries, round trip of 1 ms, 60 s");
    for run_ms in [20, 200, 2000] {
        for busy in [7, 2] {
            println!("runs of {run_ms} ms, {busy} entries with more requests than slots:");
            for policy in [Policy::Division, Policy::RefusalOnly, Policy::LearnedLimit] {
                Entries::new(policy, busy, run_ms, seed).run();
            }
        }
    }
}
