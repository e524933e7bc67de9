//! The file system calls that a data folder needs.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;

use redb::StorageBackend;
use redb::backends::FileBackend;

/// The calls that create and open a data folder.
///
/// A directory or file that was created survives a loss of power only after the directory that contains it
/// was synced.
pub trait FileSystem: Debug {
    /// An open data file.
    type File: StorageBackend;

    /// Returns whether a directory exists.
    fn is_directory(&self, path: &Path) -> bool;

    /// Creates a directory in an existing one.
    fn create_directory(&self, path: &Path) -> io::Result<()>;

    /// Syncs the names in a directory.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;

    /// Opens a data file, which is created empty if it is missing, and locks it until it is dropped. Fails
    /// with [`io::ErrorKind::WouldBlock`] if another process has locked it.
    fn open_file(&self, path: &Path) -> io::Result<Self::File>;
}

/// The operating system's file system.
#[derive(Debug, Clone, Copy)]
pub struct System;

impl FileSystem for System {
    type File = FileBackend;

    fn is_directory(&self, path: &Path) -> bool {
        path.is_dir()
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        fs::create_dir(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn open_file(&self, path: &Path) -> io::Result<FileBackend> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let file = options.open(path)?;
        match file.try_lock() {
            Ok(()) => FileBackend::new(file).map_err(io::Error::other),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

/// Creates a directory and those above it that are missing, so that a loss of power takes none of them.
///
/// The name of a directory is synced before another one is created in it, and that of the last one even if
/// it exists, as an earlier process may have ended between the two.
pub(crate) fn create_directories(files: &impl FileSystem, path: &Path) -> io::Result<()> {
    let is_missing = !files.is_directory(path);
    if is_missing {
        if parent(path) != path {
            create_directories(files, parent(path))?;
        }
        files.create_directory(path)?;
    }
    match files.sync_directory(parent(path)) {
        // Whoever may not read the parent was given the directory by another user.
        Err(error) if error.kind() == io::ErrorKind::PermissionDenied && !is_missing => Ok(()),
        result => result,
    }
}

/// Returns the directory that contains a name. A root, and the working directory, contain themselves.
fn parent(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if parent == Path::new("") => Path::new("."),
        Some(parent) => parent,
        None => path,
    }
}
