//! The placement of requests on the endpoints of a service, by the kind of service.

use kumquatdrum_placement::{Balancer, Limits, Planner};

/// Places requests on endpoints.
pub(super) enum Policy {
    /// Model engines.
    Engines(Box<Planner>),
    /// Endpoints of a plain service.
    Plain(Box<Balancer>),
}

impl Policy {
    /// Returns the limits of the endpoints.
    pub(super) const fn limits(&self) -> &Limits {
        match self {
            Self::Engines(planner) => planner.limits(),
            Self::Plain(balancer) => balancer.limits(),
        }
    }

    /// Returns the limits of the endpoints.
    pub(super) const fn limits_mut(&mut self) -> &mut Limits {
        match self {
            Self::Engines(planner) => planner.limits_mut(),
            Self::Plain(balancer) => balancer.limits_mut(),
        }
    }
}
