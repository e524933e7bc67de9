//! What the replicated log carries, and what the state machine answers.

use std::fmt;
use std::sync::Arc;

use kumquatdrum_types::{Finding, Version};
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimAnswer, SettleAnswer, Settlement};
use crate::{Digest, Stamp};

/// The encoding of [`Command`] in the log; the first byte of each.
const FORMAT: u8 = 1;

/// Names one apply, so that a resend is known as such.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApplyId(Arc<str>);

impl ApplyId {
    /// The longest id that an operator may choose, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// An id that the operator chose.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// The id of an apply whose operator chose none: a digest of operator, base and content.
    ///
    /// ```
    /// use kumquatdrum_setup::ApplyId;
    /// use kumquatdrum_types::Version;
    ///
    /// let first = ApplyId::derived("kadri", Version(4), "{}");
    /// assert_eq!(first, ApplyId::derived("kadri", Version(4), "{}"));
    /// assert_ne!(first, ApplyId::derived("kadri", Version(5), "{}"));
    /// ```
    pub fn derived(operator: &str, base: Version, text: &str) -> Self {
        Self::new(request_digest(operator, base, text).to_string())
    }

    /// The id's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An operator's wish to put a declaration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Who applies, by the name in the host's settings.
    pub operator: String,
    /// The version that the operator has seen; the apply holds only if it is the current one.
    pub base: Version,
    /// The id; see [`ApplyId::derived`].
    pub apply_id: ApplyId,
    /// The file, byte for byte.
    pub text: Arc<str>,
}

impl Request {
    /// A request with the derived id.
    pub fn new(operator: impl Into<String>, base: Version, text: impl Into<Arc<str>>) -> Self {
        let operator = operator.into();
        let text = text.into();
        let apply_id = ApplyId::derived(&operator, base, &text);
        Self {
            operator,
            base,
            apply_id,
            text,
        }
    }

    /// The digest of operator, base and content, whatever the id.
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
    /// When it was proposed.
    pub stamp: Stamp,
    /// What it does.
    pub action: Action,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Puts a checked declaration in force, if its base is the current version.
    Apply(Apply),
    /// Records an apply that the check refused.
    RefusedApply(RefusedApply),
    /// Claims idempotency keys; each is answered by itself.
    Claims(Vec<Claim>),
    /// Records what became of claimed attempts.
    Settle(Vec<Settlement>),
}

/// An apply without findings. The proposer has checked it: the check's verdict is part of the
/// command, so that replicas of two releases, whose checks may differ, still agree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// What the operator asked for.
    pub request: Request,
    /// The places that differ from the base, for the audit trail.
    pub changes: Vec<String>,
}

/// An apply that had findings. The text stays out of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedApply {
    /// Who applied.
    pub operator: String,
    /// The base that was named.
    pub base: Version,
    /// The apply's id.
    pub apply_id: ApplyId,
    /// The digest of the text.
    pub content: Digest,
    /// What the check found.
    pub findings: Vec<Finding>,
}

/// What the state machine answers to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// To an apply, refused or not.
    Apply(ApplyAnswer),
    /// To claims, in their order.
    Claims(Vec<ClaimAnswer>),
    /// To settlements, in their order.
    Settle(Vec<SettleAnswer>),
    /// The log index had been applied before; nothing was done.
    AlreadyApplied,
}

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// It got this version, now or when it was first sent.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Its base isn't the current version.
    Conflict {
        /// The current version.
        current: Version,
    },
    /// The declaration has findings.
    Refused {
        /// All of them.
        findings: Vec<Finding>,
    },
    /// Its id belongs to another apply, which got this version.
    IdTaken {
        /// What the id's apply got.
        version: Version,
    },
}

/// Why bytes are not a command of this release.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Written by a release with another encoding.
    #[error("command format {0} is not known")]
    Format(u8),
    /// Nothing there.
    #[error("the command is empty")]
    Empty,
    /// Not a command.
    #[error("the command can't be decoded: {0}")]
    Postcard(#[from] postcard::Error),
}

impl Command {
    /// The bytes for the log.
    ///
    /// ```
    /// use kumquatdrum_setup::{Action, Command, Stamp};
    ///
    /// let command = Command { stamp: Stamp::default(), action: Action::Claims(Vec::new()) };
    /// assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT]).expect("a command has no unsized parts")
    }

    /// Reads the bytes of [`Command::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.split_first() {
            None => Err(DecodeError::Empty),
            Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&format, _)) => Err(DecodeError::Format(format)),
        }
    }
}
