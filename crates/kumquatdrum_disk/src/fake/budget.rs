//! The number of changes that a disk still accepts.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;

/// Counts down the changes that still succeed. Clones share the count.
#[derive(Debug, Clone, Default)]
pub(super) struct Budget {
    left: Arc<Mutex<Option<u64>>>,
}

impl Budget {
    /// Makes all changes after the next `count` fail.
    pub(super) fn limit(&self, count: u64) {
        *self.left.lock() = Some(count);
    }

    /// Lets all changes succeed again.
    pub(super) fn lift(&self) {
        *self.left.lock() = None;
    }

    /// Returns whether a change has failed, or the next one will.
    pub(super) fn is_spent(&self) -> bool {
        *self.left.lock() == Some(0)
    }

    /// Counts a change.
    pub(super) fn spend(&self) -> io::Result<()> {
        match &mut *self.left.lock() {
            Some(0) => Err(io::Error::other("the process was killed")),
            Some(count) => {
                *count -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}
