//! The commands in the replicated log, and the answers of the state machine.

use std::fmt;
use std::sync::Arc;

use kumquatdrum_types::{Finding, Version};
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimAnswer, SettleAnswer, Settlement};
use crate::{Digest, Stamp};

/// The format of an encoded [`Command`], its first byte.
const FORMAT: u8 = 1;

/// Identifies an apply, so that a resend is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(Arc<str>);

impl ApplyId {
    /// Maximum length of an id chosen by an operator.
    pub const MAX_BYTES: usize = 128;

    /// Creates an id chosen by the operator.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// Derives the id of an apply without a chosen one: a digest of operator, base and content.
    ///
    /// ```
    /// use kumquatdrum_setup::ApplyId;
    /// use kumquatdrum_types::Version;
    ///
    /// let first = ApplyId::derive("kadri", Version(4), "{}");
    /// assert_eq!(first, ApplyId::derive("kadri", Version(4), "{}"));
    /// assert_ne!(first, ApplyId::derive("kadri", Version(5), "{}"));
    /// ```
    pub fn derive(operator: &str, base: Version, text: &str) -> Self {
        Self::new(request_digest(operator, base, text).to_string())
    }

    /// Returns the id's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An operator's request to put a declaration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The operator's name in the host's settings.
    pub operator: String,
    /// The version that the operator has seen; any other current version is a conflict.
    pub base: Version,
    /// The id; see [`ApplyId::derive`].
    pub apply_id: ApplyId,
    /// The declaration's text, byte for byte.
    pub text: Arc<str>,
}

impl ApplyRequest {
    /// Creates a request with a derived id.
    pub fn new(operator: impl Into<String>, base: Version, text: impl Into<Arc<str>>) -> Self {
        let operator = operator.into();
        let text = text.into();
        let apply_id = ApplyId::derive(&operator, base, &text);
        Self {
            operator,
            base,
            apply_id,
            text,
        }
    }

    /// Computes the digest of operator, base and content; the id is not included.
    pub fn digest(&self) -> Digest {
        request_digest(&self.operator, self.base, &self.text)
    }
}

fn request_digest(operator: &str, base: Version, text: &str) -> Digest {
    let base = base.0.to_be_bytes();
    Digest::of_parts(&[operator.as_bytes(), &base, text.as_bytes()])
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The time of the proposal.
    pub stamp: Stamp,
    /// The action to apply.
    pub action: Action,
}

/// The action of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Puts a checked declaration in force, if its base is the current version.
    Apply(Apply),
    /// Records an apply whose declaration has findings.
    RefusedApply(RefusedApply),
    /// Claims idempotency keys, each with an answer of its own.
    Claims(Vec<Claim>),
    /// Records the outcomes of claimed attempts.
    Settle(Vec<Settlement>),
}

/// An apply without findings.
///
/// The proposer checks the declaration and replicates the result, so that replicas agree even if
/// their releases check differently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The operator's request.
    pub request: ApplyRequest,
    /// The places that differ from the base, for the audit trail.
    pub changes: Vec<String>,
}

/// An apply with findings; the log contains only the digest of its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedApply {
    /// The operator who applied.
    pub operator: String,
    /// The base of the request.
    pub base: Version,
    /// The id of the apply.
    pub apply_id: ApplyId,
    /// The digest of the text.
    pub content: Digest,
    /// The findings of the check.
    pub findings: Vec<Finding>,
}

/// The state machine's answer to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer to an apply, refused or not.
    Apply(ApplyAnswer),
    /// The answers to claims, in the same order.
    Claims(Vec<ClaimAnswer>),
    /// The answers to settlements, in the same order.
    Settle(Vec<SettleAnswer>),
    /// The log entry was applied before and has no further effect.
    AlreadyApplied,
}

/// The outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// The apply has created a version, now or when it was first sent.
    Accepted {
        /// The created version.
        version: Version,
    },
    /// The base isn't the current version.
    Conflict {
        /// The current version.
        current: Version,
    },
    /// The declaration has findings.
    Refused {
        /// The findings.
        findings: Vec<Finding>,
    },
    /// The id belongs to another apply.
    IdTaken {
        /// The version created by the other apply.
        version: Version,
    },
}

/// The reason why a command can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The command was encoded by a release with another format.
    #[error("command format {0} is not known")]
    Format(u8),
    /// There are no bytes.
    #[error("the command is empty")]
    Empty,
    /// The bytes after the format can't be decoded.
    #[error("the command can't be decoded: {0}")]
    Postcard(#[from] postcard::Error),
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// ```
    /// use kumquatdrum_setup::{Action, Command, Stamp};
    ///
    /// let command = Command { stamp: Stamp::default(), action: Action::Claims(Vec::new()) };
    /// assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT])
            .expect("a command has no sequence of unknown length")
    }

    /// Decodes a command encoded by [`Command::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.split_first() {
            None => Err(DecodeError::Empty),
            Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&format, _)) => Err(DecodeError::Format(format)),
        }
    }
}
