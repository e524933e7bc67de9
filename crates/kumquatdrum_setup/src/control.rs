//! The interface of the control plane, independent of where the log is kept.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use kumquatdrum_types::{
    DataCentre, EndpointId, HostId, IdempotencyKey, ServiceName, Version, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::Digest;
use crate::audit::Entry;
use crate::claim::{Claim, ClaimAnswer, Holder, SettleAnswer, Settlement};
use crate::command::{ApplyAnswer, ApplyRequest};

/// A boxed future of an answer or a [`Failure`].
pub type ResponseFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

/// The control plane as used by the interfaces for operators and callers.
pub trait Control: Send + Sync {
    /// Applies a declaration.
    fn apply(&self, request: ApplyRequest) -> ResponseFuture<'_, ApplyAnswer>;
    /// Reads a declaration.
    fn show(&self, selector: Selector) -> ResponseFuture<'_, Revision>;
    /// Reads a page of the audit trail: at most `limit` entries from `from` on.
    fn audit(&self, from: u64, limit: usize) -> ResponseFuture<'_, Page>;
    /// Returns the status of the whole system as this host knows it, also without a majority.
    fn status(&self) -> ResponseFuture<'_, Status>;
    /// Claims idempotency keys; the answers are in the order of the claims.
    fn claim(&self, claims: Vec<Claim>) -> ResponseFuture<'_, Vec<ClaimAnswer>>;
    /// Records the outcomes of claimed attempts; the answers are in the order of the settlements.
    fn settle(&self, settlements: Vec<Settlement>) -> ResponseFuture<'_, Vec<SettleAnswer>>;
    /// Returns the holder of a key; `None` if it isn't claimed.
    fn key(
        &self,
        workspace: &WorkspaceName,
        key: &IdempotencyKey,
    ) -> ResponseFuture<'_, Option<Holder>>;
}

/// The reason why the control plane gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The replica doesn't lead; the request had no effect.
    #[error("this replica does not lead")]
    #[serde(rename = "not_current")]
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// No majority can be reached and nothing was proposed; the request had no effect.
    #[error("no majority of the control replicas answers")]
    Unavailable,
    /// A command was proposed, but it is not known whether it was committed. A resend with the same
    /// id returns the outcome.
    #[error("the outcome is unknown")]
    Unknown,
    /// The requested version doesn't exist.
    #[error("there is no such version")]
    NoSuchVersion,
}

/// Selects the declaration to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selector {
    /// The version in force, confirmed by a majority if possible, else the last known.
    Current,
    /// A version by number.
    Version(Version),
    /// The version in force at a time, in milliseconds since the Unix epoch.
    At(u64),
}

/// Whether the data of an answer is confirmed to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// A majority confirmed the data during the read.
    Confirmed,
    /// The data is the last that this host knows.
    LastKnown {
        /// The host's last contact with a majority, in milliseconds since the Unix epoch; `None`
        /// if there was none since its start.
        as_of_unix_ms: Option<u64>,
    },
}

/// A version of the declaration, as answered to [`Control::show`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The version.
    pub version: Version,
    /// The digest of the text.
    pub digest: Digest,
    /// When the version was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Whether the answer is confirmed to be current.
    pub standing: Standing,
    /// The declaration's text, byte for byte.
    pub text: Arc<str>,
}

/// A page of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The digest of the entry before this page, all zeros at the start of the trail.
    pub previous: Digest,
    /// The entries of this page.
    pub entries: Vec<Entry>,
    /// The first sequence number of the next page, if there is one.
    pub next: Option<u64>,
    /// Whether the end of the trail is confirmed to be current.
    pub standing: Standing,
}

/// The status of the whole system as one host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The answering host.
    pub host: HostId,
    /// The data centre of the answering host.
    pub data_centre: DataCentre,
    /// The version in force on the answering host.
    pub version: Version,
    /// The digest of that version.
    pub digest: Digest,
    /// Whether that version is confirmed to be current.
    pub standing: Standing,
    /// The leading control replica, if known.
    pub leader: Option<HostId>,
    /// All known hosts, including the answering one.
    pub hosts: Vec<HostStatus>,
    /// All known endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// The data centres that can't be reached, including the answering host's own if that host is
    /// isolated within it.
    pub cut_off: Vec<DataCentre>,
}

/// The status of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The host's role in the replicated log.
    pub replica: Replica,
    /// Whether the host can be reached.
    pub reachable: bool,
    /// The last known version in force on the host.
    pub version: Option<Version>,
}

/// A host's role in the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Replica {
    /// The host has no data folder and no replica.
    None,
    /// The replica receives the log without voting.
    Learner,
    /// The replica votes.
    Voter,
}

/// The status of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Whether the endpoint accepts work.
    pub condition: Condition,
}

/// Whether an endpoint accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The endpoint accepts work.
    Alive,
    /// Renewals of the endpoint are overdue, or dispatches to it fail.
    Suspect,
    /// The endpoint drains: it finishes its work and accepts no more.
    Leaving,
    /// The endpoint has left or failed.
    Gone,
    /// The endpoint is declared but has not registered.
    Expected,
}
