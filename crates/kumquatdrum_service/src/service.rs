//! Interface to a plain service.

use std::pin::Pin;

use futures::Stream;
use kumquatdrum_types::exchange::{Call, Event};

/// Events of one exchange, to be read until `Finished` or a fault.
pub type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// The daemon's interface to plain services. Dropping an exchange's events closes its connection.
pub trait Service: Send + Sync {
    /// Sends a call and returns the events of its response.
    fn call(&self, call: Call) -> Events;
}
