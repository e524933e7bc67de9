//! Detects requests, and parts of prompts, that crash the endpoints that run them, without clock or
//! network.
//!
//! - [`Fingerprint`] identifies a request across attempts and hosts.
//! - [`Identity`] also identifies the parts of its prompt.
//! - [`Quarantine`] collects the crashes at which each request and part was in flight, merges them
//!   with those that other hosts report, and blocks requests.
//! - [`Exchange`] tracks which evidence other hosts have.

mod entry;
mod exchange;
mod fingerprint;
mod identity;
mod part;
mod quarantine;
mod suspect;

pub use exchange::{Evidence, Exchange};
pub use fingerprint::Fingerprint;
pub use identity::Identity;
pub use part::SURVIVAL_TIME;
pub use quarantine::Quarantine;
pub use suspect::{Block, Crash, Incarnation, Origin, Probe, Subject, Suspect};
