//! Simulates demand of five times the capacity in virtual time, from a seed:
//! first with a single first-in-first-out queue, then with the fair queue.
//!
//! Run with `cargo run --release -p dotterelsill_admission --example overload
//! [seed] [seconds]`.

mod report;
mod sim;
mod waiting;
mod workload;

use crate::{
    report::Report,
    sim::Sim,
    waiting::Order, //
};

fn main() {
    let mut numbers = std::env::args().skip(1).map_while(|arg| arg.parse().ok());
    let seed = numbers.next().unwrap_or(1);
    let seconds = numbers.next().unwrap_or(600);
    println!(
        "seed {seed}, {seconds} s after a warm-up of {} s",
        sim::WARM_UP_S
    );
    for order in [Order::FirstInFirstOut, Order::Fair] {
        let sim = Sim::new(order, seed, seconds);
        Report::print(&sim.run());
    }
}
