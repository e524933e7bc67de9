//! Graceful shutdown: the health check fails first, then work in flight finishes, then listeners
//! close.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use tokio::sync::Notify;

/// The readiness and shutdown state of the process.
///
/// ```
/// let drain = kumquatdrum_process::Drain::default();
/// assert!(!drain.is_ready(), "not ready before the first declaration");
/// drain.set_ready(true);
/// assert!(drain.is_ready());
/// drain.begin();
/// assert!(!drain.is_ready());
/// ```
#[derive(Debug, Default)]
pub struct Drain {
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    work_count: AtomicI64,
    /// Notified when the shutdown begins and when the last work ends.
    changed: Notify,
}

/// A guard for a piece of work in flight. A shutdown waits until it is dropped.
#[derive(Debug)]
pub struct Work(Arc<Drain>);

impl Drain {
    /// Returns whether the load balancer should route callers to this host.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Returns whether the shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Sets whether the host can serve callers.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Begins the shutdown: the health check fails, while requests are still served.
    pub fn begin(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Counts a piece of work as in flight until the returned guard is dropped.
    pub fn begin_work(self: &Arc<Self>) -> Work {
        self.work_count.fetch_add(1, Ordering::Relaxed);
        Work(Arc::clone(self))
    }

    /// Returns the number of pieces of work in flight.
    pub fn in_flight(&self) -> i64 {
        self.work_count.load(Ordering::Relaxed)
    }

    /// Waits until no work is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let before = self.0.work_count.fetch_sub(1, Ordering::Relaxed);
        if before == 1 {
            self.0.changed.notify_waiters();
        }
    }
}
