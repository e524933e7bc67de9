//! Shared identifiers, clock types and messages.

pub mod checkpoint;
pub mod digest;
pub mod endpoint;
pub mod exchange;
pub mod finding;
pub mod hash;
pub mod id;
pub mod load;
pub mod outcome;
pub mod time;

pub use checkpoint::Checkpoint;
pub use endpoint::Announcement;
pub use finding::Finding;
pub use id::{
    AttemptId, BootId, DataCentre, EndpointId, HostId, IdempotencyKey, ModelName, RequestId,
    ServiceName, Version, WorkspaceName,
};
pub use load::Load;
pub use outcome::{FailureClass, Refusal};
pub use time::Moment;
