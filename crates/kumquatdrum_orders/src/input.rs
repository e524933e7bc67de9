//! What the reconciler is told.

use std::sync::Arc;

use kumquatdrum_declaration::Declaration;
use kumquatdrum_types::{BootId, EndpointId, Moment, ServiceName, Version};

use crate::{OrderId, Report};

/// Leadership as this replica can prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// The term, which is the fencing number of this leader's orders.
    pub term: u64,
    /// Until when no other replica can lead, by this host's clock; none where it can't be proved.
    pub lease_until: Option<Moment>,
}

/// How an order went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The engine does it.
    Accepted,
    /// The engine won't, and did nothing.
    Refused {
        /// Why, in the engine's words.
        reason: String,
    },
    /// The engine has had an order with a higher fencing number.
    Fenced {
        /// That number.
        current: u64,
    },
    /// It may or may not have arrived.
    Lost {
        /// What went wrong.
        reason: String,
    },
    /// No byte of it was sent, as the lease had run out.
    NotSent,
}

/// What reaches the reconciler.
#[derive(Debug, Clone)]
pub enum Input {
    /// A version is in force.
    Declared(Version, Arc<Declaration>),
    /// An engine lives.
    Announced {
        /// Which.
        endpoint: EndpointId,
        /// Its life.
        boot: BootId,
        /// The service that it announces.
        service: ServiceName,
    },
    /// An engine is gone or leaves.
    Gone(EndpointId),
    /// An engine's report, or none where it could not be had.
    Reported(EndpointId, Option<Report>),
    /// What this replica can prove; none where it does not lead.
    Leadership(Option<Leadership>),
    /// How an order went.
    Answered(OrderId, Answer),
    /// Time has passed.
    Tick,
}
