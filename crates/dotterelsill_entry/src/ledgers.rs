//! Reads and writes the teams' credit records in the store.

use std::collections::HashMap;

use dotterelsill_escrow::{
    Holding,
    Incarnation,
    Ledger,
    Record, //
};
use dotterelsill_proto::state::{
    EscrowHolding,
    EscrowRecord, //
};
use prost::Message as _;

use crate::shared::Shared;

/// Prefix of the records' keys.
const PREFIX: &str = "escrow/";

/// A record's version, and its content unless it cannot be decoded.
pub(crate) type Versioned = (u64, Option<Ledger>);

/// Reads all records by team; those that cannot be decoded are left out.
pub(crate) async fn list(
    shared: &Shared,
) -> Result<HashMap<String, Versioned>, dotterelsill_store::Error> {
    let entries = shared.store.list(PREFIX).await?;
    let mut records = HashMap::with_capacity(entries.len());
    for entry in entries {
        let team = entry.key.trim_start_matches(PREFIX).to_owned();
        match decode(&entry.value) {
            Some(ledger) => {
                records.insert(team, (entry.version, Some(ledger)));
            }
            None => log::error!(key = entry.key; "escrow_record_invalid"),
        }
    }
    Ok(records)
}

/// Reads the records of some teams; those that do not exist are left out.
pub(crate) async fn read(
    shared: &Shared,
    teams: &[String],
) -> Result<HashMap<String, Versioned>, dotterelsill_store::Error> {
    let mut records = HashMap::with_capacity(teams.len());
    for team in teams {
        let key = format!("{PREFIX}{team}");
        if let Some(entry) = shared.store.get(&key).await? {
            records.insert(team.clone(), (entry.version, decode(&entry.value)));
        }
    }
    Ok(records)
}

/// Writes a record if it still has the expected version, and returns the new
/// version.
///
/// `None` means that the write failed, that another write came first, or that there
/// was no answer; the next read of the record shows which.
pub(crate) async fn write(
    shared: &Shared,
    team: &str,
    version: u64,
    ledger: &Ledger,
) -> Option<u64> {
    let key = format!("{PREFIX}{team}");
    match shared.store.put(&key, encode(ledger), version, 0).await {
        Ok(put) => put.written.then_some(put.version),
        Err(error) => {
            log::debug!(team, error:%; "escrow_not_written");
            None
        }
    }
}

fn decode(value: &[u8]) -> Option<Ledger> {
    let record = EscrowRecord::decode(value).ok()?;
    let holdings: Option<Vec<Holding>> = record.holdings.iter().map(holding).collect();
    Ledger::try_from(Record {
        free: record.free,
        holdings: holdings?,
        limit: record.limit,
        older_limit: record.older_limit,
        revision: record.revision,
    })
    .ok()
}

fn holding(holding: &EscrowHolding) -> Option<Holding> {
    let incarnation = holding.incarnation.as_slice().try_into().ok()?;
    Some(Holding {
        held: holding.held,
        incarnation: Incarnation(u128::from_be_bytes(incarnation)),
        operation: holding.operation,
        wanted: holding.wanted,
    })
}

fn encode(ledger: &Ledger) -> Vec<u8> {
    let record = ledger.to_record();
    let holdings = record.holdings.iter().map(|holding| EscrowHolding {
        held: holding.held,
        incarnation: holding.incarnation.0.to_be_bytes().to_vec(),
        operation: holding.operation,
        wanted: holding.wanted,
    });
    EscrowRecord {
        free: record.free,
        holdings: holdings.collect(),
        limit: record.limit,
        older_limit: record.older_limit,
        revision: record.revision,
    }
    .encode_to_vec()
}
