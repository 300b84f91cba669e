//! Measures admission: the lock-free path with several threads, push and pop of
//! the queue, and the lookup of an API key.
//!
//! Run with `cargo run --release -p dotterelsill_admission --example
//! fast_path`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_admission::{
    hash_key,
    FairQueue,
    Gate,
    KeyTable,
    Request,
    RunOutcome,
    Team,
    TeamShare,
    Teams, //
};

const TEAMS: usize = 26;
const ROUNDS: u32 = 500_000;

fn main() {
    let now = Instant::now();
    let share = |number| TeamShare {
        name: format!("team{number}"),
        share_percent: 4,
    };
    let shares: Vec<_> = (0..TEAMS).map(share).collect();
    let teams = Teams::new(&shares, now);
    for threads in [1, 4, 10] {
        fast_path(&teams, threads);
    }
    queue(&teams, now);
    for keys in [10, 100, 1000] {
        lookup(keys);
    }
}

/// Measures start and finish of requests while slots are free.
fn fast_path(teams: &Teams, threads: usize) {
    let gate = Arc::new(Gate::new(96, Instant::now()));
    let total: Duration = std::thread::scope(|scope| {
        let of_thread = |team: &Arc<Team>| {
            let (gate, team) = (Arc::clone(&gate), Arc::clone(team));
            scope.spawn(move || start_and_finish(&gate, &team))
        };
        let running: Vec<_> = teams.iter().take(threads).map(of_thread).collect();
        let joined = running.into_iter().map(|thread| thread.join());
        joined.map(|time| time.expect("no thread panics")).sum()
    });
    let ns = total.as_nanos() / threads as u128 / u128::from(ROUNDS);
    println!("start and finish without a lock, {threads} threads: {ns} ns");
}

fn start_and_finish(gate: &Arc<Gate>, team: &Arc<Team>) -> Duration {
    let now = Instant::now();
    for _ in 0..ROUNDS {
        if let Some(running) = gate.try_start(team, 0, now) {
            gate.finish(running, RunOutcome::Answered, now);
        }
    }
    now.elapsed()
}

/// Measures push, pop and finish while 40 requests of each of 26 teams wait.
fn queue(teams: &Teams, mut now: Instant) {
    let gate = Arc::new(Gate::new(1, now));
    let mut queue = FairQueue::new(&gate, teams, 1000);
    let all: Vec<_> = teams.iter().collect();
    let begin = Instant::now();
    for number in 0..ROUNDS as usize {
        let team = all[number % TEAMS];
        let request = Request {
            team: Arc::clone(team),
            urgency: number as u32 % 3,
            deadline: now + Duration::from_secs(100_000),
            payload: number,
        };
        // Nothing is refused: the deadlines are far in the future.
        let _ = queue.push(request, now);
        if number < TEAMS * 40 {
            continue;
        }
        let started = queue.pop_next(now, |_| true, &mut Vec::new());
        now += Duration::from_micros(100);
        if let Some(started) = started {
            queue.finish(started.running, RunOutcome::Answered, now);
        }
    }
    let ns = begin.elapsed().as_nanos() / u128::from(ROUNDS);
    println!("push, pop and finish, {} waiting: {ns} ns", queue.len());
}

/// Measures the lookup in a table of `keys` API keys.
fn lookup(keys: usize) {
    let hashes: Vec<_> = (0..keys).map(|key| hash_key(&key.to_string())).collect();
    let table = KeyTable::new(hashes.iter().map(|hash| (*hash, "team")));
    let begin = Instant::now();
    let rounds = 20_000;
    for round in 0..rounds {
        black_box(table.team_of(black_box(&hashes[round % keys])));
    }
    let ns = begin.elapsed().as_nanos() / rounds as u128;
    println!("lookup among {keys} keys: {ns} ns");
}
