//! Detects requests that crash the endpoints that run them, without clock or network.
//!
//! - [`Fingerprint`] identifies a request across attempts and hosts.
//! - [`Quarantine`] collects the crashes at which each request was in flight, merges them with
//!   those that other hosts report, and blocks requests.

mod fingerprint;
mod quarantine;
mod suspect;

pub use fingerprint::Fingerprint;
pub use quarantine::Quarantine;
pub use suspect::{Block, Crash, Incarnation, Suspect};
