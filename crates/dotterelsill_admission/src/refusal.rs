//! Reasons for refusing a request before it runs.

use snafu::Snafu;

/// Why a request was refused. A refused request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The queue of the team is full.
    #[snafu(display(
        "the team has {limit} requests waiting, which is the most; send fewer at once"
    ))]
    QueueFull {
        /// Number of requests that one team may have waiting.
        limit: usize,
    },
    /// The request is not expected to finish before its deadline.
    #[snafu(display(
        "the request would not be answered before its deadline; repeat it later or allow more time"
    ))]
    DeadlineUnmeetable,
    /// The team is not part of the active configuration.
    #[snafu(display("the team is not configured; ask the operators for a share"))]
    UnknownTeam,
}
