//! Fan-out of events to other hosts, without clock or network.
//!
//! A host sends events directly to the hosts of its own data centre and to one [`Relay`] in each
//! other data centre, which forwards them there in a [`Batch`]. This limits what a host sends, and
//! the traffic between data centres, as the number of hosts grows.

mod batch;
mod recipients;

pub use batch::{Batch, Urgency};
pub use recipients::{Peer, Recipients, Relay};
