//! Core: the operators' file, its types, checks and findings.

pub mod check;
pub mod diff;
pub mod index;
pub mod model;
pub mod parse;
mod pointer;
pub mod repeat;

pub use check::{check, checked};
pub use diff::{Change, diff};
pub use index::Index;
pub use model::{
    Adapter, Declaration, Endpoint, Key, Limits, Model, Priority, Rule, Service, ServiceKind,
    Workspace,
};
pub use parse::{parse, schema};
pub use repeat::is_idempotent;
