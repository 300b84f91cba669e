//! Test harness that runs the daemons and stand-ins as processes on loopback and
//! injects failures.
//!
//! Every process listens on ports that the harness allocates, and is killed by
//! its process identifier when its handle is dropped. Only the harness starts
//! processes; the daemons never do.

mod address;
mod caller;
mod fleet;
mod link;
mod observer;
mod operate;
mod process;
mod run_log;
mod violations;

pub use address::{
    new_address,
    new_addresses, //
};
pub use caller::{
    Answer,
    Caller, //
};
pub use fleet::{
    Entry,
    Fleet, //
};
pub use link::{
    Link,
    Mode, //
};
pub use observer::{
    Observer,
    SentRequest,
    Work, //
};
pub use process::{
    Process,
    Terminator, //
};
pub use run_log::{
    clock_us,
    read_runs,
    Run, //
};
pub use violations::{
    peak_concurrency,
    violations, //
};
