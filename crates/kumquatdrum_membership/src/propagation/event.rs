//! What goes into the spread and what comes out.

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::{Message, Setup, Status};

/// What the shell hands in.
#[derive(Debug, Clone)]
pub enum Input {
    /// A host is known, and whether it is alive.
    Host {
        /// The host.
        host: HostId,
        /// Its data centre.
        data_centre: DataCentre,
        /// Whether it is alive.
        is_alive: bool,
    },
    /// The hosts that hold control replicas.
    Control(Vec<HostId>),
    /// The control replica of this host has applied an accepted version.
    Offer(Setup),
    /// The control replica of this host is in touch with a majority and up to date.
    Majority,
    /// The status of a host, which rode on another message.
    Status {
        /// The host.
        from: HostId,
        /// The life of its daemon.
        boot: BootId,
        /// The status.
        status: Status,
    },
    /// A peer spoke.
    Peer {
        /// The host.
        from: HostId,
        /// The life of its daemon.
        boot: BootId,
        /// What it said.
        message: Message,
    },
    /// Time has passed; due about every 40 ms.
    Tick,
}

/// What the shell has to do or to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// This version is in force from now on; each is higher than the one before.
    InForce(Setup),
    /// The host may serve. Given once.
    Ready {
        /// Whether a majority of control replicas has been asked; if not, this is the last
        /// version known here.
        is_confirmed: bool,
    },
    /// Hand this to the membership core, to ride on its messages.
    Status(Status),
    /// A host is known to have this version in force.
    Installed {
        /// The host.
        host: HostId,
        /// The version.
        version: Version,
    },
    /// Since when no majority of control replicas has been heard; `None` once it is again.
    CutOff {
        /// The last word of a majority; the start of the daemon where there was none.
        since: Option<Moment>,
    },
    /// Two texts under one version: a fault that must never be, told as it is found.
    Conflict {
        /// The version.
        version: Version,
        /// Who has the other text.
        from: HostId,
    },
}
