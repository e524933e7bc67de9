//! Placement of requests on endpoints, without clock or network.
//!
//! - [`Planner`] places prompts on model engines. It tracks the dispatches of all hosts, estimates
//!   the backlog of each engine and chooses how many engines share the prefill of a long prompt.
//! - [`Balancer`] balances requests over the endpoints of a plain service.
//! - [`Health`] detects unhealthy endpoints from their responses.
//! - [`Limits`] keeps the requests of all hosts to an endpoint within the rate that it names, and
//!   those to a cold endpoint within an [`Allowance`].
//! - [`cold`] tells which endpoints are cold.
//! - [`Backoffs`] keeps requests away from endpoints that ask this host for a pause.
//! - [`Path`] tells whether this host reaches the endpoints of a service.
//! - [`Budget`] limits a host to its share of the retries of all hosts.
//! - [`Durations`] tells how long the answers of a plain service take.
//! - [`Shutdown`] tells which requests a host that ends soon can still serve.

mod backoff;
mod balancer;
mod candidate;
pub mod cold;
mod cost;
mod decision;
mod demand;
mod durations;
mod health;
mod job;
mod limits;
mod long_prompt;
mod path;
mod planner;
mod queue;
mod rate;
mod reachability;
mod retry;
mod short_prompt;
mod shutdown;
mod slot_queue;
mod suspicion;
mod tombstones;

pub use backoff::Backoffs;
pub use balancer::Balancer;
pub use cost::Cost;
pub use decision::{Decision, Diagnostics, Harm, Refusal};
pub use durations::Durations;
pub use health::{Failure, Health};
pub use job::{EndpointKey, Helper, Job, JobId, Plan, SlotOrder, Waiter};
pub use limits::{Allowance, Limits, Place, Summary, Warmups};
pub use path::{Change, Path, Route, Trouble};
pub use planner::Planner;
pub use rate::Rate;
pub use reachability::DataCentreKey;
pub use retry::Budget;
pub use shutdown::Shutdown;
