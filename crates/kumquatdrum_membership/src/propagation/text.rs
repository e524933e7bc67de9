//! Setup texts and deltas between them.

use bytes::Bytes;
use kumquatdrum_types::{Version, digest};
use serde::{Deserialize, Serialize};

use super::delta::{self, Part};

/// Maximum encoded size of a part without its literal bytes.
const PART_OVERHEAD_BYTES: usize = 11;

/// Accepted version of the declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setup {
    /// Version.
    pub version: Version,
    /// Digest of the text, from [`kumquatdrum_types::digest::hex`].
    pub digest: String,
    /// Text of the declaration.
    pub text: Bytes,
}

/// Encoding of a text for transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Text {
    /// Complete text.
    Whole(Bytes),
    /// Parts of the text, some of which are ranges of another version's text.
    Delta {
        /// Version that ranges refer to.
        base: Version,
        /// Parts in order.
        parts: Vec<Part>,
    },
}

impl Setup {
    /// Creates a setup and computes its digest.
    ///
    /// ```
    /// use kumquatdrum_membership::propagation::Setup;
    /// use kumquatdrum_types::Version;
    /// let setup = Setup::new(Version(1), "{}");
    /// assert_eq!(setup.digest.len(), 64);
    /// ```
    pub fn new(version: Version, text: impl Into<Bytes>) -> Self {
        let text = text.into();
        Self {
            version,
            digest: digest::hex(&text),
            text,
        }
    }

    /// Returns the first eight bytes of the digest as a number.
    pub fn digest_prefix(&self) -> u64 {
        self.digest
            .get(..16)
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
            .unwrap_or(0)
    }
}

impl Text {
    /// Returns the delta from a base, or the complete text unless the delta is shorter.
    ///
    /// ```
    /// use kumquatdrum_membership::propagation::{Setup, Text};
    /// use kumquatdrum_types::Version;
    /// let base = Setup::new(Version(1), "limit: 5, weight: 1, name: hall-raatuse");
    /// let next = Setup::new(Version(2), "limit: 7, weight: 1, name: hall-raatuse");
    /// let text = Text::between(Some(&base), &next);
    /// assert_eq!(text.literal_bytes(), 1);
    /// assert_eq!(text.apply(Some(&base)), Some(next.text));
    /// ```
    pub fn between(base: Option<&Setup>, next: &Setup) -> Self {
        let delta = base.map(|base| Self::Delta {
            base: base.version,
            parts: delta::parts(&base.text, &next.text),
        });
        match delta {
            Some(delta) if delta.estimated_bytes() < next.text.len() => delta,
            _ => Self::Whole(next.text.clone()),
        }
    }

    /// Returns the decoded text, or `None` if the delta has another base than `current`.
    pub fn apply(&self, current: Option<&Setup>) -> Option<Bytes> {
        match (self, current) {
            (Self::Whole(text), _) => Some(text.clone()),
            (Self::Delta { base, parts }, Some(current)) if current.version == *base => {
                delta::join(&current.text, parts)
            }
            _ => None,
        }
    }

    /// Returns the number of literal text bytes.
    pub fn literal_bytes(&self) -> usize {
        match self {
            Self::Whole(text) => text.len(),
            Self::Delta { parts, .. } => parts.iter().map(Part::literal_bytes).sum(),
        }
    }

    fn estimated_bytes(&self) -> usize {
        match self {
            Self::Whole(text) => text.len(),
            Self::Delta { parts, .. } => self.literal_bytes() + parts.len() * PART_OVERHEAD_BYTES,
        }
    }
}
