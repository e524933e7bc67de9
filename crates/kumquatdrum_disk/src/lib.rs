//! The data folder: log, vote and snapshot of a control replica.
//!
//! A [`Folder`] keeps everything in one file, of which one process at a time may be the owner.
//! What [`Store::write`] was given is synced when it returns; several batches share one
//! transaction and one sync. Opening checks the whole file, and tells where it is damaged. After
//! a failed write the store takes no more, as nobody can tell what the disk holds then.
//!
//! A [`Blob`] keeps what a host would rather not learn anew, beside the folder's own file.

mod blob;
mod error;
pub mod fake;
mod folder;
mod identity;
mod memory;
mod store;
mod writer;

pub use blob::Blob;
pub use error::Error;
pub use folder::{FILE_NAME, Folder};
pub use identity::Identity;
pub use memory::Memory;
pub use store::Store;
pub use writer::{Callback, Writer};
