//! Inputs of the reconciler.

use std::sync::Arc;

use kumquatdrum_declaration::Declaration;
use kumquatdrum_types::{BootId, EndpointId, Moment, ServiceName, Version};

use crate::{OrderId, Report};

/// The leadership that this replica can prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// The term, used as the fencing token of this leader's orders.
    pub term: u64,
    /// The end of the lease on this host's clock; `None` if the lease can't be proved.
    pub lease_until: Option<Moment>,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The engine carries out the order.
    Accepted,
    /// The engine refused the order and did nothing.
    Refused {
        /// The engine's reason.
        reason: String,
    },
    /// The engine has seen a higher fencing token.
    Fenced {
        /// The engine's current fencing token.
        current: u64,
    },
    /// The order may or may not have reached the engine.
    Lost {
        /// The transport error.
        reason: String,
    },
    /// Nothing was sent because the lease had expired.
    NotSent,
}

/// An event for the reconciler.
#[derive(Debug, Clone)]
pub enum Input {
    /// A version of the declaration is in force.
    Declared(Version, Arc<Declaration>),
    /// An engine is alive.
    Announced {
        /// The engine's name.
        endpoint: EndpointId,
        /// The engine's incarnation.
        boot: BootId,
        /// The service that the engine announces.
        service: ServiceName,
    },
    /// An engine has failed or is leaving.
    Gone(EndpointId),
    /// The result of a probe; `None` if it failed.
    Reported(EndpointId, Option<Report>),
    /// The replica's leadership; `None` if it doesn't lead.
    Leadership(Option<Leadership>),
    /// The outcome of an order.
    Answered(OrderId, Answer),
    /// The clock has advanced.
    Tick,
}
