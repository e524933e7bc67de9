//! The life of one request: admitted, queued, dispatched, streaming, then finished or failed.
//!
//! A [`Lifecycle`] is a state machine without a clock. It is told what happened and says what to do
//! next. Three rules stand above the others:
//!
//! * "not run" is said only where nothing was sent, or where the engine confirmed that the attempt
//!   never started and never will;
//! * a request that may not be repeated goes to a second endpoint only after such a confirmation;
//! * once a part of the answer has reached the caller, the answer is only ever resumed, never begun
//!   anew elsewhere.

mod event;
mod machine;
mod policy;

pub use event::{Cause, Ending, Input, Output};
pub use machine::Lifecycle;
pub use policy::{Policy, Timing};
