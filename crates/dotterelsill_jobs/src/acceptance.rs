//! Under which record a job is taken.

use dotterelsill_proto::jobs::JobRecord;
use prost::Message as _;

/// Returns the record under which a job is taken that is found in the store: the
/// stored one. An earlier try, which got no answer, may have written another home
/// than the one chosen now, and the next scheduler looks for runs in the stored
/// home only.
pub fn effective_record(own: JobRecord, stored: &[u8]) -> JobRecord {
    match JobRecord::decode(stored) {
        Ok(stored) => stored,
        Err(error) => {
            log::error!(error:%; "stored_job_unreadable");
            own
        }
    }
}
