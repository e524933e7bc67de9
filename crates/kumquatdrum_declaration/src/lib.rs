//! Types, parser, checks and diff of the declaration file, which operators write.

pub mod check;
pub mod diff;
pub mod idempotency;
pub mod index;
pub mod model;
pub mod parse;
mod pointer;

pub use check::{check, parse_and_check};
pub use diff::{Change, diff};
pub use idempotency::is_idempotent;
pub use index::Index;
pub use model::{
    Adapter, Declaration, Endpoint, Key, Limits, Model, Priority, Rule, Service, ServiceKind,
    Workspace,
};
pub use parse::{parse, schema};
