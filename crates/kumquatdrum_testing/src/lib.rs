//! Stand-ins for model engines and plain services, for tests and the demo.
//!
//! [`Engine`] is a model engine with continuous batching, chunked prefill, bounded KV memory and
//! a prefix cache; [`Service`] is a plain service that counts its runs. Faults are injected into
//! both by method calls or over a control port. `docs/ENGINE-PROTOCOL.md` describes the protocol.

pub mod announcer;
pub mod condition;
pub mod control;
pub mod counters;
pub mod engine;
pub mod fault;
pub mod model;
pub mod process;
pub mod prompt;
pub mod relay;
pub mod server;
pub mod service;

pub use engine::Engine;
pub use fault::Fault;
pub use service::Service;
