//! The life cycle of one request: admitted, queued, dispatched, streaming, then finished or failed.
//!
//! [`Lifecycle`] is a state machine without a clock or I/O. Its invariants:
//!
//! * "not run" is reported only if nothing was sent, or if the engine confirmed that the attempt
//!   never started and never will;
//! * a request that isn't idempotent goes to a second endpoint only after such a confirmation;
//! * a response that has partly reached the caller is resumed, never restarted elsewhere.

mod event;
mod machine;
mod policy;

pub use event::{Cause, Ending, Input, Output};
pub use machine::Lifecycle;
pub use policy::{Policy, Timing};
