//! The shell of one host: sockets, timers, disk and threads around the daemon's core.

pub mod announce;
pub mod caches;
pub mod canceller;
pub mod control;
pub mod embedded;
pub mod fleet;
pub mod frontend;
pub mod gangs;
pub mod gauges;
pub mod host;
pub mod in_force;
pub mod key;
pub mod members;
pub mod orders;
pub mod orphans;
pub mod peers;
pub mod problem;
pub mod quota;
pub mod request;
pub mod settings;
pub mod shell;
pub mod web;

pub use host::{Host, StartError};
pub use settings::Settings;
