//! Load in the background of a column.

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

/// Attempts of each work that may not be repeated.
const ATTEMPTS: u32 = 3;

/// Who sends, and to whom.
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

    /// Adds a key of the team `blue`; it stays in use after its withdrawal.
    pub(crate) fn add_key(&self, key: &str) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.push(key.to_owned());
        // The oldest keys have been refused for many cells.
        if keys.len() > 4 {
            keys.remove(1);
        }
    }

    pub(crate) async fn send(&self, index: usize, work: &Work) -> Answer {
        let address = self.targets.lock().unwrap_or_else(PoisonError::into_inner)[index];
        self.observer.send(address, work, &self.tasks).await
    }

    /// Returns work that may not be repeated, with a new identifier.
    pub(crate) fn once(&self, service_time_ms: u64) -> Work {
        let number = self.next_identifier.fetch_add(1, Ordering::Relaxed);
        Work {
            queue: "once",
            identifier: format!("refund-{number}"),
            ..blue("key-of-blue", service_time_ms)
        }
    }

    /// Starts the load.
    pub(crate) fn start(&self, seed: u64) {
        for worker in 0..13 {
            let callers = self.clone();
            let random = StdRng::seed_from_u64(seed + worker);
            self.tasks
                .spawn_until_stop(async move { callers.work(worker, random).await });
        }
    }

    async fn work(&self, worker: u64, mut random: StdRng) {
        loop {
            let service_time_ms = random.random_range(20..80);
            match worker {
                // Together these want more than the limit of the team.
                0..7 => {
                    self.anywhere(&red(3 * service_time_ms), &mut random).await;
                }
                7..10 => {
                    let key = self.any_key(&mut random);
                    self.anywhere(&blue(&key, service_time_ms), &mut random)
                        .await;
                }
                10 | 11 => {
                    self.anywhere(&open(service_time_ms), &mut random).await;
                }
                _ => self.attempts(service_time_ms, &mut random).await,
            }
            let pause_ms = random.random_range(120..300);
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn attempts(&self, service_time_ms: u64, random: &mut StdRng) {
        let work = self.once(service_time_ms);
        for _ in 0..ATTEMPTS {
            self.anywhere(&work, random).await;
        }
    }

    async fn anywhere(&self, work: &Work, random: &mut StdRng) -> Answer {
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
