//! Framing, completeness and silences of HTTP responses and event streams, and what they tell about a
//! request, without clock or network.

mod completeness;
pub mod event;
pub mod execution;
pub mod framing;
pub mod silence;

pub use completeness::Completeness;
pub use framing::Framing;
