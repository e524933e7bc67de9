//! The data folder, stored in a redb database.

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

use crate::file_system::{self, FileSystem, System};
use crate::{Error, Identity, Store, creation};

/// The database file in the data folder.
pub const FILE_NAME: &str = "replica.redb";

/// The version of the storage format.
const FORMAT: u64 = 1;
/// The size of the database cache. It is small since the node keeps the whole state in memory.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const INITIAL_HOSTS_KEY: &str = "initial hosts";
const HARD_STATE_KEY: &str = "hard state";
const SNAPSHOT_KEY: &str = "snapshot";

/// The state in which a data folder was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It held a replica.
    Existing,
    /// It was empty.
    New,
    /// Its creation had been interrupted, and was begun anew.
    Unfinished,
}

impl Origin {
    /// Returns the name of the state in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Existing => "existing",
            Self::New => "new",
            Self::Unfinished => "unfinished",
        }
    }
}

/// An open data folder, locked against other processes until it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    database: Database,
    identity: Identity,
    origin: Origin,
    has_failed: AtomicBool,
}

impl Folder {
    /// Opens or creates the data folder at `path` and verifies its contents.
    ///
    /// `incarnation` must be random; it is used only when the folder is created.
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
        Self::open_in(&System, path, host, incarnation)
    }

    /// Opens or creates the data folder at `path` of a file system.
    ///
    /// When this returns, a loss of power takes neither the folder nor the identity in it.
    pub fn open_in(
        files: &impl FileSystem,
        path: impl AsRef<Path>,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Result<Self, Error> {
        let folder = path.as_ref();
        let io = |source| Error::Io {
            path: folder.to_owned(),
            source,
        };
        file_system::create_directories(files, folder).map_err(io)?;
        let file = folder.join(FILE_NAME);
        let (database, is_restarted) = open_database(&file, || files.open_file(&file))?;
        files.sync_directory(folder).map_err(io)?;
        Self::with_database(database, is_restarted, file, host, incarnation)
    }

    /// Opens or creates a data folder on the given storage backend.
    pub fn open_backend(
        backend: impl StorageBackend + Clone,
        host: &HostId,
        incarnation: Incarnation,
    ) -> Result<Self, Error> {
        let file = PathBuf::from(FILE_NAME);
        let (database, is_restarted) = open_database(&file, || Ok(backend.clone()))?;
        Self::with_database(database, is_restarted, file, host, incarnation)
    }

    fn with_database(
        database: Database,
        is_restarted: bool,
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
            origin: Origin::Existing,
            has_failed: AtomicBool::new(false),
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
            None => {
                folder.origin = if is_restarted {
                    Origin::Unfinished
                } else {
                    Origin::New
                };
                folder.commit(|transaction| folder.write_identity(transaction))?;
            }
        }
        folder.load()?;
        Ok(folder)
    }

    /// Returns the state in which the folder was found.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the hosts with which this one may form a cluster, if they were stored.
    pub fn initial_hosts(&self) -> Result<Option<Vec<HostId>>, Error> {
        self.read_meta(INITIAL_HOSTS_KEY)
    }

    /// Stores the hosts with which this one may form a cluster, and syncs them to disk.
    ///
    /// ```
    /// use kumquatdrum_consensus::Incarnation;
    /// use kumquatdrum_disk::{Folder, fake::Disk};
    ///
    /// let disk = Disk::new();
    /// let folder = Folder::open_backend(disk.clone(), &"ikeja-1".into(), Incarnation(7))?;
    /// folder.store_initial_hosts(&["ikeja-1".into(), "lekki-1".into()])?;
    /// assert_eq!(folder.initial_hosts()?.map(|hosts| hosts.len()), Some(2));
    /// # Ok::<(), kumquatdrum_disk::Error>(())
    /// ```
    pub fn store_initial_hosts(&self, hosts: &[HostId]) -> Result<(), Error> {
        self.commit(|transaction| self.put_meta(transaction, INITIAL_HOSTS_KEY, &hosts))
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
        let missing = || self.corrupt_error(IDENTITY_KEY, "missing");
        identity.ok_or_else(missing).map(Some)
    }

    fn write_identity(&self, transaction: &WriteTransaction) -> Result<(), Error> {
        self.put_meta(transaction, FORMAT_KEY, &FORMAT)?;
        self.put_meta(transaction, IDENTITY_KEY, &self.identity)?;
        transaction
            .open_table(LOG)
            .map_err(|e| self.database_error(e))?;
        Ok(())
    }

    /// Writes the changes made by `fill` in one transaction and syncs it to disk.
    ///
    /// Commits in two phases: with one phase, a corrupt last commit looks like one that a crash
    /// interrupted, and opening would silently roll back to the commit before it.
    fn commit(
        &self,
        fill: impl FnOnce(&WriteTransaction) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let mut transaction = self
            .database
            .begin_write()
            .map_err(|e| self.database_error(e))?;
        transaction.set_two_phase_commit(true);
        fill(&transaction)?;
        transaction.commit().map_err(|e| self.database_error(e))
    }

    fn apply(&self, transaction: &WriteTransaction, batch: &Batch) -> Result<(), Error> {
        if let Some(hard_state) = &batch.hard_state {
            self.put_meta(transaction, HARD_STATE_KEY, hard_state)?;
        }
        let mut log = transaction
            .open_table(LOG)
            .map_err(|e| self.database_error(e))?;
        if let Some(from) = batch.truncate_from {
            let retain_none = |_: u64, _: &[u8]| false;
            log.retain_in(from.0.., retain_none)
                .map_err(|e| self.database_error(e))?;
        }
        if let Some(snapshot) = &batch.snapshot {
            let retain_none = |_: u64, _: &[u8]| false;
            log.retain_in(..=snapshot.index.0, retain_none)
                .map_err(|e| self.database_error(e))?;
            self.put_meta(transaction, SNAPSHOT_KEY, snapshot)?;
        }
        for entry in &batch.entries {
            let bytes = self.encode(entry)?;
            log.insert(entry.index.0, bytes.as_slice())
                .map_err(|e| self.database_error(e))?;
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
        let mut meta = transaction
            .open_table(META)
            .map_err(|e| self.database_error(e))?;
        meta.insert(key, bytes.as_slice())
            .map_err(|e| self.database_error(e))?;
        Ok(())
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Error> {
        let transaction = self
            .database
            .begin_read()
            .map_err(|e| self.database_error(e))?;
        let meta = match transaction.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(self.database_error(error)),
        };
        let Some(bytes) = meta.get(key).map_err(|e| self.database_error(e))? else {
            return Ok(None);
        };
        self.decode(key, bytes.value()).map(Some)
    }

    fn read_log(&self) -> Result<Vec<Entry>, Error> {
        let transaction = self
            .database
            .begin_read()
            .map_err(|e| self.database_error(e))?;
        let log = transaction
            .open_table(LOG)
            .map_err(|e| self.database_error(e))?;
        let mut entries = Vec::new();
        for row in log.iter().map_err(|e| self.database_error(e))? {
            let (key, bytes) = row.map_err(|e| self.database_error(e))?;
            let place = format!("log entry {}", key.value());
            let entry: Entry = self.decode(&place, bytes.value())?;
            if entry.index != LogIndex(key.value()) {
                return Err(self.corrupt_error(&place, "the stored entry has a different index"));
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Checks that log, snapshot and hard state are consistent with each other.
    fn check(&self, stored: &StoredState) -> Result<(), Error> {
        let snapshot = stored.snapshot.as_ref();
        let mut index = snapshot.map_or(LogIndex(0), |snapshot| snapshot.index);
        let mut term = snapshot.map_or_else(Default::default, |snapshot| snapshot.term);
        for entry in &stored.entries {
            let place = format!("log entry {}", entry.index);
            if entry.index != index.next() {
                return Err(self.corrupt_error(&place, &format!("follows entry {index}")));
            }
            if entry.term < term {
                return Err(
                    self.corrupt_error(&place, "its term is lower than that of the entry before")
                );
            }
            (index, term) = (entry.index, entry.term);
        }
        if stored.hard_state.term < term {
            return Err(self.corrupt_error(
                HARD_STATE_KEY,
                "its term is lower than that of the last log entry",
            ));
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
        postcard::from_bytes(bytes).map_err(|error| self.corrupt_error(place, &error.to_string()))
    }

    fn corrupt_error(&self, place: &str, reason: &str) -> Error {
        Error::Corrupt {
            path: self.path.clone(),
            place: place.to_owned(),
            reason: reason.to_owned(),
        }
    }

    fn database_error(&self, error: impl Into<redb::Error>) -> Error {
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
        if self.has_failed.load(Ordering::Acquire) {
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
            self.has_failed.store(true, Ordering::Release);
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

/// Opens or creates a database, and returns whether an unfinished one was in its place.
fn open_database<F: StorageBackend>(
    path: &Path,
    open_file: impl Fn() -> io::Result<F>,
) -> Result<(Database, bool), Error> {
    let open_file = || match open_file() {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(Error::Locked {
            path: path.to_owned(),
        }),
        result => result.map_err(|error| storage_error(path, redb::Error::Io(error))),
    };
    let error = match builder().create_with_backend(open_file()?) {
        Ok(database) => return Ok((database, false)),
        Err(error) => open_error(path, error),
    };
    if !matches!(error, Error::Corrupt { .. }) {
        return Err(error);
    }
    // Locks the file again, as the failed attempt has released it.
    let file = open_file()?;
    if !creation::is_unfinished(&builder(), &file).map_err(|error| open_error(path, error))? {
        return Err(error);
    }
    file.set_len(0)
        .map_err(|error| storage_error(path, redb::Error::Io(error)))?;
    let database = builder()
        .create_with_backend(file)
        .map_err(|error| open_error(path, error))?;
    Ok((database, true))
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
