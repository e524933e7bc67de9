//! Deltas between two texts that differ in several places.
//!
//! Both texts are split into tokens that end with a comma or a newline. A token that occurs exactly
//! once in the old text is an anchor. Matches are extended from anchors byte by byte in both
//! directions, and bytes outside of matches are included literally.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Part of a new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// Range of the old text.
    Copy {
        /// Offset of the range in bytes.
        start: u32,
        /// Length of the range in bytes.
        length: u32,
    },
    /// Literal bytes.
    Insert(Bytes),
}

impl Part {
    pub(crate) fn literal_bytes(&self) -> usize {
        match self {
            Self::Copy { .. } => 0,
            Self::Insert(bytes) => bytes.len(),
        }
    }
}

/// Returns the parts that construct the new text from the old one.
pub(crate) fn parts(old: &[u8], new: &Bytes) -> Vec<Part> {
    let prefix = common_length(old.iter(), new.iter());
    let suffix = common_length(old[prefix..].iter().rev(), new[prefix..].iter().rev());
    let mut builder = Builder {
        old,
        new,
        parts: Vec::new(),
        covered: prefix,
    };
    builder.copy(0, prefix);
    builder.fill(new.len() - suffix);
    builder.copy(old.len() - suffix, suffix);
    builder.parts
}

/// Constructs the new text. Returns `None` if a part lies outside the old text.
pub(crate) fn join(old: &[u8], parts: &[Part]) -> Option<Bytes> {
    let mut text = Vec::with_capacity(old.len());
    for part in parts {
        match part {
            Part::Insert(bytes) => text.extend_from_slice(bytes),
            Part::Copy { start, length } => {
                let start = *start as usize;
                let end = start.checked_add(*length as usize)?;
                text.extend_from_slice(old.get(start..end)?);
            }
        }
    }
    Some(Bytes::from(text))
}

struct Builder<'a> {
    old: &'a [u8],
    new: &'a Bytes,
    parts: Vec<Part>,
    /// Length of the new text that the parts cover.
    covered: usize,
}

impl Builder<'_> {
    /// Extends the parts to cover the new text up to `end`.
    fn fill(&mut self, end: usize) {
        if self.covered == end {
            return;
        }
        let anchors = anchors(self.old);
        let mut at = self.covered;
        while at < end {
            let next = token_end(self.new, at).min(end);
            let Some(Some(anchor)) = anchors.get(&self.new[at..next]) else {
                at = next;
                continue;
            };
            let backward = common_length(
                self.old[..*anchor].iter().rev(),
                self.new[self.covered..at].iter().rev(),
            );
            let forward = common_length(self.old[*anchor..].iter(), self.new[at..end].iter());
            self.insert(at - backward);
            self.copy(anchor - backward, backward + forward);
            self.covered = at + forward;
            at = match self.covered {
                covered if covered < end => token_end(self.new, covered - 1).min(end),
                covered => covered,
            };
        }
        self.insert(end);
    }

    fn insert(&mut self, end: usize) {
        if self.covered < end {
            let bytes = self.new.slice(self.covered..end);
            self.parts.push(Part::Insert(bytes));
            self.covered = end;
        }
    }

    fn copy(&mut self, start: usize, length: usize) {
        if length > 0 {
            self.parts.push(Part::Copy {
                start: start as u32,
                length: length as u32,
            });
        }
    }
}

/// Returns the offset of each token in a text, or `None` for tokens that occur more than once.
fn anchors(text: &[u8]) -> HashMap<&[u8], Option<usize>> {
    let mut anchors = HashMap::new();
    let mut at = 0;
    while at < text.len() {
        let end = token_end(text, at);
        anchors
            .entry(&text[at..end])
            .and_modify(|position| *position = None)
            .or_insert(Some(at));
        at = end;
    }
    anchors
}

fn token_end(text: &[u8], start: usize) -> usize {
    let length = text[start..]
        .iter()
        .position(|byte| matches!(byte, b',' | b'\n'));
    length.map_or(text.len(), |length| start + length + 1)
}

fn common_length<'a>(
    left: impl Iterator<Item = &'a u8>,
    right: impl Iterator<Item = &'a u8>,
) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}
