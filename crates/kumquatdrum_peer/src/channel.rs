//! Channels: the subsystems that share the connections between daemons.

use crate::generated;

/// Subsystem that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Membership and failure detection of hosts and endpoints.
    Membership,
    /// Elections, log replication and snapshots.
    Consensus,
    /// Propagation of the setup in force.
    Setup,
    /// Distribution of workspaces' limits over hosts.
    Limits,
    /// Claims, orders and operator calls forwarded to a control replica.
    Control,
    /// Evidence against requests that crash endpoints.
    Quarantine,
    /// Callers' requests and orders that a host sends to an endpoint for another host.
    Requests,
}

impl Channel {
    /// All channels in order of their indices.
    pub const ALL: [Self; 7] = [
        Self::Membership,
        Self::Consensus,
        Self::Setup,
        Self::Limits,
        Self::Control,
        Self::Quarantine,
        Self::Requests,
    ];

    /// Returns the channel's name in metrics and logs.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_peer::Channel::Setup.name(), "setup");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Consensus => "consensus",
            Self::Setup => "setup",
            Self::Limits => "limits",
            Self::Control => "control",
            Self::Quarantine => "quarantine",
            Self::Requests => "requests",
        }
    }

    /// Returns the position in [`Channel::ALL`].
    pub(crate) const fn index(self) -> usize {
        self as usize
    }

    pub(crate) const fn to_wire(self) -> generated::Channel {
        match self {
            Self::Membership => generated::Channel::Membership,
            Self::Consensus => generated::Channel::Consensus,
            Self::Setup => generated::Channel::Setup,
            Self::Limits => generated::Channel::Limits,
            Self::Control => generated::Channel::Control,
            Self::Quarantine => generated::Channel::Quarantine,
            Self::Requests => generated::Channel::Requests,
        }
    }

    pub(crate) fn from_wire(number: i32) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|channel| channel.to_wire() as i32 == number)
    }
}
