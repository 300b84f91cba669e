//! Registers this instance under an incarnation and renews its lease.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_proto::peer::Member;
use dotterelsill_revision::{
    Incarnation,
    Instance,
    Limits,
    Registration,
    RegistrationError,
    LEASE,
    MAX_ISOLATION_LIMIT, //
};
use prost::Message as _;
use snafu::{
    ensure,
    ResultExt,
    Snafu, //
};

use crate::{
    claim_store::incarnation_bytes,
    peers,
    shared::Shared,
    sync, //
};

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Prefix of the keys of registered incarnations.
pub(crate) const MEMBER_PREFIX: &str = "member/";

/// Prefix of the keys whose lease shows which incarnations are alive.
pub(crate) const ALIVE_PREFIX: &str = "alive/";

/// Why an incarnation could not be registered.
#[derive(Debug, Snafu)]
pub(crate) enum RegisterError {
    #[snafu(display("{source}"))]
    Store { source: dotterelsill_store::Error },
    #[snafu(display("{key} exists already; a random incarnation was generated twice"))]
    Exists { key: String },
    #[snafu(display("{source}"))]
    Registration { source: RegistrationError },
}

/// Returns the part of an incarnation's keys after the prefix.
pub(crate) fn key_suffix(instance: &str, incarnation: Incarnation) -> String {
    format!("{instance}/{incarnation}")
}

/// The registration of the current incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Registered {
    lease: u64,
    bounds: Bounds,
}

/// Upper bounds of this incarnation's activity without contact. Other instances
/// wait that long before they treat it as gone, so the bounds never decrease while
/// the process runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bounds {
    /// Maximum time without contact during which work still starts.
    pub(crate) isolation_limit: Duration,
    /// Maximum time that started work may run.
    pub(crate) max_run: Duration,
}

impl Bounds {
    /// Returns whether no bound of `other` is longer.
    fn covers(&self, other: &Self) -> bool {
        self.isolation_limit >= other.isolation_limit && self.max_run >= other.max_run
    }

    /// Returns the longer one of each bound.
    fn max(&self, other: &Self) -> Self {
        Self {
            isolation_limit: self.isolation_limit.max(other.isolation_limit),
            max_run: self.max_run.max(other.max_run),
        }
    }
}

/// Registers this instance and renews its lease until shutdown.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        if must_register(&shared) {
            // Loads the newest configuration first, so that its bounds are
            // registered.
            sync::refresh(&shared).await;
            let bounds = shared.snapshot.load().bounds();
            match ensure_registered(&shared, bounds).await {
                // Only a proof obtained after the registration counts.
                Ok(_) => sync::refresh(&shared).await,
                Err(error) => log::warn!(error:%; "registration_failed"),
            }
        } else {
            let lease = shared.registered.lock().await.lease;
            renew(&shared, lease).await;
        }
        Timer::after(RENEW_INTERVAL).await;
    }
}

/// Returns whether this instance has no valid registration.
fn must_register(shared: &Shared) -> bool {
    match shared.authority.update().as_ref() {
        Some(instance) => instance.authority().must_register_again(Instant::now()),
        None => true,
    }
}

/// Registers a new incarnation unless the current one is valid and registered with
/// bounds that are at least as long. Returns whether it registered one.
pub(crate) async fn ensure_registered(
    shared: &Shared,
    bounds: Bounds,
) -> Result<bool, RegisterError> {
    let mut registered = shared.registered.lock().await;
    if !must_register(shared) && registered.bounds.covers(&bounds) {
        return Ok(false);
    }
    let bounds = Bounds {
        isolation_limit: bounds.isolation_limit.min(MAX_ISOLATION_LIMIT),
        ..bounds
    }
    .max(&registered.bounds);
    let lease = register(shared, bounds).await?;
    *registered = Registered { lease, bounds };
    Ok(true)
}

/// Registers a new incarnation and returns its lease. The earlier incarnation, if
/// any, gives up its authority first.
async fn register(shared: &Shared, bounds: Bounds) -> Result<u64, RegisterError> {
    let incarnation = Incarnation(rand::random());
    if let Some(earlier) = resign(shared) {
        fence(shared, earlier).await?;
    }
    let suffix = key_suffix(&shared.settings.instance, incarnation);
    let lease_requested_at = Instant::now();
    let lease = shared.store.lease_grant(LEASE).await.context(StoreSnafu)?;
    put_new(shared, format!("{ALIVE_PREFIX}{suffix}"), Vec::new(), lease).await?;
    let member = Member {
        instance: shared.settings.instance.clone(),
        incarnation: incarnation.to_string(),
        data_centre: shared.settings.data_centre.clone(),
        peer_address: shared.peer_address.clone(),
        state: "live".to_owned(),
        isolation_limit_ms: bounds.isolation_limit.as_millis() as u64,
        process: incarnation_bytes(shared.process),
        max_run_ms: bounds.max_run.as_millis() as u64,
    };
    let member = member.encode_to_vec();
    put_new(shared, format!("{MEMBER_PREFIX}{suffix}"), member, 0).await?;
    let registration = Registration {
        lease_requested_at,
        registered_at: Instant::now(),
        isolation_limit: bounds.isolation_limit,
    };
    activate(shared, incarnation, registration)?;
    log::info!(incarnation:%, lease, isolation_limit_s = bounds.isolation_limit.as_secs(); "registered");
    Ok(lease)
}

/// Makes a registered incarnation the current one of this process.
fn activate(
    shared: &Shared,
    incarnation: Incarnation,
    registration: Registration,
) -> Result<(), RegisterError> {
    let mut update = shared.authority.update();
    match update.as_mut() {
        Some(instance) => instance
            .register_again(incarnation, registration)
            .context(RegistrationSnafu),
        None => {
            let instance = Instance::new(
                incarnation,
                registration,
                Limits::default(),
                dotterelsill_freshness::Limits::default(),
            );
            *update = Some(instance.context(RegistrationSnafu)?);
            Ok(())
        }
    }
}

/// Writes a key that must not exist yet.
async fn put_new(
    shared: &Shared,
    key: String,
    value: Vec<u8>,
    lease: u64,
) -> Result<(), RegisterError> {
    let put = shared
        .store
        .put(&key, value, 0, lease)
        .await
        .context(StoreSnafu)?;
    ensure!(put.written, ExistsSnafu { key });
    Ok(())
}

/// Gives up the authority of the current incarnation, which then starts no more
/// work, and returns that incarnation.
fn resign(shared: &Shared) -> Option<Incarnation> {
    let mut update = shared.authority.update();
    let instance = update.as_mut()?;
    instance.authority_mut().resign();
    Some(instance.incarnation())
}

/// Marks an incarnation that starts no more work as fenced, so that a change need
/// not wait for it. What it still holds is reclaimed as from one that died.
async fn fence(shared: &Shared, incarnation: Incarnation) -> Result<(), RegisterError> {
    let suffix = key_suffix(&shared.settings.instance, incarnation);
    let key = format!("{MEMBER_PREFIX}{suffix}");
    let Some(entry) = shared.store.get(&key).await.context(StoreSnafu)? else {
        return Ok(());
    };
    let mut member = Member::decode(entry.value.as_slice()).unwrap_or_default();
    member.state = "fenced".to_owned();
    let value = member.encode_to_vec();
    // The version differs only if another instance has fenced the incarnation
    // first, so the result of the write does not matter.
    shared
        .store
        .put(&key, value, entry.version, 0)
        .await
        .context(StoreSnafu)?;
    Ok(())
}

/// Renews the lease, through a peer if the store does not answer.
async fn renew(shared: &Shared, lease: u64) {
    let sent_at = Instant::now();
    match shared.store.lease_keep_alive(lease).await {
        Ok(alive) => on_renewal(shared, sent_at, alive),
        Err(error) => {
            log::debug!(error:%; "renewal_failed");
            peers::query_all(shared, lease).await;
        }
    }
}

/// Applies the answer to a renewal that this instance or a peer has sent.
pub(crate) fn on_renewal(shared: &Shared, sent_at: Instant, alive: bool) {
    if let Some(instance) = shared.authority.update().as_mut() {
        let now = Instant::now();
        instance.authority_mut().on_renewal(sent_at, alive, now);
    }
}

/// Deletes the registration at shutdown, after all requests have ended.
pub(crate) async fn deregister(shared: &Shared) {
    let Some(incarnation) = resign(shared) else {
        return;
    };
    let suffix = key_suffix(&shared.settings.instance, incarnation);
    for prefix in [MEMBER_PREFIX, ALIVE_PREFIX] {
        let key = format!("{prefix}{suffix}");
        let deleted = async {
            let entry = shared.store.get(&key).await?;
            let version = entry.map_or(0, |entry| entry.version);
            shared.store.delete(&key, version).await
        };
        if let Err(error) = deleted.await {
            log::warn!(key, error:%; "registration_not_deleted");
        }
    }
}
