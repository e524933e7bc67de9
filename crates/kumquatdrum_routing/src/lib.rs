//! Routing: admission, rate limits, queueing, placement and retries, without clock or network.

mod drain;
pub mod endpoint;
pub mod gang;
mod job;
pub mod limits;
mod output;
pub mod policy;
pub mod pool;
pub mod prefix;
mod queue;
mod rank;
pub mod rate;
mod request;
pub mod retry;
mod router;
mod settings;

pub use job::{Job, Size};
pub use output::{Dispatch, Output, Refuse};
pub use request::{
    BlockHash, CacheChange, CacheEvent, Failure, Health, Priority, Progress, Request, RequestKind,
    Usage,
};
pub use router::Router;
pub use settings::Settings;
