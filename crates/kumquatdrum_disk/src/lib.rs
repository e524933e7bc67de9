//! The data folder: log, vote and snapshot of a control replica.
//!
//! A [`Folder`] keeps its state in one file, which one process at a time can open. Opening verifies
//! the whole file and reports a damaged record. [`Store::write`] applies its batches in one
//! transaction with one sync. After a failed write the contents of the disk are unknown, so the
//! store rejects further writes.
//!
//! A [`Blob`] holds cached data that lets a host restart faster, in a file of its own.

mod blob;
mod creation;
mod error;
pub mod fake;
mod file_system;
mod folder;
mod identity;
mod memory;
mod store;
mod writer;

pub use blob::Blob;
pub use error::Error;
pub use file_system::{FileSystem, System};
pub use folder::{FILE_NAME, Folder, Origin};
pub use identity::Identity;
pub use memory::Memory;
pub use store::Store;
pub use writer::{WriteCallback, Writer};
