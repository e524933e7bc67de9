//! What a daemon needs of a model engine, whatever the engine speaks.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use futures::Stream;
use kumquatdrum_orders::{Answer as OrderAnswer, Order, Report};
use kumquatdrum_types::exchange::{Call, Event, Status, Target};
use kumquatdrum_types::{AttemptId, BootId, HostId};
use serde::{Deserialize, Serialize};

/// A boxed future, so that the trait can stand behind a pointer.
pub type Answer<T> = Pin<Box<dyn Future<Output = Result<T, Unreachable>> + Send>>;
/// The events of one exchange; it ends after `Finished` or a fault.
pub type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// How an order went; a boxed future like [`Answer`].
pub type Ordered = Pin<Box<dyn Future<Output = OrderAnswer> + Send>>;
/// Asked right before an order's bytes are handed over; none are where it says `false`.
pub type Check = Box<dyn Fn() -> bool + Send + Sync>;

/// The engine did not answer a question in time, or not in its protocol.
#[derive(Debug, Clone, thiserror::Error)]
#[error("engine {endpoint} can't be asked: {reason}")]
pub struct Unreachable {
    /// Which engine.
    pub endpoint: String,
    /// What went wrong.
    pub reason: String,
}

/// An attempt that runs for an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Its name.
    pub id: AttemptId,
}

/// A change of an engine's prefix cache, as the engine tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event of one boot.
    pub seq: u64,
    /// `stored` or `evicted`.
    pub op: String,
    /// The block's name, in hexadecimal digits.
    pub prefix: String,
}

/// Some cache events of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// The life of the engine that speaks.
    pub boot: BootId,
    /// The last number that was published; a missing one up to it was lost.
    pub last: u64,
    /// The events, in their order.
    pub events: Vec<CacheEvent>,
}

/// A model engine as seen from a daemon. Dropping an exchange's events closes its connection.
pub trait Engine: Send + Sync {
    /// Sends an attempt and follows its answer.
    fn dispatch(&self, call: Call) -> Events;

    /// Follows the answer of an earlier attempt from token `from`, over a new connection.
    fn resume(&self, target: &Target, attempt: &AttemptId, from: u64) -> Events;

    /// Asks over a new connection how an attempt stands.
    fn probe(&self, target: &Target, attempt: &AttemptId) -> Answer<Status>;

    /// Cancels an attempt over a new connection. The answer says how it stood; an attempt that
    /// was never seen never will be started.
    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Answer<Status>;

    /// Lists what runs for an owner.
    fn running_attempts(&self, target: &Target, owner: &HostId) -> Answer<Vec<Running>>;

    /// Cache events after a number; they come late and with gaps.
    fn cache_events(&self, target: &Target, after: u64) -> Answer<CachePage>;

    /// Reserves memory under an attempt's name, or renews it; `false` where there is no room.
    fn reserve(
        &self,
        target: &Target,
        attempt: &AttemptId,
        owner: &HostId,
        tokens: u64,
        time_to_live: Duration,
    ) -> Answer<bool>;

    /// Releases a reservation; `false` where there was none.
    fn release(&self, target: &Target, attempt: &AttemptId) -> Answer<bool>;

    /// Gives an order over a new connection, if `check` allows it right before.
    fn order(&self, target: &Target, order: &Order, check: Check) -> Ordered;

    /// What the engine has loaded and does.
    fn order_report(&self, target: &Target) -> Answer<Report>;

    /// Drops pooled connections to an endpoint that went silent.
    fn drop_pooled_connections(&self, target: &Target);
}
