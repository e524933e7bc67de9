//! Directories and data files in memory.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::Disk;
use super::budget::Budget;
use crate::file_system;

/// A file system in memory that starts with an empty root. Clones share their contents.
///
/// ```
/// use kumquatdrum_consensus::Incarnation;
/// use kumquatdrum_disk::{Folder, Store, fake::FileSystem};
///
/// let files = FileSystem::new();
/// let host = "ikeja-1".into();
/// drop(Folder::open_in(&files, "/data", &host, Incarnation(7))?);
/// files.lose_power(|_| false, 512, false, |_| false);
/// let folder = Folder::open_in(&files, "/data", &host, Incarnation(8))?;
/// assert_eq!(folder.identity().incarnation, Incarnation(7));
/// # Ok::<(), kumquatdrum_disk::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct FileSystem {
    names: Arc<Mutex<IndexMap<PathBuf, Name>>>,
    budget: Budget,
}

#[derive(Debug)]
struct Name {
    content: Content,
    /// Whether the name survives a loss of power.
    is_synced: bool,
}

#[derive(Debug)]
enum Content {
    Directory,
    File(Disk),
}

impl FileSystem {
    /// Creates a file system with an empty root.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes all changes after the next `count` fail, also those of files.
    pub fn fail_after_changes(&self, count: u64) {
        self.budget.limit(count);
    }

    /// Returns whether a change has failed, or the next one will.
    pub fn is_failing(&self) -> bool {
        self.budget.is_spent()
    }

    /// Lets changes succeed again.
    pub fn repair(&self) {
        self.budget.lift();
    }

    /// Loses unsynced names, except those for which `keeps_name` returns true, with all that they contain.
    /// Files that are left lose power as [`Disk::lose_power`] says.
    pub fn lose_power(
        &self,
        mut keeps_name: impl FnMut(&Path) -> bool,
        unit_bytes: usize,
        keeps_length: bool,
        mut keeps_unit: impl FnMut(usize) -> bool,
    ) {
        let mut names = self.names.lock();
        let is_lost = |(path, name): &(&PathBuf, &Name)| !name.is_synced && !keeps_name(path);
        let lost: Vec<PathBuf> = names
            .iter()
            .filter(is_lost)
            .map(|(path, _)| path.clone())
            .collect();
        names.retain(|path, _| !lost.iter().any(|lost| path.starts_with(lost)));
        for name in names.values_mut() {
            name.is_synced = true;
            if let Content::File(disk) = &name.content {
                disk.lose_power(unit_bytes, keeps_length, &mut keeps_unit);
            }
        }
        self.budget.lift();
    }

    fn check_parent(&self, path: &Path) -> io::Result<()> {
        let parent = path.parent().ok_or(io::ErrorKind::AlreadyExists)?;
        if parent == Path::new("/") || self.names.lock().contains_key(parent) {
            Ok(())
        } else {
            Err(io::ErrorKind::NotFound.into())
        }
    }

    fn add(&self, path: &Path, content: Content) {
        let name = Name {
            content,
            is_synced: false,
        };
        self.names.lock().insert(path.to_owned(), name);
    }
}

impl file_system::FileSystem for FileSystem {
    type File = Disk;

    fn is_directory(&self, path: &Path) -> bool {
        let names = self.names.lock();
        let name = names.get(path);
        let is_directory = name.is_some_and(|name| matches!(name.content, Content::Directory));
        path == Path::new("/") || is_directory
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        self.check_parent(path)?;
        if self.names.lock().contains_key(path) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        self.budget.spend()?;
        self.add(path, Content::Directory);
        Ok(())
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        self.budget.spend()?;
        let mut names = self.names.lock();
        let inside = names
            .iter_mut()
            .filter(|(name, _)| name.parent() == Some(path));
        for (_, name) in inside {
            name.is_synced = true;
        }
        Ok(())
    }

    fn open_file(&self, path: &Path) -> io::Result<Disk> {
        self.check_parent(path)?;
        if let Some(name) = self.names.lock().get(path) {
            return match &name.content {
                Content::File(disk) => Ok(disk.clone()),
                Content::Directory => Err(io::ErrorKind::IsADirectory.into()),
            };
        }
        self.budget.spend()?;
        let disk = Disk::with_budget(self.budget.clone());
        self.add(path, Content::File(disk.clone()));
        Ok(disk)
    }
}
