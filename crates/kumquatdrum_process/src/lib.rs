//! Services of a process: clock, randomness, signals, health checks, metrics and draining.

pub mod clock;
pub mod drain;
pub mod inspection;
pub mod liveness;
pub mod metrics;
pub mod monitoring;
pub mod notice;
pub mod quarantine;
pub mod random;
pub mod registry;
pub mod signal;
pub mod sockets;

pub use drain::Drain;
pub use inspection::Inspection;
pub use metrics::Metrics;
pub use registry::Registry;
