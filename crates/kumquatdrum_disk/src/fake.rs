//! In-memory disks and file systems for tests, which lose unsynced data, tear writes, fill up and fail.

mod budget;
mod disk;
mod file_system;

pub use disk::Disk;
pub use file_system::FileSystem;
