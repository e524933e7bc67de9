//! Setups that operators apply to the gateway, versioned by a revision number, without I/O.
//!
//! A [`Setup`] holds routes, services and workspaces. [`validate`] reports its errors and [`Table`]
//! indexes it. [`Register`] is the replicated state: the [`Record`] with the highest revision,
//! whose text is stored as the operator sent it, and the [`evacuation`]s of data centres.
//! [`distribution`] assigns the control host that sends a new record to each host, and [`fetch`]
//! decides whom a host asks that didn't get one. [`connection`] tells when an idle connection is
//! closed.

pub mod connection;
pub mod distribution;
mod entry;
pub mod evacuation;
pub mod fetch;
pub mod record;
mod register;
mod setup;
mod table;
mod validate;

pub use entry::Entry;
pub use evacuation::Evacuations;
pub use record::Record;
pub use register::Register;
pub use setup::{Delivery, Engine, Limits, Route, Service, Setup, Share, Workspace};
pub use table::Table;
pub use validate::validate;
