//! The audit trail: each attempt to change the setup, chained by digests.
//!
//! The digest of an entry is the SHA-256 of the previous entry's digest in hexadecimal, a line
//! feed, and the entry without its `digest` as compact JSON, so that an auditor can verify the
//! trail with tools of their own.

use kumquatdrum_types::Version;
use serde::{Deserialize, Serialize};

use crate::Digest;
use crate::command::ApplyId;

/// The most places that an entry lists; `places_total` tells how many there were.
pub const MAX_PLACES: usize = 16;

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the trail, from 1.
    pub sequence: u64,
    /// When, in milliseconds since the Unix epoch, by the clock of the replica that led.
    pub at_unix_ms: u64,
    /// Who.
    pub operator: String,
    /// The apply's id.
    pub apply_id: ApplyId,
    /// The version that it built on.
    pub base: Version,
    /// The digest of the declaration's text.
    pub content: Digest,
    /// What became of it.
    pub outcome: Outcome,
    /// The first places that changed (accepted) or have findings (refused).
    pub places: Vec<String>,
    /// How many such places there were.
    pub places_total: u64,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It got this version.
    Accepted(Version),
    /// Its base wasn't the version that was current.
    Conflict(Version),
    /// The check refused it.
    Refused,
    /// Its id belongs to the apply that got this version.
    IdTaken(Version),
}

/// An attempt with its link in the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The attempt.
    pub record: Record,
    /// The digest over the previous entry's digest and the attempt.
    pub digest: Digest,
}

/// The first broken link of a trail.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// An entry is missing or out of order.
    #[error("entry {expected} is missing: {found} stands in its place")]
    Sequence {
        /// The sequence number that should stand there.
        expected: u64,
        /// The one that does.
        found: u64,
    },
    /// An entry or the link to its predecessor was changed.
    #[error("entry {sequence} does not match its digest")]
    Digest {
        /// The entry.
        sequence: u64,
    },
}

/// The trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    entries: Vec<Entry>,
}

impl Trail {
    /// Appends an attempt; its sequence number is set here.
    pub fn append(&mut self, mut record: Record) -> &Entry {
        record.sequence = self.entries.len() as u64 + 1;
        let digest = link(self.head(), &record);
        self.entries.push(Entry { record, digest });
        self.entries.last().expect("an entry was just pushed")
    }

    /// The digest of the last entry, all zeros for an empty trail.
    pub fn head(&self) -> Digest {
        self.entries
            .last()
            .map_or_else(Digest::default, |entry| entry.digest)
    }

    /// How many entries there are.
    pub fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries from sequence number `from` on, `limit` at most, with the digest before them.
    pub fn page(&self, from: u64, limit: usize) -> (Digest, &[Entry]) {
        let start = (from.max(1) - 1).min(self.len()) as usize;
        let end = start.saturating_add(limit).min(self.entries.len());
        let previous = match start {
            0 => Digest::default(),
            _ => self.entries[start - 1].digest,
        };
        (previous, &self.entries[start..end])
    }
}

/// The digest that chains a record to the entry before it.
pub fn link(previous: Digest, record: &Record) -> Digest {
    let json = serde_json::to_string(record).expect("a record has string keys only");
    Digest::of(format!("{previous}\n{json}").as_bytes())
}

/// Verifies consecutive entries after the one with digest `previous`, all zeros for the trail's
/// start, and gives the digest of the last.
///
/// ```
/// use kumquatdrum_setup::{Digest, audit};
/// assert_eq!(audit::verify(Digest::default(), &[]), Ok(Digest::default()));
/// ```
pub fn verify(previous: Digest, entries: &[Entry]) -> Result<Digest, Broken> {
    let first = match entries.first() {
        Some(entry) if previous != Digest::default() => entry.record.sequence,
        _ => 1,
    };
    let mut head = previous;
    for (expected, entry) in (first..).zip(entries) {
        let found = entry.record.sequence;
        if found != expected {
            return Err(Broken::Sequence { expected, found });
        }
        if link(head, &entry.record) != entry.digest {
            return Err(Broken::Digest { sequence: found });
        }
        head = entry.digest;
    }
    Ok(head)
}
