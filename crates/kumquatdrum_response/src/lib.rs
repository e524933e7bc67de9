//! Framing, completeness and silences of HTTP responses and event streams, without clock or network.

mod completeness;
pub mod event;
mod framing;
pub mod silence;

pub use completeness::Completeness;
pub use framing::Framing;
