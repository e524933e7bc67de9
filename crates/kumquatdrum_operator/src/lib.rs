//! Operators: apply, read back, audit and status.
//!
//! [`routes()`] is the HTTP interface on a daemon, over any [`kumquatdrum_setup::Control`].
//! [`Client`] speaks to it, and [`command`] holds one function for each operators' command.

pub mod auth;
pub mod client;
pub mod command;
pub mod progress;
mod rejection;
pub mod report;
pub mod rfc3339;
pub mod routes;

pub use auth::{Operator, Operators};
pub use client::{Client, Connection};
pub use command::Exit;
pub use progress::Progress;
pub use routes::{Context, routes};
