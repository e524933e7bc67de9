//! Core: admission, limits, queueing, placement and retries. Pure and without a clock.

mod ask;
mod drain;
pub mod fleet;
pub mod gang;
mod job;
pub mod limits;
mod output;
pub mod policy;
pub mod prefix;
mod queue;
mod rank;
pub mod rate;
pub mod retry;
mod router;
mod settings;
pub mod slot;

pub use ask::{
    BlockHash, CacheChange, CacheEvent, Failure, Health, Priority, Progress, Request, RequestKind,
    Usage,
};
pub use job::{Job, Size};
pub use output::{Dispatch, Output, Refuse};
pub use router::Router;
pub use settings::Settings;
