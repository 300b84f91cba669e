//! Choice of the upstream that runs a request.
