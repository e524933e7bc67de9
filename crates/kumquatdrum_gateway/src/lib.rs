//! The shell of a gateway host: sockets, timers and disk around the cores.
//!
//! A gateway host takes any HTTP request of a declared route and passes it on, byte for byte, to
//! an endpoint of the route's service. Hosts with a data folder also keep the replicated setup and
//! take what operators and endpoints say. How callers, operators and endpoints speak stands behind
//! [`Protocol`]; this package knows none of their names.

pub mod body;
pub mod broadcast;
pub mod call;
pub mod callers;
pub mod control;
pub mod endpoints;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod health;
pub mod hosts;
pub mod in_force;
pub mod inbox;
pub mod message;
pub mod meters;
pub mod problem;
pub mod protocol;
mod recall;
pub mod replica;
pub mod reservation;
pub mod settings;
pub mod sockets;
pub mod spread;
pub mod upstream;

pub use gateway::{Gateway, SettingsFile, StartError};
pub use protocol::Protocol;
pub use settings::Settings;
