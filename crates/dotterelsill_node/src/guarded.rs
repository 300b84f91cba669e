//! A record that only the scheduler writes, as a whole.
//!
//! A write that got no answer may be carried out seconds later. Each write
//! therefore expects the revision of the one before, so that a late one replaces
//! no newer record.

use dotterelsill_store::{
    CommitOutcome,
    OperationError,
    Transaction,
    Write, //
};

use crate::{
    keys,
    lead::Lead, //
};

/// A record and its revision as known last.
pub(crate) struct Guarded {
    key: &'static str,
    revision: u64,
}

impl Guarded {
    /// Creates a record whose revision is learned with the first write.
    pub(crate) fn new(key: &'static str) -> Self {
        Self { key, revision: 0 }
    }

    /// Writes the record; returns whether it is stored. When another scheduler
    /// holds the key, the authority is lost.
    ///
    /// # Errors
    ///
    /// Returns an error when the store did not answer or did nothing.
    pub(crate) async fn write(
        &mut self,
        lead: &Lead,
        value: Vec<u8>,
    ) -> Result<bool, OperationError> {
        while !lead.authority.is_lost() {
            let transaction = Transaction {
                expected: vec![
                    (keys::LEADER.to_owned(), lead.token),
                    (self.key.to_owned(), self.revision),
                ],
                writes: vec![Write {
                    key: self.key.to_owned(),
                    value: value.clone(),
                    lease: 0,
                }],
                removes: Vec::new(),
            };
            match (lead.store.commit)(transaction).await? {
                CommitOutcome::Done { revision } => {
                    self.revision = revision;
                    return Ok(true);
                }
                CommitOutcome::Conflict { current } => {
                    let found = |key: &str| current.iter().find(|item| item.key == key);
                    if found(keys::LEADER).is_none_or(|item| item.revision != lead.token) {
                        lead.authority.lose("the scheduler's key has changed");
                        return Ok(false);
                    }
                    self.revision = found(self.key).map_or(0, |item| item.revision);
                }
            }
        }
        Ok(false)
    }
}
