//! The entries of the replicated log.

use crate::Record;
use crate::evacuation::Change;
use serde::{Deserialize, Serialize};

/// The first byte of entries other than records. A record begins with its revision, which is never 0.
const MARKER: u8 = 0;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// A revision of the setup.
    Record(Record),
    /// An order to evacuate a data centre, or to end that.
    Evacuation(Change),
}

/// The encoding of entries other than records, after the marker.
#[derive(Debug, Serialize, Deserialize)]
enum Marked<T> {
    Evacuation(T),
}

impl Entry {
    /// Encodes the entry.
    ///
    /// ```
    /// use kumquatdrum_routes::{Entry, Record};
    ///
    /// let entry = Entry::Record(Record::new(7, b"{}").expect("a short text"));
    /// let bytes = entry.encode().expect("an entry can be encoded");
    /// assert_eq!(Entry::decode(&bytes), Ok(entry));
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        match self {
            Self::Record(record) => postcard::to_stdvec(record),
            Self::Evacuation(change) => {
                postcard::to_extend(&Marked::Evacuation(change), vec![MARKER])
            }
        }
    }

    /// Decodes an entry.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes {
            [MARKER, rest @ ..] => {
                let Marked::Evacuation(change) = postcard::from_bytes(rest)?;
                Ok(Self::Evacuation(change))
            }
            bytes => postcard::from_bytes(bytes).map(Self::Record),
        }
    }
}
