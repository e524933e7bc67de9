//! The replicated register that holds the current setup and the evacuations.

use crate::Record;
use crate::evacuation::{Change, Evacuations, Outcome};

/// Holds the record with the highest revision applied so far, and the evacuations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Register {
    current: Option<Record>,
    evacuations: Evacuations,
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

    /// Applies an order to evacuate a data centre, or to end that.
    pub fn evacuate(&mut self, change: &Change) -> Outcome {
        self.evacuations.apply(change)
    }

    /// Returns the current revision, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |record| record.revision)
    }

    /// Returns the current record.
    pub const fn current(&self) -> Option<&Record> {
        self.current.as_ref()
    }

    /// Returns the evacuations.
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
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
        let bytes = postcard::to_stdvec(&self.current)?;
        postcard::to_extend(&self.evacuations, bytes)
    }

    /// Decodes a register from a snapshot. Snapshots of earlier releases end after the record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (current, rest) = postcard::take_from_bytes(bytes)?;
        let evacuations = match rest {
            [] => Evacuations::default(),
            rest => postcard::from_bytes(rest)?,
        };
        Ok(Self {
            current,
            evacuations,
        })
    }
}
