//! A budget for the bodies of callers' requests that a host holds at the same time.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The size up to which a body is not counted.
pub const UNCOUNTED_BYTES: usize = 64 << 10;

/// The memory for bodies, which requests reserve in the order of their arrival.
#[derive(Debug, Clone)]
pub struct Budget {
    free: Arc<Semaphore>,
    total: u32,
}

/// Reserved memory, which is returned on drop.
#[derive(Debug, Default)]
pub struct Reservation {
    permit: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// Creates a budget of the given number of bytes.
    pub fn new(total: u32) -> Self {
        Self {
            free: Arc::new(Semaphore::new(total as usize)),
            total,
        }
    }

    /// Waits until the memory for a body is free, and reserves it. A body larger than the budget reserves
    /// all of it.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// use kumquatdrum_gateway::body_memory::Budget;
    ///
    /// let budget = Budget::new(1 << 20);
    /// let reservation = budget.reserve(600_000).await;
    /// assert_eq!(budget.reserved(), 600_000);
    /// drop(reservation);
    /// assert_eq!(budget.reserved(), 0);
    /// # });
    /// ```
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(self.total);
        // The semaphore is never closed.
        let permit = self.free.clone().acquire_many_owned(bytes).await.ok();
        Reservation { permit }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        (self.total as usize).saturating_sub(self.free.available_permits())
    }
}

impl Reservation {
    /// Returns what exceeds the size of a body that has arrived.
    pub fn shrink_to(&mut self, bytes: usize) {
        if let Some(permit) = &mut self.permit {
            let surplus = permit.num_permits().saturating_sub(bytes);
            drop(permit.split(surplus));
        }
    }
}
