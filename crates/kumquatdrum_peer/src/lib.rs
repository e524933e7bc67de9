//! Other daemons: frames over tonic, proved by the cluster secret.
//!
//! A [`Client`] speaks to all peers, [`serve`] listens to them. Bodies are opaque bytes of the
//! subsystem that a [`Channel`] names. A frame may arrive twice (a lost acknowledgement, or one
//! that somebody on the path recorded): every subsystem has to take duplicates and old messages.

pub mod authentication;
mod channel;
mod client;
mod counters;
mod error;
mod frame;
mod handler;
mod link;
mod local;
mod outbox;
mod peer;
mod queue;
mod server;

// Generated from proto/peer.proto; docs/design/membership.md says how to renew it.
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod generated;

pub use channel::Channel;
pub use client::Client;
pub use counters::{Counters, Traffic};
pub use error::Error;
pub use handler::{Answer, Handler};
pub use local::{Identity, LocalDaemon, Secret};
pub use server::serve;
