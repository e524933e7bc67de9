//! Texts of the setup and the differences between them.

use bytes::Bytes;
use kumquatdrum_types::{Version, digest};
use serde::{Deserialize, Serialize};

use super::delta::{self, Part};

/// The most bytes of a part beyond its own text.
const PART_OVERHEAD_BYTES: usize = 11;

/// One accepted version of the declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setup {
    /// The version.
    pub version: Version,
    /// The digest of the text, as [`kumquatdrum_types::digest::hex`] has it.
    pub digest: String,
    /// The text.
    pub text: Bytes,
}

/// A text on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Text {
    /// All of it.
    Whole(Bytes),
    /// The parts that it is made of, some of which are copied from another version's text.
    Delta {
        /// The other version.
        base: Version,
        /// The parts, in order.
        parts: Vec<Part>,
    },
}

impl Setup {
    /// A version with its digest worked out.
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

    /// The beginning of the digest.
    pub fn digest_prefix(&self) -> u64 {
        self.digest
            .get(..16)
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
            .unwrap_or(0)
    }
}

impl Text {
    /// The difference to a base, or the whole where that is no longer.
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

    /// The text that this stands for; `None` where it is a difference to another base.
    pub fn apply(&self, current: Option<&Setup>) -> Option<Bytes> {
        match (self, current) {
            (Self::Whole(text), _) => Some(text.clone()),
            (Self::Delta { base, parts }, Some(current)) if current.version == *base => {
                delta::join(&current.text, parts)
            }
            _ => None,
        }
    }

    /// The bytes of text that it carries itself.
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
