//! Core: where requests go, without clock or network.
//!
//! - [`Planner`] places prompts on model engines: it keeps what every host has told of its
//!   dispatches, estimates when an engine has read what it holds, and weighs how many engines
//!   share the reading of a long prompt.
//! - [`Balancer`] spreads requests over the endpoints of a plain service.
//! - [`Health`] tells from answers alone which endpoints to spare.
//! - [`Budget`] keeps a host's share of the retries that all hosts may make together.

mod balancer;
mod budget;
mod candidate;
mod cost;
mod demand;
mod ended;
mod health;
mod job;
mod long;
mod planner;
mod reach;
mod short;
mod turns;

pub use balancer::Balancer;
pub use budget::RetryBudget;
pub use cost::Cost;
pub use health::{Failure, Health};
pub use job::{EndpointKey, Job, JobId, Part, Plan, Waiter};
pub use planner::{Decision, Diagnostics, Planner};
pub use reach::DataCentreKey;
