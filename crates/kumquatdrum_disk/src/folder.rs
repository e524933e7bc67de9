//! The data folder on a real disk.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

use kumquatdrum_consensus::{
    Batch, Entry, HardState, Incarnation, LogIndex, Snapshot, StoredState,
};
use kumquatdrum_types::HostId;
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend,
    StorageError, TableDefinition, WriteTransaction,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Identity, Store};

/// The file in the data folder that holds everything.
pub const FILE_NAME: &str = "replica.redb";

const FORMAT: u64 = 1;
/// All of the state is held by the node anyway.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard state";
const SNAPSHOT_KEY: &str = "snapshot";

/// An open data folder. Dropping it lets another process open it.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    database: Database,
    identity: Identity,
    failed: AtomicBool,
}

impl Folder {
    /// Opens the data folder at `path`, or makes it, and checks its whole contents.
    ///
    /// `incarnation` must be random; it is used only where the folder is made.
    ///
    /// ```
    /// use kumquatdrum_consensus::Incarnation;
    /// use kumquatdrum_disk::{Error, Folder, Store};
    ///
    /// let path = std::env::temp_dir().join(format!("kumquatdrum-doc-{}", std::process::id()));
    /// let host = "ikeja-1".into();
    /// let folder = Folder::open(&path, &host, Incarnation(7))?;
    /// assert!(matches!(Folder::open(&path, &host, Incarnation(8)), Err(Error::Locked { .. })));
    /// drop(folder);
    /// assert_eq!(Folder::open(&path, &host, Incarnation(8))?.identity().incarnation.0, 7);
    /// # std::fs::remove_dir_all(&path).unwrap();
    /// # Ok::<(), Error>(())
    /// ```
    pub fn open(
        path: impl AsRef<Path>,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Result<Self, Error> {
        let folder = path.as_ref();
        let io = |source| Error::Io {
            path: folder.to_owned(),
            source,
        };
        fs::create_dir_all(folder).map_err(io)?;
        let file = folder.join(FILE_NAME);
        let database = builder()
            .create(&file)
            .map_err(|error| open_error(&file, error))?;
        File::open(folder)
            .and_then(|dir| dir.sync_all())
            .map_err(io)?;
        Self::with_database(database, file, host, incarnation)
    }

    /// The same on a storage backend of one's own.
    pub fn open_backend(
        backend: impl StorageBackend,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Result<Self, Error> {
        let file = PathBuf::from(FILE_NAME);
        let database = builder()
            .create_with_backend(backend)
            .map_err(|error| open_error(&file, error))?;
        Self::with_database(database, file, host, incarnation)
    }

    fn with_database(
        database: Database,
        path: PathBuf,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Result<Self, Error> {
        let identity = Identity {
            host: host.clone(),
            incarnation,
        };
        let mut folder = Self {
            path,
            database,
            identity,
            failed: AtomicBool::new(false),
        };
        match folder.stored_identity()? {
            Some(identity) if identity.host != *host => {
                return Err(Error::OtherHost {
                    path: folder.path,
                    expected: host.clone(),
                    found: identity.host,
                });
            }
            Some(identity) => folder.identity = identity,
            None => folder.commit(|transaction| folder.write_identity(transaction))?,
        }
        folder.load()?;
        Ok(folder)
    }

    fn stored_identity(&self) -> Result<Option<Identity>, Error> {
        match self.read_meta::<u64>(FORMAT_KEY)? {
            None => return Ok(None),
            Some(FORMAT) => {}
            Some(found) => {
                return Err(Error::Format {
                    path: self.path.clone(),
                    found,
                });
            }
        }
        let identity = self.read_meta(IDENTITY_KEY)?;
        let missing = || self.corrupt(IDENTITY_KEY, "missing");
        identity.ok_or_else(missing).map(Some)
    }

    fn write_identity(&self, transaction: &WriteTransaction) -> Result<(), Error> {
        self.put_meta(transaction, FORMAT_KEY, &FORMAT)?;
        self.put_meta(transaction, IDENTITY_KEY, &self.identity)?;
        transaction.open_table(LOG).map_err(|e| self.failure(e))?;
        Ok(())
    }

    /// One transaction: written, synced, and only then reported as done.
    ///
    /// In two phases: with one, a last commit that was damaged on the disk can't be told from one
    /// that a crash has torn, and opening would silently go back to the one before.
    fn commit(
        &self,
        fill: impl FnOnce(&WriteTransaction) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let mut transaction = self.database.begin_write().map_err(|e| self.failure(e))?;
        transaction.set_two_phase_commit(true);
        fill(&transaction)?;
        transaction.commit().map_err(|e| self.failure(e))
    }

    fn apply(&self, transaction: &WriteTransaction, batch: &Batch) -> Result<(), Error> {
        if let Some(hard_state) = &batch.hard_state {
            self.put_meta(transaction, HARD_STATE_KEY, hard_state)?;
        }
        let mut log = transaction.open_table(LOG).map_err(|e| self.failure(e))?;
        if let Some(from) = batch.truncate_from {
            let gone = |_: u64, _: &[u8]| false;
            log.retain_in(from.0.., gone).map_err(|e| self.failure(e))?;
        }
        if let Some(snapshot) = &batch.snapshot {
            let gone = |_: u64, _: &[u8]| false;
            log.retain_in(..=snapshot.index.0, gone)
                .map_err(|e| self.failure(e))?;
            self.put_meta(transaction, SNAPSHOT_KEY, snapshot)?;
        }
        for entry in &batch.entries {
            let bytes = self.encode(entry)?;
            log.insert(entry.index.0, bytes.as_slice())
                .map_err(|e| self.failure(e))?;
        }
        Ok(())
    }

    fn put_meta(
        &self,
        transaction: &WriteTransaction,
        key: &str,
        value: &impl Serialize,
    ) -> Result<(), Error> {
        let bytes = self.encode(value)?;
        let mut meta = transaction.open_table(META).map_err(|e| self.failure(e))?;
        meta.insert(key, bytes.as_slice())
            .map_err(|e| self.failure(e))?;
        Ok(())
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Error> {
        let transaction = self.database.begin_read().map_err(|e| self.failure(e))?;
        let meta = match transaction.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(self.failure(error)),
        };
        let Some(bytes) = meta.get(key).map_err(|e| self.failure(e))? else {
            return Ok(None);
        };
        self.decode(key, bytes.value()).map(Some)
    }

    fn read_log(&self) -> Result<Vec<Entry>, Error> {
        let transaction = self.database.begin_read().map_err(|e| self.failure(e))?;
        let log = transaction.open_table(LOG).map_err(|e| self.failure(e))?;
        let mut entries = Vec::new();
        for row in log.iter().map_err(|e| self.failure(e))? {
            let (key, bytes) = row.map_err(|e| self.failure(e))?;
            let place = format!("log entry {}", key.value());
            let entry: Entry = self.decode(&place, bytes.value())?;
            if entry.index != LogIndex(key.value()) {
                return Err(self.corrupt(&place, "holds another entry"));
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Whether the parts fit together.
    fn check(&self, stored: &StoredState) -> Result<(), Error> {
        let snapshot = stored.snapshot.as_ref();
        let mut index = snapshot.map_or(LogIndex(0), |snapshot| snapshot.index);
        let mut term = snapshot.map_or_else(Default::default, |snapshot| snapshot.term);
        for entry in &stored.entries {
            let place = format!("log entry {}", entry.index);
            if entry.index != index.next() {
                return Err(self.corrupt(&place, &format!("follows entry {index}")));
            }
            if entry.term < term {
                return Err(self.corrupt(&place, "its term is lower than the one before"));
            }
            (index, term) = (entry.index, entry.term);
        }
        if stored.hard_state.term < term {
            return Err(self.corrupt(HARD_STATE_KEY, "its term is lower than the log's"));
        }
        Ok(())
    }

    fn encode(&self, value: &impl Serialize) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(value).map_err(|error| Error::Io {
            path: self.path.clone(),
            source: io::Error::other(error),
        })
    }

    fn decode<T: DeserializeOwned>(&self, place: &str, bytes: &[u8]) -> Result<T, Error> {
        postcard::from_bytes(bytes).map_err(|error| self.corrupt(place, &error.to_string()))
    }

    fn corrupt(&self, place: &str, reason: &str) -> Error {
        Error::Corrupt {
            path: self.path.clone(),
            place: place.to_owned(),
            reason: reason.to_owned(),
        }
    }

    fn failure(&self, error: impl Into<redb::Error>) -> Error {
        storage_error(&self.path, error.into())
    }
}

impl Store for Folder {
    fn identity(&self) -> &Identity {
        &self.identity
    }

    fn load(&self) -> Result<StoredState, Error> {
        let stored = StoredState {
            hard_state: self
                .read_meta::<HardState>(HARD_STATE_KEY)?
                .unwrap_or_default(),
            snapshot: self.read_meta::<Snapshot>(SNAPSHOT_KEY)?,
            entries: self.read_log()?,
        };
        self.check(&stored)?;
        Ok(stored)
    }

    fn write(&self, batches: &[Batch]) -> Result<(), Error> {
        if self.failed.load(Ordering::Acquire) {
            return Err(Error::Closed {
                path: self.path.clone(),
            });
        }
        let fill = |transaction: &WriteTransaction| {
            let mut batches = batches.iter();
            batches.try_for_each(|batch| self.apply(transaction, batch))
        };
        let result = self.commit(fill);
        if result.is_err() {
            self.failed.store(true, Ordering::Release);
        }
        result
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    builder
}

fn open_error(path: &Path, error: DatabaseError) -> Error {
    match error {
        DatabaseError::DatabaseAlreadyOpen => Error::Locked {
            path: path.to_owned(),
        },
        DatabaseError::RepairAborted => storage_error(
            path,
            StorageError::Corrupted("the repair was aborted".to_owned()).into(),
        ),
        error => storage_error(path, error.into()),
    }
}

fn storage_error(path: &Path, error: redb::Error) -> Error {
    let path = path.to_owned();
    match error {
        redb::Error::Io(source) if source.kind() == io::ErrorKind::StorageFull => {
            Error::Full { path }
        }
        redb::Error::Io(source) if source.kind() == io::ErrorKind::InvalidData => Error::Corrupt {
            path,
            place: "file".to_owned(),
            reason: source.to_string(),
        },
        redb::Error::Io(source) => Error::Io { path, source },
        redb::Error::PreviousIo => Error::Closed { path },
        redb::Error::Corrupted(reason) => Error::Corrupt {
            path,
            place: "file".to_owned(),
            reason,
        },
        error => Error::Io {
            path,
            source: io::Error::other(error),
        },
    }
}
