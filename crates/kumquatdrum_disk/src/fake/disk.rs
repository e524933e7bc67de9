//! A disk in memory.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use redb::StorageBackend;

use super::budget::Budget;

/// The size of the unit in which a crash keeps or loses unsynced writes.
const SECTOR_BYTES: usize = 512;

/// A disk in memory. Clones share their contents, so a test can reopen a store on the same disk.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    state: Arc<Mutex<State>>,
    budget: Budget,
}

#[derive(Debug, Default)]
struct State {
    synced: Vec<u8>,
    current: Vec<u8>,
    syncs: u64,
    /// The number of syncs that still succeed; `None` if syncs never fail.
    working_syncs: Option<u64>,
    capacity_bytes: Option<u64>,
}

impl Disk {
    /// Creates an empty disk.
    ///
    /// ```
    /// use kumquatdrum_consensus::Incarnation;
    /// use kumquatdrum_disk::{Folder, Store, fake::Disk};
    ///
    /// let disk = Disk::new();
    /// let folder = Folder::open_backend(disk.clone(), &"ikeja-1".into(), Incarnation(7))?;
    /// drop(folder);
    /// disk.crash(|_| false);
    /// let folder = Folder::open_backend(disk, &"ikeja-1".into(), Incarnation(8))?;
    /// assert_eq!(folder.identity().incarnation, Incarnation(7));
    /// # Ok::<(), kumquatdrum_disk::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty disk with a budget that it shares.
    pub(super) fn with_budget(budget: Budget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Creates a disk with the given contents, all synced.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let disk = Self::default();
        disk.state.lock().synced = bytes.to_vec();
        disk.state.lock().current = bytes.to_vec();
        disk
    }

    /// Returns the contents.
    pub fn bytes(&self) -> Vec<u8> {
        self.state.lock().current.clone()
    }

    /// Discards unsynced writes, except in sectors for which `keep` returns true. Later syncs no
    /// longer fail.
    pub fn crash(&self, keep: impl FnMut(usize) -> bool) {
        self.lose_power(SECTOR_BYTES, true, keep);
    }

    /// Discards unsynced writes, except in units of `unit_bytes` for which `keep` returns true, and an
    /// unsynced length unless `keeps_length` is set. Later changes no longer fail.
    pub fn lose_power(
        &self,
        unit_bytes: usize,
        keeps_length: bool,
        mut keep: impl FnMut(usize) -> bool,
    ) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let synced_length = state.synced.len();
        let length = synced_length.max(state.current.len());
        state.synced.resize(length, 0);
        state.current.resize(length, 0);
        let mut kept_length = synced_length;
        let units = state
            .synced
            .chunks_mut(unit_bytes)
            .zip(state.current.chunks(unit_bytes));
        for (number, (synced, current)) in units.enumerate() {
            if synced != current && keep(number) {
                synced.copy_from_slice(current);
                kept_length = kept_length.max(number * unit_bytes + current.len());
            }
        }
        if !keeps_length {
            state.synced.truncate(kept_length);
        }
        state.current.clone_from(&state.synced);
        state.working_syncs = None;
        self.budget.lift();
    }

    /// Returns an independent disk with the same contents.
    #[must_use]
    pub fn copy(&self) -> Self {
        let state = self.state.lock();
        let copy = State {
            synced: state.synced.clone(),
            current: state.current.clone(),
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(copy)),
            budget: Budget::default(),
        }
    }

    /// Makes all changes after the next `count` fail: writes, changes of the length, syncs.
    pub fn fail_after_changes(&self, count: u64) {
        self.budget.limit(count);
    }

    /// Makes all syncs after the next `count` fail.
    pub fn fail_after_syncs(&self, count: u64) {
        self.state.lock().working_syncs = Some(count);
    }

    /// Sets the capacity. Writes beyond it fail as on a full disk.
    pub fn set_capacity(&self, bytes: u64) {
        self.state.lock().capacity_bytes = Some(bytes);
    }

    /// Returns the number of successful syncs.
    pub fn sync_count(&self) -> u64 {
        self.state.lock().syncs
    }

    /// Returns the size of the contents in bytes.
    pub fn size(&self) -> usize {
        self.state.lock().current.len()
    }

    /// Flips the bits of `mask` in the byte at `position`. Also syncs the contents.
    pub fn damage(&self, position: usize, mask: u8) {
        let state = &mut *self.state.lock();
        if let Some(byte) = state.current.get_mut(position) {
            *byte ^= mask;
        }
        state.synced.clone_from(&state.current);
    }
}

impl State {
    fn check_capacity(&self, length: u64) -> io::Result<()> {
        match self.capacity_bytes {
            Some(capacity) if length > capacity => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }
}

fn byte_range(offset: u64, length: usize) -> io::Result<std::ops::Range<usize>> {
    let start = usize::try_from(offset).map_err(io::Error::other)?;
    Ok(start..start + length)
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state.lock().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state.lock();
        let bytes = state.current.get(byte_range(offset, out.len())?);
        let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.budget.spend()?;
        let mut state = self.state.lock();
        state.check_capacity(len)?;
        let length = usize::try_from(len).map_err(io::Error::other)?;
        state.current.resize(length, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.budget.spend()?;
        let state = &mut *self.state.lock();
        match &mut state.working_syncs {
            Some(0) => return Err(io::Error::other("the disk failed")),
            Some(count) => *count -= 1,
            None => {}
        }
        state.syncs += 1;
        state.synced.clone_from(&state.current);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.budget.spend()?;
        let mut state = self.state.lock();
        let range = byte_range(offset, data.len())?;
        state.check_capacity(range.end as u64)?;
        let length = state.current.len().max(range.end);
        state.current.resize(length, 0);
        state.current[range].copy_from_slice(data);
        Ok(())
    }
}
