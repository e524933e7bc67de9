//! Inputs and outputs of the membership state machine.

use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId};

use crate::propagation::Status;
use crate::{Condition, Member, Message, Reachability, Summary};

/// Input of [`Membership::step`](crate::Membership::step).
#[derive(Debug, Clone)]
pub enum Input {
    /// An endpoint announced itself to this host.
    Announce(Announcement),
    /// A message from a peer arrived.
    Peer {
        /// Sending host.
        from: HostId,
        /// Incarnation of the sending daemon.
        boot: BootId,
        /// Received message.
        message: Message,
    },
    /// A dispatch failed in a way that indicates a faulty endpoint.
    DispatchFailed {
        /// Endpoint of the failed dispatch.
        endpoint: EndpointId,
    },
    /// Propagation status to piggyback on pushes to the other hosts of the data centre.
    SetupStatus(Status),
    /// Timer tick, expected about every [`crate::timing::TICK_INTERVAL`].
    Tick,
}

/// Action or notification emitted by [`Membership::step`](crate::Membership::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiving host.
        to: HostId,
        /// Message to send.
        message: Message,
    },
    /// An endpoint changed.
    Endpoint {
        /// Endpoint that changed.
        id: EndpointId,
        /// Kind of change.
        change: Change,
    },
    /// A host's condition changed.
    Host {
        /// Host whose condition changed.
        id: HostId,
        /// New condition.
        condition: Condition,
    },
    /// The reachability of a data centre changed.
    DataCentre {
        /// Data centre; this host's own if this host is isolated within it.
        id: DataCentre,
        /// New reachability.
        reachability: Reachability,
    },
    /// A host was discovered or changed its address or data centre.
    Member(Member),
    /// The summary of another data centre changed.
    Summary(Summary),
    /// A push carried the propagation status of a peer.
    SetupStatus {
        /// Sending host.
        from: HostId,
        /// Incarnation of the sending daemon.
        boot: BootId,
        /// Propagation status.
        status: Status,
    },
    /// Tell an endpoint that its announcement was accepted. Leaving notices are acknowledged once
    /// enough hosts have confirmed them.
    AckAnnounce {
        /// Endpoint that sent the announcement.
        endpoint: EndpointId,
        /// Incarnation of the endpoint.
        boot: BootId,
        /// Sequence number of the announcement.
        sequence: u64,
    },
    /// Tell an endpoint that its announcement was refused.
    RefuseAnnounce {
        /// Endpoint that sent the announcement.
        endpoint: EndpointId,
        /// Incarnation of the endpoint.
        boot: BootId,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Reason for the refusal.
        reason: Refusal,
    },
}

/// Change of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new, or returned after it was gone; earlier state is obsolete.
    Joined(Announcement),
    /// The endpoint renewed its announcement, possibly with a new load.
    Renewed(Announcement),
    /// The endpoint may be dead and must not receive new work.
    Suspect,
    /// The endpoint is alive again after a suspicion.
    Recovered,
    /// The endpoint accepts no new work and completes what it runs.
    Leaving,
    /// The endpoint is dead, or this incarnation of it has ended.
    Gone,
}

/// Reason that an announcement was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint belongs to another data centre.
    OtherDataCentre,
    /// A later incarnation of the endpoint is known.
    OldBoot,
}
