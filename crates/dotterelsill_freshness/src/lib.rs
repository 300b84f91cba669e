//! Proofs that a revision was current at an instant.
