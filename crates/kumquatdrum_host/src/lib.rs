//! The daemon of one host: listeners, timers, storage and tasks around the state machines of the
//! other crates.

pub mod announce;
pub mod caches;
pub mod canceller;
pub mod context;
pub mod control;
pub mod embedded;
pub mod frontend;
pub mod gauges;
pub mod host;
pub mod in_force;
pub mod key;
pub mod limits;
pub mod members;
pub mod orders;
pub mod orphans;
pub mod peers;
pub mod problem;
pub mod quarantine;
mod quota;
pub mod request;
pub mod reservations;
pub mod routers;
pub mod settings;
pub mod web;

pub use host::{Host, StartError};
pub use settings::Settings;
