//! What a request needs to be carried out.

use kumquatdrum_caller::admission::Submission;
use kumquatdrum_daemon::body::Hold;
use kumquatdrum_daemon::flight::Plan;
use kumquatdrum_process::drain::Work;
use kumquatdrum_routing as routing;
use kumquatdrum_types::{RequestId, ServiceName, WorkspaceName};

use crate::key::Key;
use crate::quota::Permit;

/// One request with everything that it needs to be carried out.
pub struct Order {
    /// Its name.
    pub request: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// What it asks for.
    pub ask: Submission,
    /// The service.
    pub service: ServiceName,
    /// What the router needs to know; excluded endpoints are filled in.
    pub routing: routing::Request,
    /// What is fixed from its start.
    pub plan: Plan,
    /// Its idempotency key, with what a claim needs.
    pub key: Option<Key>,
    /// Bytes set aside for its body.
    pub hold: Hold,
    /// What the shutdown waits for.
    pub work: Work,
    /// The slot in its workspace's limits, returned at the end.
    pub permit: Permit,
}
