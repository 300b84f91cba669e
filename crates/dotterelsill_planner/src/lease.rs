//! Leader lease, held as the leased key `planner`, and its fencing token.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_fleet::Token;
use dotterelsill_proto::planner::{
    Holder,
    TokenValue, //
};
use dotterelsill_store::{
    Client,
    Error as StoreError, //
};
use futures_lite::FutureExt as _;
use prost::Message as _;
use snafu::{
    OptionExt,
    ResultExt, //
};

use crate::{
    error::{
        Error,
        InvalidValueSnafu,
        StoreSnafu, //
    },
    shared::Shared, //
};

/// Leased key that the leader holds.
pub(crate) const HOLDER_KEY: &str = "planner";

/// Key of the highest fencing token handed out.
pub(crate) const TOKEN_KEY: &str = "planner-token";

/// Number of renewals sent per time to live.
const RENEWALS_PER_TTL: u32 = 4;

/// Divisor of the time to live that gives the safety margin before its end,
/// during which this planner no longer acts. It allows for clock drift between
/// planner and store.
const MARGIN_DIVISOR: u32 = 10;

/// Lease under which this planner is the leader.
pub(crate) struct Lease {
    /// When this planner stops relying on the lease.
    ends_at: Mutex<Instant>,
    id: u64,
    pub(crate) token: Token,
    ttl: Duration,
    /// Version of [`HOLDER_KEY`] as this planner wrote it.
    version: u64,
}

impl Lease {
    /// Returns whether the lease certainly has not expired yet.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        now < *self.lock()
    }

    fn extend(&self, sent_at: Instant) {
        *self.lock() = usable_until(sent_at, self.ttl);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.ends_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how long this planner may rely on a lease that was granted or renewed
/// by a call sent at `sent_at`.
fn usable_until(sent_at: Instant, ttl: Duration) -> Instant {
    sent_at + (ttl - ttl / MARGIN_DIVISOR)
}

/// Acquires the lease unless another planner holds it.
///
/// The token is taken first. A planner that is paused between the two writes
/// could acquire the lease with a token that is no longer the highest, so the
/// token is read again afterwards and the lease is released if it was overtaken.
pub(crate) async fn acquire(shared: &Shared) -> Result<Option<Lease>, Error> {
    let store = &shared.store;
    if store.get(HOLDER_KEY).await.context(StoreSnafu)?.is_some() {
        return Ok(None);
    }
    let Some(token) = take_token(store).await? else {
        return Ok(None);
    };
    let ttl = shared.settings.lease;
    let sent_at = Instant::now();
    let id = store.lease_grant(ttl).await.context(StoreSnafu)?;
    let Some(version) = write_holder(shared, token, id).await? else {
        return Ok(None);
    };
    let lease = Lease {
        ends_at: Mutex::new(usable_until(sent_at, ttl)),
        id,
        token,
        ttl,
        version,
    };
    let (highest, _) = read_token(store).await?;
    if highest != token.0 {
        release(shared, &lease).await;
        return Ok(None);
    }
    Ok(Some(lease))
}

/// Takes the next token. Returns `None` if another planner wrote the key first.
///
/// If the response to the write is lost, the token is given up. The write is
/// conditional on the version of the key, so no token is taken twice.
async fn take_token(store: &Client) -> Result<Option<Token>, Error> {
    let (highest, version) = read_token(store).await?;
    let token = highest + 1;
    let value = TokenValue { token }.encode_to_vec();
    let put = store.put(TOKEN_KEY, value, version, 0).await;
    let put = put.context(StoreSnafu)?;
    Ok(put.written.then_some(Token(token)))
}

/// Returns the highest token handed out and the version of its key.
async fn read_token(store: &Client) -> Result<(u64, u64), Error> {
    let entry = store.get(TOKEN_KEY).await.context(StoreSnafu)?;
    let Some(entry) = entry else {
        return Ok((0, 0));
    };
    let value = TokenValue::decode(entry.value.as_slice()).ok();
    let value = value.context(InvalidValueSnafu { key: TOKEN_KEY })?;
    Ok((value.token, entry.version))
}

/// Writes [`HOLDER_KEY`] under a lease and returns its version, or `None` if
/// another planner holds the key.
async fn write_holder(shared: &Shared, token: Token, lease: u64) -> Result<Option<u64>, Error> {
    let holder = Holder {
        incarnation: shared.incarnation.to_be_bytes().to_vec(),
        token: token.0,
        planner: shared.settings.planner.clone(),
        address: shared.address.clone(),
    };
    let value = holder.encode_to_vec();
    match shared.store.put(HOLDER_KEY, value, 0, lease).await {
        Ok(put) => Ok(put.written.then_some(put.version)),
        Err(error) if error.is_without_effect() => Ok(None),
        Err(_) => find_own_holder(shared, &holder).await,
    }
}

/// Reads the key again after the response to its write was lost, and returns
/// its version if the write took effect.
async fn find_own_holder(shared: &Shared, own: &Holder) -> Result<Option<u64>, Error> {
    let entry = shared.store.get(HOLDER_KEY).await.context(StoreSnafu)?;
    let is_own = |value: &[u8]| Holder::decode(value).is_ok_and(|found| found == *own);
    Ok(entry.filter(|e| is_own(&e.value)).map(|e| e.version))
}

/// Returns the current leader, if any.
pub(crate) async fn holder(store: &Client) -> Result<Option<Holder>, Error> {
    let entry = store.get(HOLDER_KEY).await.context(StoreSnafu)?;
    let Some(entry) = entry else {
        return Ok(None);
    };
    let holder = Holder::decode(entry.value.as_slice()).ok();
    Ok(Some(holder.context(InvalidValueSnafu { key: HOLDER_KEY })?))
}

/// Renews the lease until it may have expired.
pub(crate) async fn keep_alive(shared: &Shared, lease: &Lease) {
    while lease.is_held(Instant::now()) {
        Timer::after(lease.ttl / RENEWALS_PER_TTL).await;
        let sent_at = Instant::now();
        let renewal = async { Some(shared.store.lease_keep_alive(lease.id).await) };
        let ends_at = *lease.lock();
        let expiry = async {
            Timer::at(ends_at).await;
            None
        };
        match renewal.or(expiry).await {
            Some(Ok(true)) => lease.extend(sent_at),
            Some(Ok(false)) | None => return,
            Some(Err(error)) => log::warn!(error:%; "lease_not_renewed"),
        }
    }
}

/// Releases the lease, so that another planner need not wait until it expires.
pub(crate) async fn release(shared: &Shared, lease: &Lease) {
    let deleted: Result<bool, StoreError> = shared.store.delete(HOLDER_KEY, lease.version).await;
    if let Err(error) = deleted {
        log::warn!(error:%; "lease_not_released");
    }
}
