//! What a daemon needs of a plain service.

use std::pin::Pin;

use futures::Stream;
use kumquatdrum_types::exchange::{Call, Event};

/// The events of one exchange; it ends after `Finished` or a fault.
pub type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// A plain service as seen from a daemon. Dropping an exchange's events closes its connection.
pub trait Service: Send + Sync {
    /// Sends a call and follows its answer.
    fn call(&self, call: Call) -> Events;
}
