//! The audit trail: all attempts to change the setup, chained by digests.
//!
//! The digest of an entry is the SHA-256 of the previous entry's digest in hexadecimal, a line
//! feed, and the entry's record as compact JSON, so that auditors can verify the trail with other
//! tools.

use kumquatdrum_types::Version;
use serde::{Deserialize, Serialize};

use crate::Digest;
use crate::command::ApplyId;

/// Maximum number of places in a record; `places_total` counts all.
pub const MAX_RECORDED_PLACES: usize = 16;

/// The record of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The position in the trail, from 1.
    pub sequence: u64,
    /// The time of the attempt in milliseconds since the Unix epoch, by the leader's clock.
    pub at_unix_ms: u64,
    /// The operator who made the attempt.
    pub operator: String,
    /// The id of the apply.
    pub apply_id: ApplyId,
    /// The version that the apply was based on.
    pub base: Version,
    /// The digest of the declaration's text.
    pub content: Digest,
    /// The outcome.
    pub outcome: Outcome,
    /// The first places that changed (accepted) or have findings (refused).
    pub places: Vec<String>,
    /// The number of all places that changed or have findings.
    pub places_total: u64,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The apply created this version.
    Accepted(Version),
    /// The base was not the current version, given here.
    Conflict(Version),
    /// The declaration has findings.
    Refused,
    /// The id belongs to another apply, which created this version.
    IdTaken(Version),
}

/// A record and its digest in the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The record of the attempt.
    pub record: Record,
    /// The digest of the previous entry's digest and the record.
    pub digest: Digest,
}

/// The first broken link of a trail's chain.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An entry is missing or out of order.
    #[error("entry {expected} is missing: found entry {found} instead")]
    Sequence {
        /// The expected sequence number.
        expected: u64,
        /// The sequence number found.
        found: u64,
    },
    /// An entry or its link to the previous one was changed.
    #[error("entry {sequence} does not match its digest")]
    Digest {
        /// The sequence number of the entry.
        sequence: u64,
    },
}

/// The audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    entries: Vec<Entry>,
}

impl Trail {
    /// Appends a record and sets its sequence number.
    pub fn append(&mut self, mut record: Record) -> &Entry {
        record.sequence = self.entries.len() as u64 + 1;
        let digest = chain_digest(self.head(), &record);
        self.entries.push(Entry { record, digest });
        self.entries.last().expect("an entry was just pushed")
    }

    /// Returns the digest of the last entry, all zeros for an empty trail.
    pub fn head(&self) -> Digest {
        self.entries
            .last()
            .map_or_else(Digest::default, |entry| entry.digest)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns at most `limit` entries from sequence number `from` on, and the digest before them.
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

/// Computes the digest that chains a record to the previous entry.
pub fn chain_digest(previous: Digest, record: &Record) -> Digest {
    let json = serde_json::to_string(record).expect("a record has string keys only");
    Digest::of(format!("{previous}\n{json}").as_bytes())
}

/// Verifies consecutive entries after the entry with digest `previous`, all zeros at the start of
/// the trail, and returns the digest of the last.
///
/// ```
/// use kumquatdrum_setup::{Digest, audit};
/// assert_eq!(audit::verify(Digest::default(), &[]), Ok(Digest::default()));
/// ```
pub fn verify(previous: Digest, entries: &[Entry]) -> Result<Digest, Violation> {
    let first = match entries.first() {
        Some(entry) if previous != Digest::default() => entry.record.sequence,
        _ => 1,
    };
    let mut head = previous;
    for (expected, entry) in (first..).zip(entries) {
        let found = entry.record.sequence;
        if found != expected {
            return Err(Violation::Sequence { expected, found });
        }
        if chain_digest(head, &entry.record) != entry.digest {
            return Err(Violation::Digest { sequence: found });
        }
        head = entry.digest;
    }
    Ok(head)
}
