//! A revision of the setup as it is stored and sent: its number and its compressed text.

use std::io::{Read as _, Write as _};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

/// A revision of the setup and its text, byte for byte as the operator sent it.
///
/// The text stays compressed in the log, in snapshots, on disk and in messages between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision number, assigned by the operator.
    pub revision: u64,
    packed: Arc<[u8]>,
}

/// An error in compressing or decompressing a record's text.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The compressed bytes are corrupt or have an unknown format.
    #[error("can't decompress the text: {0}")]
    Damaged(#[from] std::io::Error),
    /// The text exceeds [`Record::MAX_TEXT_BYTES`].
    #[error("the text is longer than {} bytes", Record::MAX_TEXT_BYTES)]
    TooLarge,
}

impl Record {
    /// The maximum length of a setup's text in bytes.
    pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

    /// Compresses the text of a revision.
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
    /// Returns an error if the text exceeds [`Record::MAX_TEXT_BYTES`].
    pub fn new(revision: u64, text: &[u8]) -> Result<Self, Error> {
        if text.len() > Self::MAX_TEXT_BYTES {
            return Err(Error::TooLarge);
        }
        // Control hosts have little CPU time, so the fastest level is used.
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text)?;
        let packed = encoder.finish()?.into();
        Ok(Self { revision, packed })
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are corrupt or the text exceeds [`Record::MAX_TEXT_BYTES`].
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        let limit = Self::MAX_TEXT_BYTES as u64 + 1;
        let mut decoder = ZlibDecoder::new(&*self.packed).take(limit);
        decoder.read_to_end(&mut text)?;
        if text.len() > Self::MAX_TEXT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(text)
    }

    /// Returns the size of the compressed text in bytes.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
