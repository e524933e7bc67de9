//! Positions in a host's history.

use serde::{Deserialize, Serialize};

/// A position in the changes that one process of a host has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The process's start time in Unix milliseconds.
    pub boot: u64,
    /// The number of changes that the process has seen.
    pub changes: u64,
}
