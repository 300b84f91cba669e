//! Errors of the leader and of the lease.

use snafu::Snafu;

/// Failure of a call, a stored value or the lease.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}"))]
    Store { source: dotterelsill_store::Error },
    #[snafu(display("platform {call}: {}", source.message()))]
    Platform {
        call: &'static str,
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    #[snafu(display("platform {call}: {source}"))]
    PlatformTimeout {
        call: &'static str,
        source: dotterelsill_rpc::Elapsed,
    },
    #[snafu(display("{key}: the value cannot be read; delete it only if no move is in progress"))]
    InvalidValue { key: String },
    #[snafu(display("{key}: missing in the store"))]
    Missing { key: String },
    #[snafu(display("document {write_id}: its digest differs from the head's"))]
    Digest { write_id: String },
    #[snafu(display("document {write_id}: invalid configuration: {finding}"))]
    InvalidConfiguration { write_id: String, finding: String },
    #[snafu(display("the lease may have ended; this planner stops acting"))]
    LeaseExpired,
    #[snafu(display("a planner with a higher token is in charge"))]
    Fenced,
}

impl Error {
    /// Returns whether this planner is no longer the leader and must stop acting.
    pub(crate) fn ends_leadership(&self) -> bool {
        matches!(self, Self::LeaseExpired | Self::Fenced)
    }
}
