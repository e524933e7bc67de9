//! Membership and propagation on a simulated network.

mod cluster;
mod endpoints;
mod hosts;
mod network;
mod propagation;
mod propagation_cluster;
mod schedules;
mod texts;
