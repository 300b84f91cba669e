//! Tracks the configuration revision in force on each instance and confirms
//! changes across all instances.
//!
//! A change of the configuration is reported as in force only when no instance
//! can start work under the older revision:
//!
//! - [`Instance`] holds the state of one incarnation. Its [`Snapshot`] decides
//!   whether a piece of work may start at the time of its dispatch.
//! - [`ChangeWriter`] determines the store calls that write a change, and finds
//!   out whether a change was stored when the response of the store was lost.
//! - [`ChangeConfirmation`] decides whether a stored change is in force on every
//!   instance.
//!
//! The crate does no I/O, reads no clock and does not depend on the contents of a
//! revision. The code that drives it, called the driver below, makes the calls
//! and passes in the responses together with the instants at which the requests
//! were sent.
//!
//! # Requirements for the driver
//!
//! - It registers an incarnation in this order: grant the lease, create the
//!   `alive` key, create the `member` key, read the head. An incarnation has a
//!   single lease; after that lease has expired, the driver registers a new
//!   incarnation.
//! - It publishes a new snapshot after each event, and before it responds to a
//!   peer that asks for the revision in force.
//! - It passes in a peer's response only with the instant of the request to which
//!   the response belongs.
//! - It gives up the authority before it deletes its `member` key.
//!
//! # Examples
//!
//! An entry starts work under revision 1 and makes a change. It confirms the
//! change itself. Another entry does not respond, so the change is not in force
//! until the lease of that entry has expired.
//!
//! ```
//! use std::time::{
//!     Duration,
//!     Instant, //
//! };
//!
//! use dotterelsill_revision::{
//!     Action,
//!     Base,
//!     BodyResponse,
//!     ChangeConfirmation,
//!     ChangeWriter,
//!     ConfirmationStatus,
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
//! // The head is read after the registration, followed by its body.
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
//! // Store a change: the driver makes the call that `next_action` returns.
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
//! // Confirm the change: all members are listed after the change was stored.
//! let member = |incarnation| Member {
//!     incarnation,
//!     instance: "entry".into(),
//!     isolation_limit: Duration::ZERO,
//!     state: MemberState::Live,
//! };
//! let mut confirmation = ChangeConfirmation::new(2, start + 25 * ms, false, limits);
//! confirmation.on_members(start + 26 * ms, &[member(me), member(other)])?;
//! confirmation.on_member_response(me, instance.relay(start + 27 * ms).in_force);
//! let stored = confirmation.status(start + 30 * ms);
//! assert!(matches!(stored, ConfirmationStatus::Stored { .. }));
//! confirmation.on_leases(start + 6_000 * ms, start + 6_005 * ms, &[me])?;
//! let done = confirmation.status(start + 6_020 * ms);
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
