//! The identity of a request across attempts and hosts.

use std::fmt;

use kumquatdrum_types::WorkspaceName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const BYTES: usize = 16;

/// Identifies equal requests of one workspace, whichever host receives them.
///
/// A truncated SHA-256 over length-prefixed fields: a caller cannot construct a request with the
/// fingerprint of another workspace's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request. `path` includes the query.
    ///
    /// ```
    /// use kumquatdrum_quarantine::Fingerprint;
    ///
    /// let first = Fingerprint::of("POST", "/check/?a=1", Some(&"desk".into()), b"text");
    /// assert_eq!(first, Fingerprint::of("POST", "/check/?a=1", Some(&"desk".into()), b"text"));
    /// assert_ne!(first, Fingerprint::of("POST", "/check/?a=1", Some(&"audit".into()), b"text"));
    /// ```
    pub fn of(method: &str, path: &str, workspace: Option<&WorkspaceName>, body: &[u8]) -> Self {
        let workspace = workspace.map_or("", |workspace| workspace.as_str());
        Self::of_fields([
            method.as_bytes(),
            path.as_bytes(),
            workspace.as_bytes(),
            body,
        ])
    }

    /// Computes the fingerprint of a part of prompts for a model of a service.
    ///
    /// ```
    /// use kumquatdrum_quarantine::Fingerprint;
    ///
    /// let part = Fingerprint::of_part("llm", Some("m"), 7);
    /// assert_eq!(part, Fingerprint::of_part("llm", Some("m"), 7));
    /// assert_ne!(part, Fingerprint::of_part("llm", Some("n"), 7));
    /// ```
    pub fn of_part(service: &str, model: Option<&str>, id: u128) -> Self {
        let model = model.unwrap_or_default();
        Self::of_fields([
            b"part",
            service.as_bytes(),
            model.as_bytes(),
            &id.to_le_bytes(),
        ])
    }

    fn of_fields(fields: [&[u8]; 4]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(bytes)
    }

    /// Returns a uniformly distributed hash of the fingerprint.
    pub const fn hash(self) -> u64 {
        u128::from_le_bytes(self.0) as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
