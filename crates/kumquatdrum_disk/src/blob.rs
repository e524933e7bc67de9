//! A small file that is replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

use kumquatdrum_types::hash;

/// Bytes of the hash that a file ends with.
const HASH_BYTES: usize = 8;

/// A small file that is replaced as a whole: after a crash it holds what was written last, or what
/// was written before that.
#[derive(Debug, Clone)]
pub struct Blob {
    folder: PathBuf,
    path: PathBuf,
    next: PathBuf,
}

impl Blob {
    /// The file of this name in a folder; neither has to be there yet.
    pub fn new(folder: impl AsRef<Path>, name: &str) -> Self {
        let folder = folder.as_ref();
        Self {
            folder: folder.to_owned(),
            path: folder.join(name),
            next: folder.join(format!("{name}.next")),
        }
    }

    /// What the file holds; nothing where there is none.
    ///
    /// # Errors
    ///
    /// The disk's own, and [`io::ErrorKind::InvalidData`] where the bytes are not those that were
    /// written.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(&self.path) {
            Ok(mut file) => file.read_to_end(&mut bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "the file is damaged");
        let length = bytes.len().checked_sub(HASH_BYTES).ok_or_else(damaged)?;
        let written = bytes.split_off(length);
        if written == hash_of(&bytes) {
            Ok(Some(bytes))
        } else {
            Err(damaged())
        }
    }

    /// Replaces what the file holds; it is synced when this returns.
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
    /// The disk's own; the file holds what it held before.
    pub fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let mut file = File::create(&self.next)?;
        file.write_all(bytes)?;
        file.write_all(&hash_of(bytes))?;
        file.sync_all()?;
        fs::rename(&self.next, &self.path)?;
        // The new name lasts only once its folder is synced.
        File::open(&self.folder)?.sync_all()
    }
}

fn hash_of(bytes: &[u8]) -> [u8; HASH_BYTES] {
    let hash = hash::mix(hash::extend(hash::OFFSET_BASIS, bytes.iter().copied()));
    hash.to_le_bytes()
}
