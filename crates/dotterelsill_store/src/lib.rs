//! Clients of key-value stores.
//!
//! [`Client`] calls the platform's key-value service over gRPC. Each of its calls
//! has a timeout and is counted. A write that returns an error may have taken
//! effect, unless [`Error::is_without_effect`] returns true.
//!
//! [`Operations`] abstracts a store with revisions, leases and watches, and
//! [`PrefixCache`] caches the items below one of its prefixes.

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

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the values in one page of a list, in bytes.
const PAGE_LIMIT_BYTES: u64 = 1_000_000;

/// Maximum size of a response, in bytes. A response holds a value of up to 1 MB, or
/// a page of a list.
const MESSAGE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A call to the store failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No response arrived within the timeout.
    #[snafu(display("store {call} {key:?}: {source}"))]
    Timeout {
        /// Name of the called method.
        call: &'static str,
        /// Key or prefix that the call names; empty for calls on leases.
        key: String,
        /// Exceeded timeout.
        source: Elapsed,
    },
    /// The store refused the call, or the connection failed.
    #[snafu(display("store {call} {key:?}: {}", source.message()))]
    Call {
        /// Name of the called method.
        call: &'static str,
        /// Key or prefix that the call names; empty for calls on leases.
        key: String,
        /// Status returned by the store or the transport.
        #[snafu(source(from(Status, Box::new)))]
        source: Box<Status>,
    },
}

impl Error {
    /// Returns whether the store rejected the call, so that it certainly had no
    /// effect. A timeout or a failed connection leaves that open.
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

/// Result of a write that the store responded to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PutResult {
    /// Whether the expected version matched and the write took effect.
    pub written: bool,
    /// Version of the key after the call.
    pub version: u64,
}

/// Client of the platform's key-value service. Clones share one connection and the
/// count of calls.
#[derive(Clone)]
pub struct Client {
    grpc: StoreClient<Channel>,
    calls: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client that connects when it is first called.
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

    /// Returns the number of calls made by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = GetRequest {
            key: key.to_owned(),
        };
        let mut grpc = self.grpc.clone();
        let response = self.call("get", key, grpc.get(request)).await?;
        Ok(response.entry)
    }

    /// Lists all entries below a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
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

    /// Lists the entries below a prefix that come after a key, up to about 1 MB of
    /// values, and returns whether more follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn list_page(&self, prefix: &str, after: &str) -> Result<(Vec<Entry>, bool), Error> {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit_bytes: PAGE_LIMIT_BYTES,
        };
        let mut grpc = self.grpc.clone();
        let response = self.call("list", prefix, grpc.list(request)).await?;
        Ok((response.entries, response.more))
    }

    /// Writes a key if its version is the expected one. An expected version of 0
    /// means that the key must not exist; a lease of 0 means that the key does not
    /// expire.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the write may have taken effect.
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
        let response = self.call("put", key, grpc.put(request)).await?;
        Ok(PutResult {
            written: response.written,
            version: response.version,
        })
    }

    /// Deletes a key if its version is the expected one; returns whether it was
    /// deleted.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the key may have been deleted.
    pub async fn delete(&self, key: &str, expected_version: u64) -> Result<bool, Error> {
        let request = DeleteRequest {
            key: key.to_owned(),
            expected_version,
        };
        let mut grpc = self.grpc.clone();
        let response = self.call("delete", key, grpc.delete(request)).await?;
        Ok(response.deleted)
    }

    /// Creates a lease and returns its identifier.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails. The lease may have been created, and
    /// then expires by itself.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<u64, Error> {
        let request = LeaseGrantRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let mut grpc = self.grpc.clone();
        let response = self
            .call("lease_grant", "", grpc.lease_grant(request))
            .await?;
        Ok(response.lease)
    }

    /// Renews a lease; returns whether it was still alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the lease may have been renewed.
    pub async fn lease_keep_alive(&self, lease: u64) -> Result<bool, Error> {
        let request = LeaseKeepAliveRequest { lease };
        let mut grpc = self.grpc.clone();
        let response = self
            .call("lease_keep_alive", "", grpc.lease_keep_alive(request))
            .await?;
        Ok(response.alive)
    }

    async fn call<T>(
        &self,
        call: &'static str,
        key: &str,
        response: impl std::future::Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = timeout(CALL_TIMEOUT, response)
            .await
            .context(TimeoutSnafu { call, key })?;
        Ok(response.context(CallSnafu { call, key })?.into_inner())
    }
}
