//! What is known about a body that has ended.

/// What is known about a body that ended without an error of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// All of it has arrived.
    Complete,
    /// It ended with its connection, which may have been closed early.
    Unknown,
    /// It was broken off.
    Broken,
}
