//! Detects requests that crash the endpoints that run them, without clock or network.
//!
//! - [`Fingerprint`] identifies a request across attempts and hosts.
//! - [`Quarantine`] collects the crashes at which each request was in flight, merges them with
//!   those that other hosts report, and blocks requests.
//! - [`Exchange`] tracks which evidence other hosts have.

mod exchange;
mod fingerprint;
mod quarantine;
mod suspect;

pub use exchange::{Evidence, Exchange};
pub use fingerprint::Fingerprint;
pub use quarantine::Quarantine;
pub use suspect::{Block, Crash, Incarnation, Probe, Suspect};
