//! Files of databases whose creation was interrupted.
//!
//! A new database writes its header without the magic number, syncs it, writes the header again with the
//! magic number, and syncs that. A process that ends before the second write, and a disk that refuses it,
//! leave a file that the database doesn't open. Such a file has never held a replica's state, so it is
//! replaced by a new one. Every other file that doesn't open is damaged.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use redb::backends::InMemoryBackend;
use redb::{Builder, DatabaseError, StorageBackend};

/// The number of bytes that are compared at a time.
const CHUNK_BYTES: usize = 4096;

/// What a new database has written at each of its two syncs.
#[derive(Debug)]
struct Images {
    without_magic: Vec<u8>,
    complete: Vec<u8>,
}

/// Returns whether the creation of a database in the file was interrupted before it was complete.
///
/// Unsynced writes may have been lost or torn, and unsynced lengths lost.
pub(crate) fn is_unfinished(
    builder: &Builder,
    file: &impl StorageBackend,
) -> Result<bool, DatabaseError> {
    let images = Images::of(builder)?;
    let length = file.len()?;
    let full_length = images.complete.len() as u64;
    if length > full_length {
        return Ok(false);
    }
    let is_before_first_sync =
        |index: usize, byte: u8| byte == 0 || byte == images.without_magic[index];
    let is_before_second_sync = |index: usize, byte: u8| {
        byte == images.without_magic[index] || byte == images.complete[index]
    };
    Ok(matches_all(file, length, is_before_first_sync)?
        || length == full_length && matches_all(file, length, is_before_second_sync)?)
}

/// Returns whether all bytes of the file, each with its position, fulfil a condition.
fn matches_all(
    file: &impl StorageBackend,
    length: u64,
    condition: impl Fn(usize, u8) -> bool,
) -> io::Result<bool> {
    let length = usize::try_from(length).map_err(io::Error::other)?;
    let mut buffer = [0; CHUNK_BYTES];
    for start in (0..length).step_by(CHUNK_BYTES) {
        let chunk = &mut buffer[..CHUNK_BYTES.min(length - start)];
        file.read(start as u64, chunk)?;
        let mut bytes = chunk.iter().enumerate();
        if !bytes.all(|(index, byte)| condition(start + index, *byte)) {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Images {
    /// Creates a database in memory, and returns what it writes.
    fn of(builder: &Builder) -> Result<Self, DatabaseError> {
        let recorder = Recorder::default();
        drop(builder.create_with_backend(recorder.clone())?);
        let mut synced = std::mem::take(&mut *recorder.synced.lock()).into_iter();
        match (synced.next(), synced.next()) {
            (Some(without_magic), Some(complete)) if without_magic.len() == complete.len() => {
                Ok(Self {
                    without_magic,
                    complete,
                })
            }
            _ => Err(
                io::Error::other("a new database did not sync a file of constant length").into(),
            ),
        }
    }
}

/// A file in memory that keeps its contents as of its first two syncs.
#[derive(Debug, Clone, Default)]
struct Recorder {
    memory: Arc<InMemoryBackend>,
    synced: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl StorageBackend for Recorder {
    fn len(&self) -> io::Result<u64> {
        self.memory.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.memory.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.memory.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut synced = self.synced.lock();
        if synced.len() < 2 {
            let length = usize::try_from(self.memory.len()?).map_err(io::Error::other)?;
            let mut contents = vec![0; length];
            self.memory.read(0, &mut contents)?;
            synced.push(contents);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.memory.write(offset, data)
    }
}
