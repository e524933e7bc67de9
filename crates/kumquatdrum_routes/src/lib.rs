//! Core: what operators put in force for the gateway, by a revision of their own.
//!
//! A [`Setup`] holds routes, services and workspaces. [`check`] collects everything that is wrong
//! with one, [`Table`] answers look-ups, and [`Register`] is the replicated state: the setup with
//! the highest revision wins, and its text is kept as the operator sent it. [`spread`] says who tells
//! whom of a new [`Record`].

mod check;
pub mod record;
mod register;
mod setup;
pub mod spread;
mod table;

pub use check::check;
pub use record::Record;
pub use register::Register;
pub use setup::{Engine, Kind, Limits, Route, Service, Setup, Share, Workspace};
pub use table::Table;
