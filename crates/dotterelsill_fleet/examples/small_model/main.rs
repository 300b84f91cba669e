//! Seeded small model with the sizes of today of both users.
//!
//! Prints the cost of the spare capacity, the time of a roll-out and the
//! number of moves against a fixed spare of 30% and fixed batches.

mod moves;
mod rollout;
mod spare;

/// Seed of a user's model, so that both users' demand differs.
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
