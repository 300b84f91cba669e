//! Reasons for which a request is refused before it runs.

use snafu::Snafu;

/// A request was refused and has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The team has as many requests waiting as it may have.
    #[snafu(display(
        "the team has {limit} requests waiting, which is the most; send fewer at once"
    ))]
    QueueFull {
        /// Most requests that may wait.
        limit: usize,
    },
    /// The request would not be answered in time.
    #[snafu(display(
        "the request would not be answered before its deadline; repeat it later or allow more time"
    ))]
    DeadlineUnmeetable,
    /// The team is not in the configuration in force.
    #[snafu(display("the team is not configured; ask the operators for a share"))]
    UnknownTeam,
}
