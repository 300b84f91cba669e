//! Performs the I/O for a mover until it stops.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_fleet::{
    Action,
    BudgetRecord,
    Event,
    Instance,
    Mover,
    Outcome,
    PoolRecord,
    Service,
    Stamp,
    Step,
    Write, //
};
use dotterelsill_proto::platform::AskResponse;
use dotterelsill_store::PutResult;

use crate::{
    encode::PoolState,
    error::Error,
    fenced_access::{
        unix_ms,
        FencedAccess, //
    }, //
};

/// Pause before the next action after an event without progress.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Performs the actions of one instance's mover.
struct MoverDriver<'a> {
    access: FencedAccess<'a>,
    instance: Instance,
    /// Pool record as last read or written.
    last_state: Option<PoolState>,
    /// Service whose budget is charged.
    service: Service,
    /// Number of upstreams stored with the budget as last read.
    upstreams: u32,
}

/// Performs the actions of a mover until it stops and returns its outcome.
pub(crate) async fn run_mover(
    access: FencedAccess<'_>,
    instance: Instance,
    service: Service,
    mut mover: Mover,
) -> Result<Outcome, Error> {
    let mut driver = MoverDriver {
        access,
        instance,
        last_state: None,
        service,
        upstreams: 0,
    };
    loop {
        let action = mover.pending().clone();
        if let Action::Stop(outcome) = action {
            return Ok(outcome);
        }
        let event = driver.perform(&action).await?;
        if matches!(event, Event::AnswerLost | Event::Conflict | Event::Timeout) {
            Timer::after(RETRY_PAUSE).await;
        }
        mover.on_event(event);
    }
}

impl MoverDriver<'_> {
    /// Performs an action and returns the event for the mover. A write that fails
    /// may have taken effect, so it is reported as [`Event::AnswerLost`].
    async fn perform(&mut self, action: &Action) -> Result<Event, Error> {
        let is_write = matches!(action, Action::WriteBudget(_) | Action::WritePool(_));
        let result = match action {
            Action::ReadPool => self.read_pool().await,
            Action::ReadBudget => self.read_budget().await,
            Action::WritePool(write) => self.write_pool(write).await,
            Action::WriteBudget(write) => self.write_budget(write).await,
            Action::AskEmpty(stamp) => self.ask(*stamp, |a| a.empty, Event::Empty).await,
            Action::AskInService(stamp) => {
                self.ask(*stamp, |a| a.in_service, Event::InService).await
            }
            Action::Order(order, stamp) => {
                let took_effect = self.access.order(self.instance, *order, *stamp).await;
                took_effect.map(|took_effect| match took_effect {
                    true => Event::OrderCompleted(*stamp),
                    false => Event::Timeout,
                })
            }
            Action::Stop(_) => Ok(Event::Timeout),
        };
        match result {
            Err(error) if error.ends_leadership() => Err(error),
            Err(error) => {
                let instance = self.access.shared.names.name(self.instance.0);
                log::info!(instance, error:%; "step_delayed");
                Ok(if is_write {
                    Event::AnswerLost
                } else {
                    Event::Timeout
                })
            }
            event => event,
        }
    }

    async fn read_pool(&mut self) -> Result<Event, Error> {
        let read = self.access.read_pool(self.instance).await?;
        self.last_state = read.as_ref().map(|read| read.value);
        let record = read.map(|read| dotterelsill_fleet::Versioned {
            value: read.value.record,
            version: read.version,
        });
        Ok(Event::PoolRead(record))
    }

    async fn read_budget(&mut self) -> Result<Event, Error> {
        // The leader's next round creates a missing budget.
        let Some((record, upstreams)) = self.access.read_budget(self.service).await? else {
            return Ok(Event::Timeout);
        };
        self.upstreams = upstreams;
        Ok(Event::BudgetRead(record))
    }

    async fn write_pool(&mut self, write: &Write<PoolRecord>) -> Result<Event, Error> {
        let state = PoolState {
            record: write.value,
            maintained_unix_ms: self.maintenance_end(&write.value),
        };
        let expected_version = write.expected_version;
        let written = self
            .access
            .write_pool(self.instance, &state, expected_version);
        let PutResult { written, version } = written.await?;
        if !written {
            return Ok(Event::Conflict);
        }
        self.last_state = Some(state);
        let name = self.access.shared.names.name(self.instance.0);
        log::info!(instance = name, step:% = write.value.step; "step_recorded");
        Ok(Event::PoolWritten {
            expected_version,
            version,
        })
    }

    /// Returns the end of the last maintenance to store with a record. It is the
    /// current time if the record moves on from the maintenance step.
    fn maintenance_end(&self, next: &PoolRecord) -> u64 {
        let Some(last_state) = self.last_state else {
            return 0;
        };
        let was_maintaining = matches!(last_state.record.step, Step::Maintain { .. });
        if was_maintaining && matches!(next.step, Step::Attach { .. }) {
            return unix_ms();
        }
        last_state.maintained_unix_ms
    }

    async fn write_budget(&mut self, write: &Write<BudgetRecord>) -> Result<Event, Error> {
        let expected_version = write.expected_version;
        let (service, upstreams) = (self.service, self.upstreams);
        let written = self
            .access
            .write_budget(service, &write.value, upstreams, expected_version);
        Ok(match written.await?.written {
            true => Event::BudgetWritten { expected_version },
            false => Event::Conflict,
        })
    }

    /// Queries the instance and returns the event if the condition holds.
    async fn ask(
        &self,
        stamp: Stamp,
        condition: impl Fn(&AskResponse) -> bool,
        event: impl Fn(Stamp) -> Event,
    ) -> Result<Event, Error> {
        let answer = self.access.ask(self.instance, stamp).await?;
        Ok(match answer.admitted && condition(&answer) {
            true => event(stamp),
            false => Event::Timeout,
        })
    }
}
