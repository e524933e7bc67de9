//! A small model engine as a pure state machine: no sockets, no clock.
//!
//! Each step decodes one token for every request whose prompt is computed and spends the rest of
//! the step's token budget on prompts, by priority and arrival. Memory is counted in tokens.

mod attempt;
mod cache;
mod ledger;
mod options;
mod scheduler;

pub use attempt::{Attempt, Request};
pub use cache::{Change, Event};
pub use kumquatdrum_types::exchange::Stage;
pub use ledger::{Hold, HoldError};
pub use options::Options;
pub use scheduler::{Fate, Model, Progress, Rejection, Step};
