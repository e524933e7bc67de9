//! Runtime of a gateway host: the sockets, timers and disk access around the I/O-free crates.
//!
//! A gateway host forwards HTTP requests that match a route, byte for byte, to an endpoint of the
//! route's service. Hosts with a data folder also run a replica of the setup and serve operators
//! and endpoints. [`Protocol`] abstracts the wire protocol of callers, operators and endpoints.

pub mod active_setup;
pub mod allowance;
pub mod backlog;
pub mod body;
pub mod body_memory;
pub mod broadcast;
mod cache;
pub mod call;
pub mod contact;
pub mod control;
pub mod distribution;
mod endpoint_cache;
pub mod endpoints;
pub mod evacuation_cache;
pub mod evacuations;
pub mod gateway;
pub mod health;
pub mod holds;
pub mod hosts;
pub mod inbox;
pub mod listener;
pub mod message;
pub mod metrics;
pub mod paths;
pub mod pool;
pub mod problem;
pub mod protocol;
mod quarantine_cache;
pub mod relay;
pub mod replica;
pub mod reservation;
pub mod settings;
pub mod shutdown;
pub mod sockets;
pub mod suspension;
pub mod upstream;

pub use gateway::{Gateway, SettingsFile, StartError};
pub use protocol::Protocol;
pub use settings::Settings;
