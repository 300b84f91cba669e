//! At most one run of each request that may not be repeated.
