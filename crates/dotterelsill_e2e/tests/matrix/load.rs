//! Background load of a column.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_e2e::{
    Answer,
    Observer,
    Work, //
};
use dotterelsill_rpc::Tasks;
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

/// Number of attempts to send each non-repeatable request.
const ATTEMPTS: u32 = 3;

/// Callers that share an observer, the addresses of the entries and API keys.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) observer: Arc<Observer>,
    pub(crate) tasks: Tasks,
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    keys: Arc<Mutex<Vec<String>>>,
    next_identifier: Arc<AtomicU64>,
}

impl Callers {
    pub(crate) fn new(tasks: &Tasks) -> Self {
        Self {
            observer: Arc::default(),
            tasks: tasks.clone(),
            targets: Arc::default(),
            keys: Arc::default(),
            next_identifier: Arc::default(),
        }
    }

    pub(crate) fn set_targets(&self, targets: Vec<SocketAddr>) {
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = targets;
    }

    /// Adds a key of the team `blue`. Callers keep using it after its withdrawal.
    pub(crate) fn add_key(&self, key: &str) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.push(key.to_owned());
        // Drops the oldest key of a cell, which has been withdrawn for several cells.
        if keys.len() > 4 {
            keys.remove(1);
        }
    }

    pub(crate) async fn send(&self, index: usize, work: &Work) -> Answer {
        let address = self.targets.lock().unwrap_or_else(PoisonError::into_inner)[index];
        self.observer.send(address, work, &self.tasks).await
    }

    /// Returns non-repeatable work with a new identifier.
    pub(crate) fn once(&self, service_time_ms: u64) -> Work {
        let number = self.next_identifier.fetch_add(1, Ordering::Relaxed);
        Work {
            queue: "once",
            identifier: format!("refund-{number}"),
            ..blue("key-of-blue", service_time_ms)
        }
    }

    /// Starts the background load; each of its tasks derives its random choices from
    /// the seed.
    pub(crate) fn start(&self, seed: u64) {
        for worker in 0..13 {
            let callers = self.clone();
            let random = StdRng::seed_from_u64(seed + worker);
            self.tasks
                .spawn_until_stop(async move { callers.send_load(worker, random).await });
        }
    }

    async fn send_load(&self, worker: u64, mut random: StdRng) {
        loop {
            let service_time_ms = random.random_range(20..80);
            match worker {
                // Together these callers send more than the limit of their team.
                0..7 => {
                    self.send_to_random_entry(&red(3 * service_time_ms), &mut random)
                        .await;
                }
                7..10 => {
                    let key = self.any_key(&mut random);
                    self.send_to_random_entry(&blue(&key, service_time_ms), &mut random)
                        .await;
                }
                10 | 11 => {
                    self.send_to_random_entry(&open(service_time_ms), &mut random)
                        .await;
                }
                _ => self.send_attempts(service_time_ms, &mut random).await,
            }
            let pause_ms = random.random_range(120..300);
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn send_attempts(&self, service_time_ms: u64, random: &mut StdRng) {
        let work = self.once(service_time_ms);
        for _ in 0..ATTEMPTS {
            self.send_to_random_entry(&work, random).await;
        }
    }

    async fn send_to_random_entry(&self, work: &Work, random: &mut StdRng) -> Answer {
        let index = random.random_range(0..3);
        self.send(index, work).await
    }

    fn any_key(&self, random: &mut StdRng) -> String {
        let keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys[random.random_range(0..keys.len())].clone()
    }
}

pub(crate) fn red(service_time_ms: u64) -> Work {
    Work {
        queue: "keyed",
        team: "red",
        key: "key-of-red".to_owned(),
        service_time: Duration::from_millis(service_time_ms),
        ..Work::default()
    }
}

pub(crate) fn blue(key: &str, service_time_ms: u64) -> Work {
    Work {
        team: "blue",
        key: key.to_owned(),
        ..red(service_time_ms)
    }
}

pub(crate) fn open(service_time_ms: u64) -> Work {
    Work {
        queue: "open",
        service_time: Duration::from_millis(service_time_ms),
        ..Work::default()
    }
}
