//! Executor threads, and HTTP/1 and gRPC clients and servers over `smol-hyper`.
//!
//! Every socket has `TCP_NODELAY` set. With Nagle's algorithm, sequential HTTP/2 calls
//! over loopback take 44 ms each instead of 0.13 ms.

mod channel;
mod hedge;
mod http1;
mod lateness;
mod listener;
mod pair;
mod runtime;
mod tasks;

pub use channel::{
    origin,
    Channel,
    ChannelError, //
};
pub use hedge::{
    hedged,
    Attempt, //
};
pub use http1::{
    Http1Connection,
    Http1Error, //
};
pub use lateness::{
    Lateness,
    LatenessSummary, //
};
pub use listener::{
    serve_grpc,
    serve_http1,
    serve_http1_within,
    ConnectionLimits,
    ListenError,
    Listener, //
};
pub use pair::ServicePair;
pub use runtime::{
    on_reload_signal,
    run,
    termination_signal, //
};
pub use tasks::{
    timeout,
    Elapsed,
    Tasks, //
};
