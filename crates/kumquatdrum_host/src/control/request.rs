//! Requests to the leading replica.

use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{
    ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Failure, Revision, Selector, SettleAnswer,
    Settlement,
};
use kumquatdrum_types::{IdempotencyKey, WorkspaceName};
use serde::{Deserialize, Serialize};

/// A request to a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Apply a declaration.
    Apply(ApplyRequest),
    /// Read a declaration.
    Show(Selector),
    /// Read a page of the audit trail.
    Audit {
        /// The number of the first entry.
        from: u64,
        /// The maximum number of entries.
        limit: u64,
    },
    /// Claim idempotency keys.
    Claim(Vec<Claim>),
    /// Settle claims.
    Settle(Vec<Settlement>),
    /// Read the state of a key.
    Key(WorkspaceName, IdempotencyKey),
}

/// The response to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The response to an apply.
    Apply(ApplyAnswer),
    /// The declaration read.
    Show(Revision),
    /// The page of the audit trail.
    Audit(Page),
    /// The responses to claims, in their order.
    Claim(Vec<ClaimAnswer>),
    /// The responses to settlements, in their order.
    Settle(Vec<SettleAnswer>),
    /// The state of the key, if one is known.
    Key(Option<Holder>),
}

/// A response or the reason for its absence.
pub type Outcome = Result<Response, Failure>;
