//! Core: the operators' file, its types, checks and findings.

pub mod model;

pub use model::{
    Adapter, Declaration, Endpoint, Key, Limits, Model, Priority, Rule, Service, ServiceKind,
    Workspace,
};
