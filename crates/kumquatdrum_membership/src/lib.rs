//! Core: hosts and endpoints, liveness and leaving.
