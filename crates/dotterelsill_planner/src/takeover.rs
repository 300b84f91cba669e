//! Takeover of the budgets by a new leader.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_fleet::{
    BudgetRecord,
    Service,
    Takeover,
    TakeoverAction,
    TakeoverEvent,
    Versioned, //
};

use crate::{
    error::Error,
    fenced_access::FencedAccess,
    topology::Topology, //
};

/// Pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Writes the token of the new leader into the budgets of all services, so that
/// no earlier leader can charge them any more. Services without upstreams are
/// included.
pub(crate) async fn run(access: FencedAccess<'_>, topology: &Topology) -> Result<Takeover, Error> {
    let mut services: BTreeSet<Service> = topology.services.keys().copied().collect();
    services.extend(access.list_budgets().await?.into_keys());
    let mut takeover = Takeover::new(access.token(), services.iter().copied());
    let mut upstreams = BTreeMap::new();
    for service in services {
        let mut action = TakeoverAction::Read;
        loop {
            let event = perform(access, service, &action, topology, &mut upstreams).await?;
            match takeover.on_event(service, event) {
                Some(TakeoverAction::Stop) => return Err(Error::Fenced),
                Some(next) => action = next,
                None => break,
            }
        }
    }
    Ok(takeover)
}

/// Performs an action and returns the event for the takeover. A call that fails
/// is reported as [`TakeoverEvent::Retry`].
async fn perform(
    access: FencedAccess<'_>,
    service: Service,
    action: &TakeoverAction,
    topology: &Topology,
    upstreams: &mut BTreeMap<Service, u32>,
) -> Result<TakeoverEvent, Error> {
    let result = match action {
        TakeoverAction::Write(write) => {
            let count = upstreams.get(&service).copied().unwrap_or(0);
            let expected_version = write.expected_version;
            let put = access.write_budget(service, &write.value, count, expected_version);
            put.await.map(|put| match put.written {
                true => TakeoverEvent::Written { expected_version },
                false => TakeoverEvent::Retry,
            })
        }
        TakeoverAction::Read | TakeoverAction::Stop => {
            let read = read_or_create(access, service, topology).await;
            read.map(|read| match read {
                Some((record, count)) => {
                    upstreams.insert(service, count);
                    TakeoverEvent::Read(record)
                }
                None => TakeoverEvent::Retry,
            })
        }
    };
    match result {
        Ok(event) => Ok(event),
        Err(error) if error.ends_leadership() => Err(error),
        Err(error) => {
            log::warn!(error:%; "takeover_delayed");
            Timer::after(RETRY_PAUSE).await;
            Ok(TakeoverEvent::Retry)
        }
    }
}

/// Reads a budget. Creates it if it is missing; the next read then finds it.
async fn read_or_create(
    access: FencedAccess<'_>,
    service: Service,
    topology: &Topology,
) -> Result<Option<(Versioned<BudgetRecord>, u32)>, Error> {
    let read = access.read_budget(service).await?;
    if read.is_none() {
        create_budget(access, service, topology).await?;
    }
    Ok(read)
}

/// Creates the budget of a service unless it exists.
pub(crate) async fn create_budget(
    access: FencedAccess<'_>,
    service: Service,
    topology: &Topology,
) -> Result<(), Error> {
    let upstreams = topology.services.get(&service).map_or(0, |s| s.upstreams);
    let record = BudgetRecord::new(access.token(), upstreams);
    access.write_budget(service, &record, upstreams, 0).await?;
    Ok(())
}
