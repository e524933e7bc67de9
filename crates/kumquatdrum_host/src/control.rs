//! The control plane on this host: its replica, if it has one, and the proxy to the leading replica.

mod batch;
mod proxy;
mod replica;
mod request;

pub use proxy::Proxy;
pub use replica::{Dependencies, Event, Handle, Replica};
pub use request::{Request, Response};
