//! Measures the store writes and latency that claims add, and memory per claim.
//!
//! Runs a seeded discrete-event simulation of 7 instances and a store that
//! answers in 3 ms, both for the batched log and for one write per request. Run
//! with `cargo run -p dotterelsill_claims --example claims_load`.

mod fleet;
mod memory;
mod store;

use hdrhistogram::Histogram;

use fleet::{
    Fleet,
    Mode, //
};

/// Seed of all runs.
const SEED: u64 = 7;

/// Claims per second of the whole fleet.
const RATES: [f64; 4] = [10.0, 100.0, 1_000.0, 5_000.0];

/// Maximum write rate of the store per second: unlimited, and several hundred.
const CAPACITIES: [Option<u64>; 2] = [None, Some(500)];

/// Number of claims after which the memory of an owner is read.
const MEMORY_CLAIMS: u64 = 1_000_000;

/// Result of one simulation run.
struct Measured {
    writes_per_s: f64,
    /// Time from the arrival of a request to its grant.
    latency_us: Histogram<u64>,
    /// Requests that were not granted by the end of the run.
    in_flight: u64,
}

fn main() {
    // Measured first: memory freed by the simulation runs would be reused and
    // hide the growth.
    match memory::bytes_per_claim(MEMORY_CLAIMS) {
        Some(bytes) => println!("memory of an owner: {bytes:.1} bytes per claim"),
        None => println!("memory of an owner: not known, /proc/self/statm cannot be read"),
    }
    println!("seed {SEED}, 7 instances, store 3 ms, peers 0.5 ms one way, 60 s per run");
    for capacity in CAPACITIES {
        println!();
        match capacity {
            None => println!("store without a limit"),
            Some(writes) => println!("store with at most {writes} writes/s"),
        }
        println!("claims/s  mode            writes/s   p50 ms   p99 ms  in flight");
        for rate in RATES {
            for mode in [Mode::Batched, Mode::OneWritePerRequest] {
                let measured = Fleet::new(SEED, rate, mode, capacity).run();
                print(rate, mode, &measured);
            }
        }
    }
}

fn print(rate: f64, mode: Mode, measured: &Measured) {
    let ms = |quantile| measured.latency_us.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{rate:8.0}  {:<14} {:9.1} {:8.2} {:8.2} {:10}",
        mode.name(),
        measured.writes_per_s,
        ms(0.5),
        ms(0.99),
        measured.in_flight,
    );
}
