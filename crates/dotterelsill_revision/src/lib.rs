//! The revision in force, acceptance of changes and authority of instances.
