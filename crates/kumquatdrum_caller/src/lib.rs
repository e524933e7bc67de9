//! HTTP interface for callers: requests, streamed responses, deadlines and errors.

pub mod admission;
pub mod body;
pub mod completion;
pub mod response;
pub mod routes;
pub mod wire;

pub use admission::{Admission, Reply};
