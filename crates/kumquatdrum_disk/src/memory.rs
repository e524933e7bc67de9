//! An in-memory store for tests.

use kumquatdrum_consensus::{Batch, StoredState};
use parking_lot::Mutex;

use crate::{Error, Identity, Store};

/// A store whose contents are lost when it is dropped.
#[derive(Debug)]
pub struct Memory {
    identity: Identity,
    stored: Mutex<StoredState>,
}

impl Memory {
    /// Creates an empty store.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Batch, Content, Entry, Incarnation, LogIndex, Term};
    /// use kumquatdrum_disk::{Identity, Memory, Store};
    ///
    /// let identity = Identity { host: "ikeja-1".into(), incarnation: Incarnation(7) };
    /// let store = Memory::new(identity);
    /// let entry = Entry { term: Term(1), index: LogIndex(1), content: Content::Noop };
    /// store.write(&[Batch { entries: vec![entry], ..Batch::default() }])?;
    /// assert_eq!(store.load()?.entries.len(), 1);
    /// # Ok::<(), kumquatdrum_disk::Error>(())
    /// ```
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            stored: Mutex::default(),
        }
    }
}

impl Store for Memory {
    fn identity(&self) -> &Identity {
        &self.identity
    }

    fn load(&self) -> Result<StoredState, Error> {
        Ok(self.stored.lock().clone())
    }

    fn write(&self, batches: &[Batch]) -> Result<(), Error> {
        let mut stored = self.stored.lock();
        for batch in batches {
            stored.apply(batch);
        }
        Ok(())
    }
}
