//! Request traces: generation, replay against a running system, checks and report.
//!
//! A trace is a JSON Lines file of requests with their expected outcomes. [`replay`] sends it to a
//! running system and checks each answer; [`load`] compares the path through a daemon with the
//! straight path to an engine.

pub mod client;
pub mod counters;
pub mod generator;
pub mod latency;
pub mod load;
pub mod mix;
pub mod outcome;
pub mod prompt;
pub mod replay;
pub mod report;
pub mod sse;
pub mod trace;
pub mod usage;

pub use generator::generate;
pub use mix::Mix;
pub use outcome::Outcome;
pub use report::Report;
pub use trace::{Entry, Expectation};
