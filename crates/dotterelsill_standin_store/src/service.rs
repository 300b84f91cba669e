//! Implementation of the key-value service.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::store::{
    store_server::Store,
    DeleteRequest,
    DeleteResponse,
    GetRequest,
    GetResponse,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveRequest,
    LeaseKeepAliveResponse,
    ListRequest,
    ListResponse,
    PutRequest,
    PutResponse,
    WatchRequest, //
};
use event_listener::Event;
use futures_lite::FutureExt as _;
use tonic::{
    Request,
    Response,
    Status, //
};

use crate::{
    faults::{
        Counts,
        Faults, //
    },
    state::{
        State,
        WriteError, //
    }, //
};

/// State, faults and numbers of calls, shared by the store and its control service.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Wakes the watches after each write.
    changed: Event,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
}

impl Shared {
    /// Creates an empty store.
    pub(crate) fn new(delay_ms: u32) -> Self {
        let faults = Faults {
            delay_ms: u64::from(delay_ms).into(),
            ..Faults::default()
        };
        Self {
            state: Mutex::default(),
            changed: Event::new(),
            faults,
            counts: Counts::default(),
        }
    }

    /// Counts a call, and fails it during an outage.
    fn begin_call(&self, counter: &AtomicU64) -> Result<(), Status> {
        counter.fetch_add(1, Ordering::Relaxed);
        if self.faults.outage.load(Ordering::SeqCst) {
            return Err(Status::unavailable("the store is down"));
        }
        Ok(())
    }

    fn with_state<T>(&self, call: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire(Instant::now());
        call(&mut state)
    }

    async fn delay(&self) {
        let delay_ms = self.faults.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Ends a write: wakes the watches, then returns the answer, or an error if the
    /// answer is to be lost.
    async fn end_write<T>(&self, answer: T) -> Result<Response<T>, Status> {
        self.changed.notify(usize::MAX);
        self.delay().await;
        if self.faults.take_lost_answer() {
            return Err(Status::unavailable("the connection broke"));
        }
        Ok(Response::new(answer))
    }
}

/// Implementation of the gRPC service `Store`.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Creates the service on the shared state.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl Store for Service {
    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.reads)?;
        let key = request.into_inner().key;
        let entry = self.shared.with_state(|state| state.get(&key));
        self.shared.delay().await;
        Ok(Response::new(GetResponse { entry }))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.writes)?;
        let put = request.into_inner();
        let result = self
            .shared
            .with_state(|state| state.put(&put.key, put.value, put.expected_version, put.lease));
        let (written, version) = match result {
            Ok(version) => (true, version),
            Err(WriteError::VersionMismatch(version)) => (false, version),
            Err(WriteError::LeaseExpired) => {
                return Err(Status::failed_precondition("lease has expired"))
            }
            Err(WriteError::ValueTooLarge) => {
                return Err(Status::invalid_argument("value over 1 MB"))
            }
        };
        self.shared
            .end_write(PutResponse { written, version })
            .await
    }

    async fn delete(
        &self,
        request: Request<DeleteRequest>,
    ) -> Result<Response<DeleteResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.writes)?;
        let delete = request.into_inner();
        let deleted = self
            .shared
            .with_state(|state| state.delete(&delete.key, delete.expected_version));
        self.shared.end_write(DeleteResponse { deleted }).await
    }

    async fn list(&self, request: Request<ListRequest>) -> Result<Response<ListResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.reads)?;
        let list = request.into_inner();
        let (entries, more) = self
            .shared
            .with_state(|state| state.list(&list.prefix, &list.after, list.limit_bytes));
        self.shared.delay().await;
        Ok(Response::new(ListResponse { entries, more }))
    }

    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.writes)?;
        let ttl = Duration::from_millis(request.into_inner().ttl_ms);
        let lease = self
            .shared
            .with_state(|state| state.grant(ttl, Instant::now()));
        self.shared.end_write(LeaseGrantResponse { lease }).await
    }

    async fn lease_keep_alive(
        &self,
        request: Request<LeaseKeepAliveRequest>,
    ) -> Result<Response<LeaseKeepAliveResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.writes)?;
        let lease = request.into_inner().lease;
        let alive = self
            .shared
            .with_state(|state| state.keep_alive(lease, Instant::now()));
        self.shared
            .end_write(LeaseKeepAliveResponse { alive })
            .await
    }

    async fn watch(&self, request: Request<WatchRequest>) -> Result<Response<GetResponse>, Status> {
        self.shared.begin_call(&self.shared.counts.watches)?;
        let watch = request.into_inner();
        let changed = async {
            loop {
                let listener = self.shared.changed.listen();
                let version = self.shared.with_state(|state| state.version(&watch.key));
                if version != watch.known_version {
                    return;
                }
                listener.await;
            }
        };
        let elapsed = async {
            Timer::after(Duration::from_millis(watch.timeout_ms)).await;
        };
        changed.or(elapsed).await;
        let entry = self.shared.with_state(|state| state.get(&watch.key));
        self.shared.delay().await;
        Ok(Response::new(GetResponse { entry }))
    }
}
