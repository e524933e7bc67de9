//! Life cycle, admission and cancellation of requests on one daemon.

pub mod admission;
pub mod body;
pub mod cancellation;
pub mod lifecycle;
pub mod prefix;
