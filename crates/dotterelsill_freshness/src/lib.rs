//! Tracks how recently an instance verified that it knows the current revision.
//!
//! A linearizable read of the store that returns revision `r` proves that every
//! write completed before the read was sent has a revision of at most `r`. The
//! reader stores the revision together with the instant of sending, taken from
//! its own monotonic clock, as a [`Proof`]. Peers receive the proof with its age
//! instead of its instant, because clocks of different machines cannot be
//! compared.
//!
//! The crate does no I/O and reads no clock: the caller passes in every instant.
//!
//! # Examples
//!
//! ```
//! use std::time::{
//!     Duration,
//!     Instant, //
//! };
//!
//! use dotterelsill_freshness::{
//!     Freshness,
//!     Limits, //
//! };
//!
//! let sent_at = Instant::now();
//! let mut freshness = Freshness::new(Limits::default());
//! freshness.on_store_read(sent_at, 7);
//! assert!(freshness.is_fresh(sent_at + Duration::from_millis(2_999)));
//! assert!(!freshness.is_fresh(sent_at + Duration::from_secs(3)));
//! ```

mod drift;
mod freshness;
mod limits;
mod proof;

pub use drift::Drift;
pub use freshness::{
    Freshness,
    ProofUpdate, //
};
pub use limits::Limits;
pub use proof::{
    Proof,
    RelayedProof, //
};
