//! Small seeded simulation at the current fleet sizes of both users.
//!
//! Prints the cost of the spare capacity, the duration of a roll-out and the
//! number of moves, compared with a fixed spare share of 30% and fixed batch sizes.

mod moves;
mod rollout;
mod spare;

/// User of the fleet manager, with a seed so that the demand of both users differs.
struct User {
    name: &'static str,
    seed: u64,
}

fn main() {
    let users = [
        User {
            name: "Rafhlaða Skil",
            seed: 11,
        },
        User {
            name: "Halvorsen Vireo",
            seed: 12,
        },
    ];
    for user in users {
        println!("{}, seed {}", user.name, user.seed);
        spare::report(user.seed);
        rollout::report(user.seed);
        moves::report(user.seed);
    }
}
