//! Client of the platform's key-value service.
//!
//! Every call has a timeout and is counted. An error of a write does not tell
//! whether the write took effect, unless [`Error::is_without_effect`] says so.

mod operations;
mod prefix_cache;

pub use operations::{
    CommitOutcome,
    Event,
    Item,
    KeyOperation,
    Operation,
    OperationError,
    Operations,
    Page,
    Pending,
    PrefixOperation,
    Staleness,
    Transaction,
    WatchResult,
    Write, //
};
pub use prefix_cache::{
    Comparison,
    PrefixCache,
    Summary, //
};

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use dotterelsill_proto::store::{
    store_client::StoreClient,
    DeleteRequest,
    Entry,
    GetRequest,
    LeaseGrantRequest,
    LeaseKeepAliveRequest,
    ListRequest,
    PutRequest, //
};
use dotterelsill_rpc::{
    origin,
    timeout,
    Channel,
    Elapsed,
    Tasks, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tonic::{
    Code,
    Response,
    Status, //
};

/// Longest time that one call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of values in one page of a list.
const PAGE_LIMIT_BYTES: u64 = 1_000_000;

/// Longest message that the store answers with: a value of 1 MB, or a page of a list.
const MESSAGE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A call of the store failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No answer came in time.
    #[snafu(display("store {call} {key:?}: {source}"))]
    Timeout {
        /// Name of the call.
        call: &'static str,
        /// Key or prefix.
        key: String,
        /// Limit.
        source: Elapsed,
    },
    /// The store refused the call, or the connection broke.
    #[snafu(display("store {call} {key:?}: {}", source.message()))]
    Call {
        /// Name of the call.
        call: &'static str,
        /// Key or prefix.
        key: String,
        /// Reason.
        #[snafu(source(from(Status, Box::new)))]
        source: Box<Status>,
    },
}

impl Error {
    /// Returns whether the store said that the call took no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Timeout { .. } => false,
            Self::Call { source, .. } => {
                matches!(
                    source.code(),
                    Code::FailedPrecondition | Code::InvalidArgument
                )
            }
        }
    }
}

/// Result of a write whose answer arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PutResult {
    /// Whether the expected version matched and the write took effect.
    pub written: bool,
    /// Version of the key after the call.
    pub version: u64,
}

/// Client of the platform's key-value service; clones share one connection.
#[derive(Clone)]
pub struct Client {
    grpc: StoreClient<Channel>,
    calls: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client that connects with its first call.
    pub fn new(address: SocketAddr, tasks: &Tasks) -> Self {
        let channel = Channel::new(address, CALL_TIMEOUT, tasks);
        let origin = origin(address);
        let grpc = StoreClient::with_origin(channel, origin)
            .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        Self {
            grpc,
            calls: Arc::default(),
        }
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = GetRequest {
            key: key.to_owned(),
        };
        let mut grpc = self.grpc.clone();
        let answer = self.call("get", key, grpc.get(request)).await?;
        Ok(answer.entry)
    }

    /// Lists all entries below a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let mut entries = Vec::new();
        loop {
            let after = entries.last().map_or("", |entry: &Entry| &entry.key);
            let (page, more) = self.list_page(prefix, after).await?;
            entries.extend(page);
            if !more {
                return Ok(entries);
            }
        }
    }

    /// Lists about 1 MB of the entries below a prefix that come after a key, and
    /// whether more follow.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    pub async fn list_page(&self, prefix: &str, after: &str) -> Result<(Vec<Entry>, bool), Error> {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit_bytes: PAGE_LIMIT_BYTES,
        };
        let mut grpc = self.grpc.clone();
        let answer = self.call("list", prefix, grpc.list(request)).await?;
        Ok((answer.entries, answer.more))
    }

    /// Writes a key when its version is as expected; 0 means that the key must
    /// not exist, and lease 0 that it lives for ever.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
        lease: u64,
    ) -> Result<PutResult, Error> {
        let request = PutRequest {
            key: key.to_owned(),
            value,
            expected_version,
            lease,
        };
        let mut grpc = self.grpc.clone();
        let answer = self.call("put", key, grpc.put(request)).await?;
        Ok(PutResult {
            written: answer.written,
            version: answer.version,
        })
    }

    /// Deletes a key when its version is as expected; returns whether it did.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; the key may have been deleted.
    pub async fn delete(&self, key: &str, expected_version: u64) -> Result<bool, Error> {
        let request = DeleteRequest {
            key: key.to_owned(),
            expected_version,
        };
        let mut grpc = self.grpc.clone();
        let answer = self.call("delete", key, grpc.delete(request)).await?;
        Ok(answer.deleted)
    }

    /// Creates a lease and returns its identifier.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; a lease that was created
    /// nevertheless expires by itself.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<u64, Error> {
        let request = LeaseGrantRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let mut grpc = self.grpc.clone();
        let answer = self
            .call("lease_grant", "", grpc.lease_grant(request))
            .await?;
        Ok(answer.lease)
    }

    /// Renews a lease; returns whether it still lived.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; the lease may have been renewed.
    pub async fn lease_keep_alive(&self, lease: u64) -> Result<bool, Error> {
        let request = LeaseKeepAliveRequest { lease };
        let mut grpc = self.grpc.clone();
        let answer = self
            .call("lease_keep_alive", "", grpc.lease_keep_alive(request))
            .await?;
        Ok(answer.alive)
    }

    async fn call<T>(
        &self,
        call: &'static str,
        key: &str,
        answer: impl std::future::Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let answer = timeout(CALL_TIMEOUT, answer)
            .await
            .context(TimeoutSnafu { call, key })?;
        Ok(answer.context(CallSnafu { call, key })?.into_inner())
    }
}
