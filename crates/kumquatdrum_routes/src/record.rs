//! A revision of the setup as it travels and is stored: its number and its text, packed.

use std::io::{Read as _, Write as _};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

/// A revision and its text, byte for byte as the operator sent it.
///
/// The text is held packed: routes repeat their fields, so that a setup of 1,200 routes is a
/// fifteenth of its text. Log, snapshot, disk and every message between hosts carry it so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The operator's number.
    pub revision: u64,
    packed: Arc<[u8]>,
}

/// Why a record's text can't be had.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The packed bytes are damaged, or were written by another release.
    #[error("the packed text can't be read: {0}")]
    Damaged(#[from] std::io::Error),
    /// The text is longer than any that is taken from an operator.
    #[error("the text is longer than {} bytes", Record::LARGEST)]
    TooLarge,
}

impl Record {
    /// The longest text in bytes: twice the largest setup that operators send.
    pub const LARGEST: usize = 8 * 1024 * 1024;

    /// Packs the text of a revision.
    ///
    /// ```
    /// use kumquatdrum_routes::Record;
    ///
    /// let record = Record::new(7, b"{\"version\": 7}").expect("a short text");
    /// assert_eq!(record.text().expect("its text"), b"{\"version\": 7}");
    /// ```
    ///
    /// # Errors
    ///
    /// A text over [`Record::LARGEST`].
    pub fn new(revision: u64, text: &[u8]) -> Result<Self, Error> {
        if text.len() > Self::LARGEST {
            return Err(Error::TooLarge);
        }
        // The fastest level: a control host has a sixth of a core.
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text)?;
        let packed = encoder.finish()?.into();
        Ok(Self { revision, packed })
    }

    /// The text, byte for byte.
    ///
    /// # Errors
    ///
    /// Bytes that are no packed text, or one over [`Record::LARGEST`].
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        let limit = Self::LARGEST as u64 + 1;
        let mut decoder = ZlibDecoder::new(&*self.packed).take(limit);
        decoder.read_to_end(&mut text)?;
        if text.len() > Self::LARGEST {
            return Err(Error::TooLarge);
        }
        Ok(text)
    }

    /// Bytes of the packed text.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
