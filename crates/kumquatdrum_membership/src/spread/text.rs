//! Texts of the setup and the differences between them.

use bytes::Bytes;
use kumquatdrum_types::{Version, digest};
use serde::{Deserialize, Serialize};

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
    /// What lies between the parts that it shares with another version's text.
    Delta {
        /// The other version.
        base: Version,
        /// Bytes that both begin with.
        prefix: u32,
        /// Bytes that both end with.
        suffix: u32,
        /// The bytes in between.
        middle: Bytes,
    },
}

impl Setup {
    /// A version with its digest worked out.
    ///
    /// ```
    /// use kumquatdrum_membership::spread::Setup;
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
    pub fn mark(&self) -> u64 {
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
    /// use kumquatdrum_membership::spread::{Setup, Text};
    /// use kumquatdrum_types::Version;
    /// let base = Setup::new(Version(1), "limit: 5, weight: 1, name: hall-raatuse");
    /// let next = Setup::new(Version(2), "limit: 7, weight: 1, name: hall-raatuse");
    /// let text = Text::between(Some(&base), &next);
    /// assert!(matches!(&text, Text::Delta { middle, .. } if &middle[..] == b"7"));
    /// assert_eq!(text.apply(Some(&base)), Some(next.text));
    /// ```
    pub fn between(base: Option<&Setup>, next: &Setup) -> Self {
        let Some(base) = base else {
            return Self::Whole(next.text.clone());
        };
        let (old, new) = (&base.text[..], &next.text[..]);
        let prefix = common(old.iter(), new.iter());
        let suffix = common(old[prefix..].iter().rev(), new[prefix..].iter().rev());
        Self::Delta {
            base: base.version,
            prefix: prefix as u32,
            suffix: suffix as u32,
            middle: next.text.slice(prefix..new.len() - suffix),
        }
    }

    /// The text that this stands for; `None` where it is a difference to another base.
    pub fn apply(&self, held: Option<&Setup>) -> Option<Bytes> {
        match (self, held) {
            (Self::Whole(text), _) => Some(text.clone()),
            (
                Self::Delta {
                    base,
                    prefix,
                    suffix,
                    middle,
                },
                Some(held),
            ) if held.version == *base => join(&held.text, *prefix, middle, *suffix),
            _ => None,
        }
    }
}

fn join(old: &[u8], prefix: u32, middle: &[u8], suffix: u32) -> Option<Bytes> {
    let head = old.get(..prefix as usize)?;
    let tail = old.get(old.len().checked_sub(suffix as usize)?..)?;
    Some(Bytes::from([head, middle, tail].concat()))
}

fn common<'a>(left: impl Iterator<Item = &'a u8>, right: impl Iterator<Item = &'a u8>) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}
