//! The border between a replica's shell and its disk.

use std::fmt::Debug;

use kumquatdrum_consensus::{Batch, StoredState};

use crate::{Error, Identity};

/// Where a replica keeps its state.
pub trait Store: Debug + Send + Sync {
    /// Whose state it is.
    fn identity(&self) -> &Identity;

    /// All that it holds, checked.
    fn load(&self) -> Result<StoredState, Error>;

    /// Applies batches in their order, all or none. They are synced when this returns.
    ///
    /// After an error nothing can be written any more: the replica has to be stopped, and the
    /// store opened anew.
    fn write(&self, batches: &[Batch]) -> Result<(), Error>;
}
