//! SHA-256 digests: 32 bytes in binary encodings, 64 hexadecimal digits in readable ones.

use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// A SHA-256 digest.
///
/// ```
/// use kumquatdrum_setup::Digest;
/// let digest = Digest::of(b"declaration");
/// assert_eq!(digest.to_string().len(), 64);
/// assert_eq!(Digest::parse(&digest.to_string()), Some(digest));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The size of a digest.
    pub const BYTES: usize = 32;

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Computes the digest of some bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Computes the digest of several parts, each prefixed by its length, so that different lists
    /// of parts with the same concatenation have different digests.
    ///
    /// ```
    /// use kumquatdrum_setup::Digest;
    /// assert_ne!(Digest::of_parts(&[b"ab", b"c"]), Digest::of_parts(&[b"a", b"bc"]));
    /// ```
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.as_bytes();
        if text.len() != 2 * Self::BYTES {
            return None;
        }
        let mut bytes = [0; Self::BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = (high << 4 | low) as u8;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            Self::parse(&text).ok_or_else(|| D::Error::custom("not a SHA-256 digest"))
        } else {
            <[u8; Self::BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}
