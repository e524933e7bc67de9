//! Operators: apply, read back, audit and status.

pub mod auth;
pub mod routes;

pub use auth::{Operator, Operators};
pub use routes::{Desk, routes};
