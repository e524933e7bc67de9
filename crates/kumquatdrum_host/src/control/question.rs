//! What hosts ask the leading replica.

use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{
    ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Failure, Revision, Selector, SettleAnswer,
    Settlement,
};
use kumquatdrum_types::{IdempotencyKey, WorkspaceName};
use serde::{Deserialize, Serialize};

/// A question to a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Question {
    /// Apply a declaration.
    Apply(ApplyRequest),
    /// Read a declaration back.
    Show(Selector),
    /// A page of the audit trail.
    Audit {
        /// The first entry.
        from: u64,
        /// The most entries.
        limit: u64,
    },
    /// Claim keys.
    Claim(Vec<Claim>),
    /// Settle claims.
    Settle(Vec<Settlement>),
    /// What is known of a key.
    Key(WorkspaceName, IdempotencyKey),
}

/// A replica's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// To an apply.
    Apply(ApplyAnswer),
    /// To a read.
    Show(Revision),
    /// To a question for the trail.
    Audit(Page),
    /// To claims.
    Claim(Vec<ClaimAnswer>),
    /// To settlements.
    Settle(Vec<SettleAnswer>),
    /// To a question for a key.
    Key(Option<Holder>),
}

/// An answer, or why there is none.
pub type Outcome = Result<Answer, Failure>;
