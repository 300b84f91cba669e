//! Drives one mover until it stops.

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
    acting::{
        unix_ms,
        Acting, //
    },
    encode::PoolState,
    error::Error, //
};

/// Pause after an event that is no progress.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Instance whose mover is driven, with what was read last.
struct Driven<'a> {
    acting: Acting<'a>,
    instance: Instance,
    last: Option<PoolState>,
    service: Service,
    upstreams: u32,
}

/// Performs the actions of a mover and returns how it stopped.
pub(crate) async fn drive(
    acting: Acting<'_>,
    instance: Instance,
    service: Service,
    mut mover: Mover,
) -> Result<Outcome, Error> {
    let mut driven = Driven {
        acting,
        instance,
        last: None,
        service,
        upstreams: 0,
    };
    loop {
        let action = mover.pending().clone();
        if let Action::Stop(outcome) = action {
            return Ok(outcome);
        }
        let event = driven.perform(&action).await?;
        if matches!(event, Event::AnswerLost | Event::Conflict | Event::Timeout) {
            Timer::after(RETRY_PAUSE).await;
        }
        mover.on_event(event);
    }
}

impl Driven<'_> {
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
                let carried = self.acting.order(self.instance, *order, *stamp).await;
                carried.map(|carried| match carried {
                    true => Event::OrderCompleted(*stamp),
                    false => Event::Timeout,
                })
            }
            Action::Stop(_) => Ok(Event::Timeout),
        };
        match result {
            Err(error) if error.ends_lead() => Err(error),
            Err(error) => {
                let instance = self.acting.shared.names.name(self.instance.0);
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
        let read = self.acting.read_pool(self.instance).await?;
        self.last = read.as_ref().map(|read| read.value);
        let record = read.map(|read| dotterelsill_fleet::Versioned {
            value: read.value.record,
            version: read.version,
        });
        Ok(Event::PoolRead(record))
    }

    async fn read_budget(&mut self) -> Result<Event, Error> {
        // A budget that is missing is created by the leader's next round.
        let Some((record, upstreams)) = self.acting.read_budget(self.service).await? else {
            return Ok(Event::Timeout);
        };
        self.upstreams = upstreams;
        Ok(Event::BudgetRead(record))
    }

    async fn write_pool(&mut self, write: &Write<PoolRecord>) -> Result<Event, Error> {
        let state = PoolState {
            record: write.value,
            maintained_unix_ms: self.maintained(&write.value),
        };
        let expected_version = write.expected_version;
        let written = self
            .acting
            .write_pool(self.instance, &state, expected_version);
        let PutResult { written, version } = written.await?;
        if !written {
            return Ok(Event::Conflict);
        }
        self.last = Some(state);
        let name = self.acting.shared.names.name(self.instance.0);
        log::info!(instance = name, step:% = write.value.step; "step_recorded");
        Ok(Event::PoolWritten {
            expected_version,
            version,
        })
    }

    /// Returns the end of the last maintenance for a record to be written: now,
    /// if the record says that the maintenance has taken effect.
    fn maintained(&self, next: &PoolRecord) -> u64 {
        let Some(last) = self.last else {
            return 0;
        };
        let was_maintaining = matches!(last.record.step, Step::Maintain { .. });
        if was_maintaining && matches!(next.step, Step::Attach { .. }) {
            return unix_ms();
        }
        last.maintained_unix_ms
    }

    async fn write_budget(&mut self, write: &Write<BudgetRecord>) -> Result<Event, Error> {
        let expected_version = write.expected_version;
        let (service, upstreams) = (self.service, self.upstreams);
        let written = self
            .acting
            .write_budget(service, &write.value, upstreams, expected_version);
        Ok(match written.await?.written {
            true => Event::BudgetWritten { expected_version },
            false => Event::Conflict,
        })
    }

    async fn ask(
        &self,
        stamp: Stamp,
        is_so: impl Fn(&AskResponse) -> bool,
        event: impl Fn(Stamp) -> Event,
    ) -> Result<Event, Error> {
        let answer = self.acting.ask(self.instance, stamp).await?;
        Ok(match answer.admitted && is_so(&answer) {
            true => event(stamp),
            false => Event::Timeout,
        })
    }
}
