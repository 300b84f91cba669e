//! Whether the jobs in the intake are known well enough to say how many jobs are pending.
//!
//! Addresses changes of the scheduler, and stores that reject some instances or answer
//! slowly: while no scheduler answers, instances accept jobs into the intake, and the next
//! one learns of them by reading it. A read shows all jobs that were accepted before it
//! began, so the age of the number is counted from there.

use std::time::Duration;

/// Age from which the number of pending jobs is not given any more.
pub const MAX_PENDING_AGE: Duration = Duration::from_secs(2);

/// Why the number of pending jobs is not known.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PendingUnknown {
    /// Another scheduler may accept jobs.
    NoAuthority,
    /// The intake was not read under this scheduler.
    IntakeUnread,
    /// The latest read of the intake began too long ago.
    IntakeReadOld,
}

impl PendingUnknown {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::NoAuthority, Self::IntakeUnread, Self::IntakeReadOld];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoAuthority => "no_authority",
            Self::IntakeUnread => "intake_unread",
            Self::IntakeReadOld => "intake_read_old",
        }
    }
}

/// Number of pending jobs of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingCount {
    /// Number of jobs that are accepted and have not begun.
    pub jobs: u64,
    /// Time since when jobs may have been accepted that it leaves out.
    pub age: Duration,
}

/// Reads of the intake under one scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntakeReads {
    latest_began: Option<Duration>,
}

impl IntakeReads {
    /// Records that all jobs that a current read has shown are known. A read that began
    /// earlier may be answered later.
    pub fn on_read(&mut self, began: Duration) {
        self.latest_began = self.latest_began.max(Some(began));
    }

    /// Returns the count with its age, if it is known. `self` must be taken before the
    /// jobs are counted, and authority and time after that, so that a pause in between
    /// makes the count older.
    ///
    /// # Errors
    ///
    /// Returns why the number is not known.
    pub fn count(
        self,
        jobs: u64,
        has_authority: bool,
        now: Duration,
    ) -> Result<PendingCount, PendingUnknown> {
        if !has_authority {
            return Err(PendingUnknown::NoAuthority);
        }
        let began = self.latest_began.ok_or(PendingUnknown::IntakeUnread)?;
        let age = now.saturating_sub(began);
        if age >= MAX_PENDING_AGE {
            return Err(PendingUnknown::IntakeReadOld);
        }
        Ok(PendingCount { jobs, age })
    }
}

impl PendingCount {
    /// Returns the count as it is after a time on the way from the scheduler.
    ///
    /// # Errors
    ///
    /// Returns an error if it has become too old.
    pub fn after(self, passed: Duration) -> Result<Self, PendingUnknown> {
        let age = self.age.saturating_add(passed);
        if age >= MAX_PENDING_AGE {
            return Err(PendingUnknown::IntakeReadOld);
        }
        Ok(Self { age, ..self })
    }
}
