//! Selection of the record under which a job is accepted.

use dotterelsill_proto::jobs::JobRecord;
use prost::Message as _;

/// Returns the record that takes effect when the store already holds one for the
/// same job: the stored one. An earlier attempt whose response was lost may have
/// stored another home than the one chosen now, and the next scheduler looks for
/// runs only in the stored home. Falls back to `own` if the stored record cannot be
/// decoded.
pub fn effective_record(own: JobRecord, stored: &[u8]) -> JobRecord {
    match JobRecord::decode(stored) {
        Ok(stored) => stored,
        Err(error) => {
            log::error!(error:%; "stored_job_unreadable");
            own
        }
    }
}
