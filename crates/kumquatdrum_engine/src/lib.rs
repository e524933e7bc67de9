//! Client of model engines: streams, resume, cancel, orders and cache events.

pub mod engine;
pub mod http;
mod order;
pub mod sse;

pub use engine::{Engine, Unreachable};
pub use http::Client;
