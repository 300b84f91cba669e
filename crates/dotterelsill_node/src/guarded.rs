//! A record that only the scheduler writes, always as a whole.
//!
//! A write that got no answer may still be executed seconds later. Each write
//! therefore expects the revision of the previous one, so that a delayed write
//! cannot overwrite a newer record.

use dotterelsill_store::{
    CommitOutcome,
    OperationError,
    Transaction,
    Write, //
};

use crate::{
    keys,
    leadership::Leadership, //
};

/// Key of a record and its last known revision.
pub(crate) struct GuardedRecord {
    key: &'static str,
    revision: u64,
}

impl GuardedRecord {
    /// Creates a record whose revision is learned by the first write: it expects that
    /// the record is absent, and a conflict reports the actual revision.
    pub(crate) fn new(key: &'static str) -> Self {
        Self { key, revision: 0 }
    }

    /// Writes the record and returns whether it is stored. If another scheduler holds
    /// the leader key, marks the authority as lost and returns `false`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not answer or did not execute the write.
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
                CommitOutcome::Done { revision } => {
                    self.revision = revision;
                    return Ok(true);
                }
                CommitOutcome::Conflict { current } => {
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
