//! Messages and settings, generated from the schema under `proto/`.
//!
//! The modules below hold generated code only; `dotterelsill_protogen` makes
//! them anew. Units and meanings stand in the schema and are repeated there as
//! doc comments.

/// The operators' text and the configuration document.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.config.rs"]
pub mod config;

/// Jobs: calls to the scheduler and the values that it keeps in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.jobs.rs"]
pub mod jobs;

/// Calls between entry instances and calls of the command line.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.peer.rs"]
pub mod peer;

/// Calls of the planner and the values that it keeps in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.planner.rs"]
pub mod planner;

/// The platform's instances.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.platform.rs"]
pub mod platform;

/// Settings of each binary.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.settings.rs"]
pub mod settings;

/// Values that entry instances keep in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.state.rs"]
pub mod state;

/// The platform's key-value service.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.store.rs"]
pub mod store;

mod when_isolated;
