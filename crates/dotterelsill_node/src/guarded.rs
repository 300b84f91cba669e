//! A record that only the scheduler writes, as a whole.
//!
//! A write that got no answer may be carried out seconds later. Each write
//! therefore expects the revision of the one before, so that a late one replaces
//! no newer record.

use dotterelsill_store::{
    Committed,
    OperationError,
    Transaction,
    Write, //
};

use crate::{
    keys,
    leadership::Leadership, //
};

/// A record and its revision as known last.
pub(crate) struct GuardedRecord {
    key: &'static str,
    revision: u64,
}

impl GuardedRecord {
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
        leadership: &Leadership,
        value: Vec<u8>,
    ) -> Result<bool, OperationError> {
        while !leadership.authority.is_lost() {
            let transaction = Transaction {
                expected: vec![
                    (keys::LEADER.to_owned(), leadership.token),
                    (self.key.to_owned(), self.revision),
                ],
                writes: vec![Write {
                    key: self.key.to_owned(),
                    value: value.clone(),
                    lease: 0,
                }],
                removes: Vec::new(),
            };
            match (leadership.store.commit)(transaction).await? {
                Committed::Done { revision } => {
                    self.revision = revision;
                    return Ok(true);
                }
                Committed::Conflict { current } => {
                    let current_item = |key: &str| current.iter().find(|item| item.key == key);
                    if current_item(keys::LEADER)
                        .is_none_or(|item| item.revision != leadership.token)
                    {
                        leadership
                            .authority
                            .mark_lost("the scheduler's key has changed");
                        return Ok(false);
                    }
                    self.revision = current_item(self.key).map_or(0, |item| item.revision);
                }
            }
        }
        Ok(false)
    }
}
