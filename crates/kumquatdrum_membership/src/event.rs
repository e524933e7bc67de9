//! What goes into the membership core and what comes out.

use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId};

use crate::propagation::Status;
use crate::{Condition, Member, Message, Reachability, Summary};

/// What the shell hands in.
#[derive(Debug, Clone)]
pub enum Input {
    /// An endpoint announced itself to this host.
    Announce(Announcement),
    /// A peer spoke.
    Peer {
        /// The host.
        from: HostId,
        /// The life of its daemon.
        boot: BootId,
        /// What it said.
        message: Message,
    },
    /// A dispatch to an endpoint failed in a way that speaks against the endpoint.
    DispatchFailed {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The spread's status, to be told to the other hosts of the data centre.
    SetupStatus(Status),
    /// Time has passed; due about every [`crate::timing::TICK_INTERVAL`].
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
    /// An endpoint changed.
    Endpoint {
        /// The endpoint.
        id: EndpointId,
        /// How.
        change: Change,
    },
    /// A host's condition changed.
    Host {
        /// The host.
        id: HostId,
        /// How it is now.
        condition: Condition,
    },
    /// A data centre came into reach, or was cut off.
    DataCentre {
        /// The data centre; this host's own where it hears no other host of it.
        id: DataCentre,
        /// Whether it is in reach.
        reachability: Reachability,
    },
    /// A host became known or moved.
    Member(Member),
    /// A data centre's summary changed.
    Summary(Summary),
    /// A peer's spread said this.
    SetupStatus {
        /// The host.
        from: HostId,
        /// The life of its daemon.
        boot: BootId,
        /// The status.
        status: Status,
    },
    /// Tell the endpoint that its announcement was taken; a leaving notice only once enough
    /// hosts hold it.
    AckAnnounce {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its life.
        boot: BootId,
        /// The announcement.
        sequence: u64,
    },
    /// Tell the endpoint that its announcement was not taken.
    RefuseAnnounce {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its life.
        boot: BootId,
        /// The announcement.
        sequence: u64,
        /// Why.
        reason: Refusal,
    },
}

/// What changed about an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is new, or back after it was gone; nothing known before counts.
    Joined(Announcement),
    /// It renewed its announcement; its load may be new.
    Renewed(Announcement),
    /// It may be dead; no new work.
    Suspect,
    /// It was suspect and is not any more.
    Recovered,
    /// It takes no new work and finishes what it runs.
    Leaving,
    /// It is dead, or this life of it is over.
    Gone,
}

/// Why an announcement was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint stands in another data centre.
    OtherDataCentre,
    /// A later life of the endpoint is known.
    OldBoot,
}
