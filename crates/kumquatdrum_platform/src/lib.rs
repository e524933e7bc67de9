//! The platform: health, signals, metrics and draining.

pub mod drain;
pub mod face;
pub mod metrics;
pub mod signal;
pub mod sockets;

pub use drain::Drain;
pub use metrics::Metrics;
