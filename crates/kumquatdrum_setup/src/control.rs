//! What the rest of a daemon asks of the control plane, wherever the log lives.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use kumquatdrum_types::{
    DataCentre, EndpointId, HostId, IdempotencyKey, ServiceName, Version, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::Digest;
use crate::audit::Entry;
use crate::claim::{Claim, ClaimAnswer, Held, SettleAnswer, Settlement};
use crate::command::{ApplyAnswer, Request};

/// A boxed future of an answer or a [`Failure`].
pub type Reply<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

/// The control plane as operators' and callers' adapters see it.
pub trait Control: Send + Sync {
    /// Applies a declaration.
    fn apply(&self, request: Request) -> Reply<'_, ApplyAnswer>;
    /// Reads back a declaration.
    fn show(&self, selector: Selector) -> Reply<'_, Shown>;
    /// A page of the audit trail: entries from `from` on, `limit` at most.
    fn audit(&self, from: u64, limit: usize) -> Reply<'_, Page>;
    /// What this host knows of the whole system; answered without a majority too.
    fn status(&self) -> Reply<'_, Status>;
    /// Claims idempotency keys; answers stand in the claims' order.
    fn claim(&self, claims: Vec<Claim>) -> Reply<'_, Vec<ClaimAnswer>>;
    /// Says what became of claimed attempts; answers stand in the settlements' order.
    fn settle(&self, settlements: Vec<Settlement>) -> Reply<'_, Vec<SettleAnswer>>;
    /// What is known of a key; `None` where it isn't claimed.
    fn key(&self, workspace: &WorkspaceName, key: &IdempotencyKey) -> Reply<'_, Option<Held>>;
}

/// Why the control plane gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The replica asked doesn't lead; nothing was done.
    #[error("this replica does not lead")]
    NotCurrent {
        /// The leader, where it is known.
        leader: Option<HostId>,
    },
    /// No majority could be reached before anything was sent to the log; nothing was done.
    #[error("no majority of the control replicas answers")]
    Unavailable,
    /// Something was sent to the log, and whether it holds could not be learnt. A resend with
    /// the same id tells.
    #[error("the outcome is unknown")]
    Unknown,
    /// The version asked for doesn't exist.
    #[error("there is no such version")]
    NoSuchVersion,
}

/// Which declaration to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selector {
    /// The one in force, confirmed by a majority where that can be had, else the last known.
    Current,
    /// A version.
    Version(Version),
    /// The one that was in force at a time, in milliseconds since the Unix epoch.
    At(u64),
}

/// How sure a read-back is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// A majority confirmed it while the read ran.
    Confirmed,
    /// The last that this host knows.
    LastKnown {
        /// When this host last heard of a majority, in milliseconds since the Unix epoch; `None`
        /// if it hasn't since it started.
        as_of_unix_ms: Option<u64>,
    },
}

/// A declaration read back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Its version.
    pub version: Version,
    /// The digest of its text.
    pub digest: Digest,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// How sure it is.
    pub standing: Standing,
    /// The file, byte for byte.
    pub text: Arc<str>,
}

/// A page of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The digest of the entry before the first one here, all zeros before the trail's first.
    pub previous: Digest,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Where the next page starts, if there is more.
    pub next: Option<u64>,
    /// How sure the trail's end is.
    pub standing: Standing,
}

/// What one host knows of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version in force on it.
    pub version: Version,
    /// The digest of that version.
    pub digest: Digest,
    /// How sure that is the current one.
    pub standing: Standing,
    /// The leading control replica, where it is known.
    pub leader: Option<HostId>,
    /// All hosts that it knows, itself included.
    pub hosts: Vec<HostStatus>,
    /// All endpoints that it knows.
    pub endpoints: Vec<EndpointStatus>,
    /// The data centres of which no host can be reached.
    pub cut_off: Vec<DataCentre>,
}

/// What is known of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it keeps a replica of the log, and whether that one votes.
    pub replica: Replica,
    /// Whether it can be reached.
    pub reachable: bool,
    /// The version in force on it when it was last heard of.
    pub version: Option<Version>,
}

/// A host's part in the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Replica {
    /// None: the host has no data folder.
    None,
    /// It catches up and doesn't vote yet.
    Learner,
    /// It votes.
    Voter,
}

/// What is known of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes work.
    pub condition: Condition,
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It takes work.
    Alive,
    /// It has missed renewals.
    Suspect,
    /// It finishes what it runs.
    Leaving,
    /// It has left or is dead.
    Gone,
    /// It is declared and has not announced itself.
    Expected,
}
