//! Communication between daemons: gRPC frames, authenticated by the cluster secret.
//!
//! A [`Client`] sends to all peers, and [`serve`] accepts their calls. Bodies are opaque bytes of
//! the subsystem identified by a [`Channel`]. Frames may be delivered more than once, after a lost
//! acknowledgement or by a replay, so every subsystem must tolerate duplicates and old messages.

pub mod authentication;
mod channel;
mod client;
mod counters;
mod error;
mod exchange;
mod frame;
mod handler;
mod link;
mod local;
mod outbox;
mod peer;
mod queue;
mod server;
mod subscription;

// Generated from proto/peer.proto; docs/design/membership.md describes how to regenerate it.
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod generated;

pub use channel::Channel;
pub use client::Client;
pub use counters::{Counters, Traffic};
pub use error::Error;
pub use exchange::Exchange;
pub use handler::{Handler, Parts, ResponseFuture};
pub use link::Pace;
pub use local::{Identity, LocalDaemon, Secret};
pub use server::serve;
