//! Core: elections, replicated log, snapshots and replica changes.
