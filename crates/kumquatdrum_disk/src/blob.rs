//! Small files that are replaced atomically.

use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

use kumquatdrum_types::hash;

use crate::file_system::{self, System};

/// The size of the hash at the end of the file.
const HASH_BYTES: usize = 8;

/// A small file that is replaced atomically: after a crash it holds either its new or its previous
/// contents.
#[derive(Debug, Clone)]
pub struct Blob {
    folder: PathBuf,
    path: PathBuf,
    /// The temporary file, which replaces the file once it is complete.
    next: PathBuf,
}

impl Blob {
    /// Returns a handle to the file `name` in `folder`. Neither has to exist.
    pub fn new(folder: impl AsRef<Path>, name: &str) -> Self {
        let folder = folder.as_ref();
        Self {
            folder: folder.to_owned(),
            path: folder.join(name),
            next: folder.join(format!("{name}.next")),
        }
    }

    /// Returns the contents of the file, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and with [`io::ErrorKind::InvalidData`] if its hash does
    /// not match its contents.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(&self.path) {
            Ok(mut file) => file.read_to_end(&mut bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let corrupt = || io::Error::new(io::ErrorKind::InvalidData, "file hash mismatch");
        let length = bytes.len().checked_sub(HASH_BYTES).ok_or_else(corrupt)?;
        let written = bytes.split_off(length);
        if written == hash_of(&bytes) {
            Ok(Some(bytes))
        } else {
            Err(corrupt())
        }
    }

    /// Replaces the contents of the file and syncs them to disk.
    ///
    /// ```
    /// use kumquatdrum_disk::Blob;
    ///
    /// let folder = std::env::temp_dir().join(format!("blob-{}", std::process::id()));
    /// let blob = Blob::new(&folder, "known");
    /// blob.replace(b"two")?;
    /// assert_eq!(blob.read()?.as_deref(), Some(b"two".as_slice()));
    /// # std::fs::remove_dir_all(folder)?;
    /// # Ok::<_, std::io::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; its previous contents stay.
    pub fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        if !self.folder.is_dir() {
            file_system::create_directories(&System, &self.folder)?;
        }
        let mut file = File::create(&self.next)?;
        file.write_all(bytes)?;
        file.write_all(&hash_of(bytes))?;
        file.sync_all()?;
        fs::rename(&self.next, &self.path)?;
        // A rename survives a crash only after its folder is synced.
        File::open(&self.folder)?.sync_all()
    }
}

fn hash_of(bytes: &[u8]) -> [u8; HASH_BYTES] {
    let hash = hash::mix(hash::extend(hash::OFFSET_BASIS, bytes.iter().copied()));
    hash.to_le_bytes()
}
