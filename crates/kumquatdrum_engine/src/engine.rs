//! Interface to a model engine, independent of its protocol.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use futures::Stream;
use kumquatdrum_orders::{Order, Report};
use kumquatdrum_types::exchange::{Call, Event, Status, Target};
use kumquatdrum_types::{AttemptId, BootId, HostId};
use serde::{Deserialize, Serialize};

/// A boxed future of an engine's response, which keeps [`Engine`] usable as a trait object.
pub type ResponseFuture<T> = Pin<Box<dyn Future<Output = Result<T, Unreachable>> + Send>>;
/// Events of one exchange. The stream ends after `Finished` or a fault.
pub type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// A boxed future of an engine's response to an order.
pub type OrderFuture = Pin<Box<dyn Future<Output = kumquatdrum_orders::Answer> + Send>>;
/// Condition checked right before an order is written to the connection. The order is not sent if
/// it returns `false`.
pub type Precondition = Box<dyn Fn() -> bool + Send + Sync>;

/// An engine could not be reached, did not respond in time, or sent an invalid response.
#[derive(Debug, Clone, thiserror::Error)]
#[error("request to engine {endpoint} failed: {reason}")]
pub struct Unreachable {
    /// Id of the engine.
    pub endpoint: String,
    /// Description of the error.
    pub reason: String,
}

/// An attempt that an engine has accepted and that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Attempt id.
    pub id: AttemptId,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event of a boot.
    pub seq: u64,
    /// `stored` or `evicted`.
    pub op: String,
    /// Hash of the block in hexadecimal digits.
    pub prefix: String,
}

/// A page of cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// Boot id of the engine.
    pub boot: BootId,
    /// Last published sequence number. Events missing from the sequence up to it were lost.
    pub last: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// The daemon's interface to model engines. Dropping an exchange's events closes its connection.
pub trait Engine: Send + Sync {
    /// Sends an attempt and returns the events of its response.
    fn dispatch(&self, call: Call) -> Events;

    /// Resumes the response of an earlier attempt from token `from`, over a new connection.
    fn resume(&self, target: &Target, attempt: &AttemptId, from: u64) -> Events;

    /// Requests the status of an attempt over a new connection.
    fn probe(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<Status>;

    /// Cancels an attempt over a new connection and returns its status afterwards. An attempt
    /// unknown to the engine will not be started if it arrives later.
    fn cancel(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<Status>;

    /// Lists an owner's attempts that are waiting or running.
    fn running_attempts(&self, target: &Target, owner: &HostId) -> ResponseFuture<Vec<Attempt>>;

    /// Returns the cache events after a sequence number. Events may be late or missing.
    fn cache_events(&self, target: &Target, after: u64) -> ResponseFuture<CachePage>;

    /// Reserves memory for an attempt, or renews its reservation. Returns `false` if there is not
    /// enough memory.
    fn reserve(
        &self,
        target: &Target,
        attempt: &AttemptId,
        owner: &HostId,
        tokens: u64,
        time_to_live: Duration,
    ) -> ResponseFuture<bool>;

    /// Releases a reservation. Returns `false` if there was none.
    fn release(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<bool>;

    /// Sends an order over a new connection, if `precondition` holds right before it is written.
    fn order(&self, target: &Target, order: &Order, precondition: Precondition) -> OrderFuture;

    /// Returns the engine's report of its loaded model, adapters and role.
    fn order_report(&self, target: &Target) -> ResponseFuture<Report>;

    /// Drops the pooled connections to an endpoint that stopped responding.
    fn drop_pooled_connections(&self, target: &Target);
}
