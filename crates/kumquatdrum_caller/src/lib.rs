//! Callers: HTTP in, streams, deadlines and errors.

pub mod admission;
pub mod answer;
pub mod assembly;
pub mod body;
pub mod routes;
pub mod wire;

pub use admission::{Admission, Reply};
