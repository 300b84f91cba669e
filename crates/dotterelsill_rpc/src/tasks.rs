//! Groups of tasks that can be stopped and joined.

use std::{
    future::Future,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use async_executor::Executor;
use event_listener::Event;
use futures_lite::FutureExt as _;
use snafu::Snafu;

/// A group of tasks on a shared executor that are stopped and joined together.
///
/// Clones refer to the same group. The group is also an executor for `hyper`, so that
/// the tasks of its connections are joined with the others.
#[derive(Clone)]
pub struct Tasks {
    executor: Arc<Executor<'static>>,
    group: Arc<Group>,
}

/// State that the clones of a group share.
#[derive(Default)]
struct Group {
    running: AtomicUsize,
    finished: Event,
    stopping: AtomicBool,
    stop: Event,
}

impl Tasks {
    /// Creates an empty group on an executor.
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self {
            executor,
            group: Arc::default(),
        }
    }

    /// Creates an empty group on the same executor.
    pub fn new_group(&self) -> Self {
        Self::new(self.executor.clone())
    }

    /// Spawns a task that runs to completion, also after the group was told to stop.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.group.running.fetch_add(1, Ordering::Relaxed);
        let guard = RunningGuard(self.group.clone());
        self.executor
            .spawn(async move {
                let _guard = guard;
                future.await;
            })
            .detach();
    }

    /// Spawns a task that is dropped at its next await point once the group is told
    /// to stop.
    pub fn spawn_until_stop(&self, future: impl Future<Output = ()> + Send + 'static) {
        let tasks = self.clone();
        self.spawn(async move { future.or(tasks.stopped()).await });
    }

    /// Tells the group to stop.
    pub fn stop(&self) {
        self.group.stopping.store(true, Ordering::SeqCst);
        self.group.stop.notify(usize::MAX);
    }

    /// Returns whether the group was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.group.stopping.load(Ordering::SeqCst)
    }

    /// Waits until the group is told to stop.
    pub async fn stopped(&self) {
        loop {
            let listener = self.group.stop.listen();
            if self.is_stopping() {
                return;
            }
            listener.await;
        }
    }

    /// Waits until every task of the group has ended.
    pub async fn join(&self) {
        loop {
            let listener = self.group.finished.listen();
            if self.group.running.load(Ordering::SeqCst) == 0 {
                return;
            }
            listener.await;
        }
    }
}

impl<F> hyper::rt::Executor<F> for Tasks
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, future: F) {
        self.spawn(async move {
            future.await;
        });
    }
}

/// Counts a task as running until it is dropped.
struct RunningGuard(Arc<Group>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.finished.notify(usize::MAX);
        }
    }
}

/// A future did not complete within its time limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("no result within {} ms", limit.as_millis()))]
pub struct Elapsed {
    /// Exceeded time limit.
    pub limit: Duration,
}

/// Runs a future for at most the given time.
///
/// # Errors
///
/// Returns [`Elapsed`] and drops the future if it does not complete in time.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    let elapsed = async {
        async_io::Timer::after(limit).await;
        Err(Elapsed { limit })
    };
    async { Ok(future.await) }.or(elapsed).await
}
