//! The revision in force, acceptance of changes and authority of instances.
//!
//! A change of the configuration is reported as in force only when no instance
//! can start work under the older revision:
//!
//! - [`Instance`] holds what one incarnation knows. Its [`Snapshot`] decides
//!   whether a piece of work may start, at the clock reading of the dispatch.
//! - [`ChangeWriter`] names the store calls that store a change, and recognises a
//!   change whose store answer was lost.
//! - [`ChangeConfirmation`] decides whether a stored change is in force everywhere.
//!
//! The crate does no I/O, reads no clock and knows nothing of what a revision
//! contains. The driver makes the calls and passes in their answers with the
//! instants at which they were sent.
//!
//! # Duties of a driver
//!
//! - It registers an incarnation in this order: grant the lease, create the
//!   `alive` key, create the `member` key, read the head. An incarnation has one
//!   lease; once that has expired, it registers another incarnation.
//! - It publishes a new snapshot after each event, and before it answers a peer
//!   that asks for the revision in force.
//! - It passes a peer's answer only with the instant of the request that it
//!   answers.
//! - It gives up the authority before it deletes its `member` key.
//!
//! # Examples
//!
//! An entry starts work under revision 1 and makes a change. It confirms the
//! change itself, and another entry, which does not answer, holds it up until its
//! lease has expired.
//!
//! ```
//! use std::time::{
//!     Duration,
//!     Instant, //
//! };
//!
//! use dotterelsill_revision::{
//!     ChangeConfirmation,
//!     ConfirmationStatus,
//!     Action,
//!     Base,
//!     BodyResponse,
//!     ChangeWriter,
//!     Decision,
//!     Head,
//!     Incarnation,
//!     Instance,
//!     Limits,
//!     Member,
//!     MemberState,
//!     Mode,
//!     Outcome,
//!     Registration,
//!     SwapResponse,
//!     WhenIsolated,
//!     WriteId, //
//! };
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let ms = Duration::from_millis(1);
//! let start = Instant::now();
//! let registration = Registration {
//!     lease_requested_at: start,
//!     registered_at: start + 5 * ms,
//!     isolation_limit: Duration::ZERO,
//! };
//! let (me, other) = (Incarnation(1), Incarnation(2));
//! let limits = Limits::default();
//! let mut instance = Instance::new(me, registration, limits, Default::default())?;
//!
//! // The head is read after the registration, then its body.
//! let first = Head {
//!     revision: 1,
//!     write_id: WriteId::new("first"),
//! };
//! instance.on_store_read(start + 6 * ms, Some(&first));
//! instance.on_body(&first);
//! let snapshot = instance.snapshot();
//! let decision = snapshot.decide(WhenIsolated::Refuse, start + 10 * ms);
//! assert_eq!(decision, Decision::Start { revision: 1 });
//! let current = snapshot.current_mode(start + 10 * ms);
//! assert_eq!(current.mode, Mode::Fresh);
//! assert_eq!(current.valid_until, Some(start + 3_006 * ms));
//!
//! // A change: the driver makes the call that `next_action` names.
//! let base = Base {
//!     version: 1,
//!     head: Some(first),
//! };
//! let mut change = ChangeWriter::new(WriteId::new("second"), base, start + 5_000 * ms);
//! assert_eq!(change.next_action(), Action::WriteBody);
//! change.on_body(BodyResponse::Written, start + 20 * ms);
//! assert!(matches!(change.next_action(), Action::SwapHead { .. }));
//! change.on_swap(SwapResponse::Swapped, start + 25 * ms);
//! let outcome = Outcome::Stored { revision: 2 };
//! assert_eq!(change.next_action(), Action::Done(outcome));
//! instance.on_head(&change.head());
//! instance.on_body(&change.head());
//!
//! // Acceptance: all members are listed after the change was stored.
//! let member = |incarnation| Member {
//!     incarnation,
//!     instance: "entry".into(),
//!     isolation_limit: Duration::ZERO,
//!     state: MemberState::Live,
//! };
//! let mut acceptance = ChangeConfirmation::new(2, start + 25 * ms, false, limits);
//! acceptance.on_members(start + 26 * ms, &[member(me), member(other)])?;
//! acceptance.on_answer(me, instance.relay(start + 27 * ms).in_force);
//! let stored = acceptance.status(start + 30 * ms);
//! assert!(matches!(stored, ConfirmationStatus::Stored { .. }));
//! acceptance.on_leases(start + 6_000 * ms, start + 6_005 * ms, &[me])?;
//! let done = acceptance.status(start + 6_020 * ms);
//! assert_eq!(done, ConfirmationStatus::InForce { revision: 2 });
//! # Ok(())
//! # }
//! ```

mod action;
mod authority;
mod change_writer;
mod confirmation;
mod ids;
mod instance;
mod limits;
mod member;
mod snapshot;
mod tracker;

pub use action::{
    Action,
    Base,
    BodyResponse,
    HeadRead,
    Outcome,
    Predecessor,
    SwapResponse,
    UnknownReason, //
};
pub use authority::{
    Authority,
    Registration,
    RegistrationError, //
};
pub use change_writer::ChangeWriter;
pub use confirmation::{
    ChangeConfirmation,
    ConfirmationStatus,
    ReadTooEarly,
    UnconfirmedInstance,
    UnconfirmedReason, //
};
pub use ids::{
    Head,
    Incarnation,
    WriteId, //
};
pub use instance::{
    Instance,
    RelayedState, //
};
pub use limits::{
    Limits,
    LEASE,
    MAX_ISOLATION_LIMIT, //
};
pub use member::{
    Member,
    MemberState, //
};
pub use snapshot::{
    CurrentMode,
    Decision,
    Mode,
    Snapshot,
    WhenIsolated, //
};
pub use tracker::{
    HeadUpdate,
    RevisionTracker, //
};
