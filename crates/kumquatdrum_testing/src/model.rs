//! A model engine as a pure state machine, without sockets or a clock.
//!
//! Each step decodes one token for every request whose prefill is complete and spends the rest of
//! its token budget on prefill, by priority and arrival. Memory is counted in tokens.

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
pub use scheduler::{Model, Progress, Rejection, Step, Summary};
