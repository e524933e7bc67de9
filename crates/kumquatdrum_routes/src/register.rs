//! The replicated register that holds the current setup.

use serde::{Deserialize, Serialize};

use crate::Record;

/// Holds the record with the highest revision applied so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    current: Option<Record>,
}

impl Register {
    /// Stores a record if its revision is higher than the current one; returns whether it was
    /// stored.
    pub fn apply(&mut self, record: Record) -> bool {
        if record.revision <= self.revision() {
            return false;
        }
        self.current = Some(record);
        true
    }

    /// Returns the current revision, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |record| record.revision)
    }

    /// Returns the current record.
    pub const fn current(&self) -> Option<&Record> {
        self.current.as_ref()
    }

    /// Encodes the register for a snapshot.
    ///
    /// ```
    /// use kumquatdrum_routes::Register;
    ///
    /// let register = Register::default();
    /// let bytes = register.encode().expect("a register can be encoded");
    /// assert_eq!(Register::decode(&bytes), Ok(register));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a register from a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
