//! Persistent storage of a replica's consensus state.

use std::fmt::Debug;

use kumquatdrum_consensus::{Batch, StoredState};

use crate::{Error, Identity};

/// Stores the consensus state of one replica.
pub trait Store: Debug + Send + Sync {
    /// Returns the host and incarnation whose state is stored.
    fn identity(&self) -> &Identity;

    /// Reads and verifies the stored state.
    fn load(&self) -> Result<StoredState, Error>;

    /// Applies the batches in order, atomically, and syncs them to disk.
    ///
    /// After an error the store rejects all writes: the replica has to be stopped and the store
    /// reopened.
    fn write(&self, batches: &[Batch]) -> Result<(), Error>;
}
