//! Evidence against a request, as hosts exchange it.

use std::fmt;
use std::time::Duration;

use kumquatdrum_types::{EndpointId, hash};
use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Identifies one incarnation of an endpoint, equally on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the identity of an endpoint's incarnation, given by the number that it announces.
    ///
    /// ```
    /// use kumquatdrum_quarantine::Incarnation;
    /// assert_ne!(Incarnation::of(&"e".into(), 1), Incarnation::of(&"e".into(), 2));
    /// ```
    pub fn of(endpoint: &EndpointId, number: u64) -> Self {
        Self(hash::incarnation(endpoint, number))
    }
}

/// What may crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A request.
    Request(Fingerprint),
    /// A part that prompts share.
    Part(Fingerprint),
}

impl Subject {
    /// Returns the fingerprint of the request or the part.
    pub const fn fingerprint(self) -> Fingerprint {
        match self {
            Self::Request(fingerprint) | Self::Part(fingerprint) => fingerprint,
        }
    }

    /// Returns whether both are requests, or both are parts.
    pub const fn is_same_kind(self, other: Self) -> bool {
        matches!(self, Self::Request(_)) == matches!(other, Self::Request(_))
    }
}

impl From<Fingerprint> for Subject {
    fn from(request: Fingerprint) -> Self {
        Self::Request(request)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.fingerprint().fmt(f)
    }
}

/// A request or part that was in flight at endpoints when these crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request or part.
    pub subject: Subject,
    /// The crashes.
    pub crashes: Vec<Crash>,
    /// The copies that were sent although the request was blocked.
    pub probes: Vec<Probe>,
}

/// A crash of an endpoint while a request was in flight there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint that crashed.
    pub endpoint: Incarnation,
    /// The time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the first event of the answer had arrived.
    pub had_begun: bool,
    /// Whether the request has since run to completion.
    pub is_cleared: bool,
    /// The request that had a part in flight.
    pub origin: Option<Origin>,
    /// Whether several requests had the part in flight.
    pub is_shared: bool,
}

/// A request that had a part in flight at a crash, and whose it was. Of several, hosts keep the
/// smallest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// A hash of the request.
    pub request: u32,
    /// A hash of its workspace.
    pub workspace: u32,
}

impl Crash {
    /// Returns the time since the crash.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// A copy of a blocked request that was sent to find out whether it completes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// A number that no other probe has.
    pub id: u64,
    /// The time since the probe was sent, in milliseconds.
    pub age_ms: u64,
    /// Whether the request has since run to completion.
    pub is_cleared: bool,
}

/// The block on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// The request, or the part of its prompt, that is blocked.
    pub subject: Subject,
    /// The number of endpoints that crashed while they had the request.
    pub crashes: usize,
    /// The time until the request may be sent again.
    pub remaining: Duration,
}
