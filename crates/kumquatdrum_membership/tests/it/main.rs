//! The cores under a small network by seed.

mod cluster;
mod endpoints;
mod hosts;
mod network;
mod schedules;
mod spread;
mod spread_cluster;
mod texts;
