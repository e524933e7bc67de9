//! Memory limits for the request bodies that a daemon holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;
use kumquatdrum_types::WorkspaceName;
use std::sync::Mutex;

/// The memory budget for bodies, with the bytes used in total and by workspace.
#[derive(Debug)]
pub struct Budget {
    limit: u64,
    used: AtomicU64,
    workspaces: Mutex<IndexMap<WorkspaceName, u64>>,
}

/// Bytes allocated to one body; dropping it releases them.
#[derive(Debug)]
pub struct Allocation {
    budget: Arc<Budget>,
    workspace: WorkspaceName,
    bytes: u64,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicU64::new(0),
            workspaces: Mutex::new(IndexMap::new()),
        })
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty allocation for a body of a workspace; it grows as the body arrives.
    ///
    /// ```
    /// use kumquatdrum_daemon::body::Budget;
    /// use kumquatdrum_types::WorkspaceName;
    ///
    /// let budget = Budget::new(10);
    /// let mut allocation = budget.allocate(&WorkspaceName::new("w"));
    /// assert!(allocation.grow(8, None));
    /// assert!(!allocation.grow(3, None), "beyond the budget");
    /// drop(allocation);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn allocate(self: &Arc<Self>, workspace: &WorkspaceName) -> Allocation {
        Allocation {
            budget: Arc::clone(self),
            workspace: workspace.clone(),
            bytes: 0,
        }
    }

    fn acquire(&self, bytes: u64) -> bool {
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            })
            .is_ok()
    }

    fn release(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Allocation {
    /// Allocates `bytes` more within the daemon's budget and the workspace's `limit`, if any.
    /// Returns `false` and changes nothing if either is exceeded.
    pub fn grow(&mut self, bytes: u64, limit: Option<u64>) -> bool {
        if !self.budget.acquire(bytes) {
            return false;
        }
        let mut workspaces = self.budget.workspaces.lock().expect("no holder panics");
        let used = workspaces.entry(self.workspace.clone()).or_default();
        if limit.is_some_and(|limit| *used + bytes > limit) {
            drop(workspaces);
            self.budget.release(bytes);
            return false;
        }
        *used += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
        let mut workspaces = self.budget.workspaces.lock().expect("no holder panics");
        let remaining = workspaces.get_mut(&self.workspace).map(|used| {
            *used -= self.bytes;
            *used
        });
        if remaining == Some(0) {
            workspaces.swap_remove(&self.workspace);
        }
    }
}
