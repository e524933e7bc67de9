//! The replicated state: the record with the highest revision.

use serde::{Deserialize, Serialize};

use crate::Record;

/// Holds the record with the highest revision that was ever applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    current: Option<Record>,
}

impl Register {
    /// Takes a record whose revision is higher than the present one; any other changes nothing.
    pub fn apply(&mut self, record: Record) -> bool {
        if record.revision <= self.revision() {
            return false;
        }
        self.current = Some(record);
        true
    }

    /// The present revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |record| record.revision)
    }

    /// The present record.
    pub const fn current(&self) -> Option<&Record> {
        self.current.as_ref()
    }

    /// For a snapshot.
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

    /// From a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
