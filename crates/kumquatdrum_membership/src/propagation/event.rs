//! Inputs and outputs of the propagation state machine.

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::{Message, Setup, Status};

/// Input of [`Propagation::step`](super::Propagation::step).
#[derive(Debug, Clone)]
pub enum Input {
    /// A host was discovered, or its liveness changed.
    Host {
        /// Host that was discovered or changed.
        host: HostId,
        /// Data centre of the host.
        data_centre: DataCentre,
        /// Whether the host is alive.
        is_alive: bool,
    },
    /// Hosts that run control replicas.
    ControlReplicas(Vec<HostId>),
    /// The control replica of this host has applied an accepted version.
    Offer(Setup),
    /// The control replica of this host is up to date and in contact with a majority.
    Majority,
    /// Status of a host, piggybacked on a push.
    Status {
        /// Sending host.
        from: HostId,
        /// Incarnation of the sending daemon.
        boot: BootId,
        /// Received status.
        status: Status,
    },
    /// A message from a peer arrived.
    Peer {
        /// Sending host.
        from: HostId,
        /// Incarnation of the sending daemon.
        boot: BootId,
        /// Received message.
        message: Message,
    },
    /// Timer tick, expected about every 40 ms.
    Tick,
}

/// Action or notification emitted by [`Propagation::step`](super::Propagation::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiving host.
        to: HostId,
        /// Message to send.
        message: Message,
    },
    /// A version, higher than all previous ones, is now in force on this host.
    InForce(Setup),
    /// The host may serve; emitted once.
    Ready {
        /// Whether a majority of control replicas confirmed the version; if not, it may be
        /// outdated.
        is_confirmed: bool,
    },
    /// Status of this host, to piggyback on membership messages.
    Status(Status),
    /// The known version of a host increased.
    Installed {
        /// Host with the new version.
        host: HostId,
        /// Version in force on the host.
        version: Version,
    },
    /// Contact with a majority of control replicas was lost or restored.
    CutOff {
        /// Time of the last contact, initially the start of the daemon; `None` if restored.
        since: Option<Moment>,
    },
    /// Two hosts have different texts for the same version, which violates an invariant.
    Conflict {
        /// Version with two texts.
        version: Version,
        /// Host whose text differs from this host's.
        from: HostId,
    },
}
