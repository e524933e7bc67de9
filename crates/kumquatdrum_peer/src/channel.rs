//! The subsystems that share the connections between daemons.

use crate::generated;

/// The subsystem that a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Hosts and endpoints, liveness.
    Membership,
    /// Elections, the log and snapshots.
    Consensus,
    /// The spread of the setup in force.
    Setup,
    /// Workspaces' limits, shared out over hosts.
    Limits,
    /// Claims, orders and operators' calls, passed on to a control replica.
    Control,
}

impl Channel {
    /// Every channel, in the order of their indices.
    pub const ALL: [Self; 5] = [
        Self::Membership,
        Self::Consensus,
        Self::Setup,
        Self::Limits,
        Self::Control,
    ];

    /// The name in metrics and logs.
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
        }
    }

    /// The position in [`Channel::ALL`].
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
        }
    }

    pub(crate) fn from_wire(number: i32) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|channel| channel.to_wire() as i32 == number)
    }
}
