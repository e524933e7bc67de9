//! HTTP interface and commands for operators: apply, show, audit and status.
//!
//! [`routes()`] serves the HTTP interface on a daemon, over any [`kumquatdrum_setup::Control`].
//! [`Client`] is its client, and [`command`] has a function for each command.

pub mod auth;
pub mod client;
pub mod command;
pub mod progress;
mod reply;
pub mod report;
pub mod rfc3339;
pub mod routes;

pub use auth::{Operator, Operators};
pub use client::{Client, Connection};
pub use command::Exit;
pub use progress::Progress;
pub use routes::{Context, routes};
