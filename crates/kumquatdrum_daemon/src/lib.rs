//! Core: the life of one request and the composition of one daemon.

pub mod admission;
pub mod body;
pub mod lifecycle;
pub mod cancellation;
pub mod prefix;
