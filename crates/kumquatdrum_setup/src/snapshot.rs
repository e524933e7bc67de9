//! The state's bytes in a snapshot.

use kumquatdrum_types::Version;
use serde::{Deserialize, Serialize};

use crate::Trail;
use crate::audit::Broken;
use crate::claim::Entry;
use crate::command::ApplyId;
use crate::history::{Accepted, Corrupt};

/// The encoding of a snapshot; its first byte.
pub const FORMAT: u8 = 1;

/// What a snapshot holds; all else is derived from it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Contents {
    pub applied: u64,
    pub clock_ms: u64,
    pub versions: Vec<Accepted>,
    pub trail: Trail,
    pub claims: Vec<Entry>,
    pub early: Vec<(ApplyId, Version)>,
}

/// Why bytes are not a whole snapshot of this release.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// Nothing there.
    #[error("the snapshot is empty")]
    Empty,
    /// Written by a release with another encoding.
    #[error("snapshot format {0} is not known")]
    Format(u8),
    /// Not a snapshot.
    #[error("the snapshot can't be decoded: {0}")]
    Postcard(#[from] postcard::Error),
    /// A version's text was changed.
    #[error(transparent)]
    Corrupt(#[from] Corrupt),
    /// The audit trail was changed.
    #[error("the audit trail is broken: {0}")]
    Broken(#[from] Broken),
}

/// The bytes of some contents.
pub(crate) fn encode(contents: &Contents) -> Vec<u8> {
    postcard::to_extend(contents, vec![FORMAT]).expect("the state has no unsized parts")
}

/// Reads the bytes of [`encode`].
pub(crate) fn decode(bytes: &[u8]) -> Result<Contents, RestoreError> {
    match bytes.split_first() {
        None => Err(RestoreError::Empty),
        Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((&format, _)) => Err(RestoreError::Format(format)),
    }
}
