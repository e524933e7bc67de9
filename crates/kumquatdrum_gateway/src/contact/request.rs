//! Requests to control hosts and their results.

use std::time::Duration;

use kumquatdrum_types::{HostId, Moment};

/// A known control host, or a seed that is not known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The control host.
    pub host: HostId,
    /// Whether the control host is known to be in another data centre.
    pub is_remote: bool,
}

/// A request to send. Its result must be recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContactRequest {
    /// A hello.
    Hello(Hello),
    /// A request for all endpoints.
    Endpoints {
        /// The receiver.
        from: HostId,
    },
}

/// The hosts that a hello requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lists {
    /// None.
    None,
    /// The control hosts, as this host may know few of them.
    ControlHosts,
    /// A listing of all hosts or of the changes since the last one.
    Hosts,
}

/// A hello to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The number of the hello, as an answer may follow after the receiver was removed and added.
    pub(super) number: u64,
    pub(super) sent: Moment,
    /// The receiver.
    pub to: HostId,
    /// The hosts that it requests.
    pub lists: Lists,
    /// Whether it requests all changed endpoints. Others request those that have left.
    pub requests_changes: bool,
    /// How long the answer is awaited.
    pub timeout: Duration,
}

/// The result of a hello.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// There was no welcome in time.
    Missing,
    /// The control host has answered.
    Welcome {
        /// Whether the control host has a setup.
        has_setup: bool,
        /// Whether all endpoints are to be requested of it again, as its changes do not complete those
        /// that were received before.
        lacks_endpoints: bool,
    },
}

/// The result of a request for all endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointsReply {
    /// The control host has sent the endpoints that it knows.
    Received {
        /// Whether it knows none, as a control host that lost its disk.
        is_empty: bool,
    },
    /// The control host sends none for now.
    Refused,
    /// There was no answer in time.
    Missing,
}
