//! Messages and settings, generated from the schema under `proto/`.
//!
//! The public modules contain only code that `dotterelsill_protogen` generates. The
//! schema documents the meanings and units of the fields; the generated code repeats
//! its comments as doc comments.

/// The operators' configuration and the document in which the store keeps it.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.config.rs"]
pub mod config;

/// Calls to the job scheduler and the values that it keeps in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.jobs.rs"]
pub mod jobs;

/// Calls between entry instances, and calls of the command line to them.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.peer.rs"]
pub mod peer;

/// Calls to the planner and the values that it keeps in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.planner.rs"]
pub mod planner;

/// Calls to the platform about its instances, and to its stand-in.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.platform.rs"]
pub mod platform;

/// Settings of the binaries.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.settings.rs"]
pub mod settings;

/// Values that entry instances keep in the store.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.state.rs"]
pub mod state;

/// Calls to the platform's key-value store, and to its stand-in.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dotterelsill.store.rs"]
pub mod store;

mod when_isolated;
