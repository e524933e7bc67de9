//! Callers: HTTP in, streams, deadlines and errors.

pub mod answer;
pub mod assembly;
pub mod body;
pub mod gate;
pub mod routes;
pub mod wire;

pub use gate::{Gate, Reply};
