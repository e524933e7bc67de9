//! An admitted request.

use kumquatdrum_caller::admission::Submission;
use kumquatdrum_daemon::body::Allocation;
use kumquatdrum_daemon::lifecycle::Policy;
use kumquatdrum_process::drain::Work;
use kumquatdrum_routing as routing;
use kumquatdrum_types::{RequestId, ServiceName, WorkspaceName};

use crate::key::Key;
use crate::quota::Permit;

/// An admitted request with the resources that it holds.
pub struct Job {
    /// The id of the request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The request as the caller sent it.
    pub submission: Submission,
    /// The name of the service.
    pub service: ServiceName,
    /// The request to the router; excluded endpoints are set for each attempt.
    pub routing: routing::Request,
    /// The policy of the request's life cycle.
    pub policy: Policy,
    /// The idempotency key, if the request has one.
    pub key: Option<Key>,
    /// The memory allocated to the body.
    pub allocation: Allocation,
    /// The registration that delays a shutdown until the request has ended.
    pub work: Work,
    /// The share of the workspace's limits, released at the end.
    pub permit: Permit,
}
