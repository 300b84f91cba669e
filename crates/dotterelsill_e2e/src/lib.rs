//! Runs the daemons and stand-ins as processes on loopback for tests of failures.
//!
//! Every process listens on ports chosen by the system and is ended by its
//! identifier when its handle is dropped. The harness starts processes; the
//! system itself never does.

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
