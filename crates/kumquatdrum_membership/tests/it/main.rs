//! The cores under a small network by seed.

mod cluster;
mod endpoints;
mod hosts;
mod network;
mod propagation;
mod propagation_cluster;
mod schedules;
mod texts;
