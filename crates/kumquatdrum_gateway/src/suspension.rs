//! Detection of suspensions of this host, after which it may have missed evacuations.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use kumquatdrum_process::clock::boot_ms;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The interval at which the host checks that it runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two ticks that counts as a suspension.
const MIN_SUSPENSION_MS: u64 = 1_000;
/// The time for which a resumed host waits for news from a control host.
const NEWS_WAIT_MS: u64 = 500;

/// Tells whether this host was suspended, and whether it has had news since. Times are in
/// milliseconds of a clock that counts suspensions.
#[derive(Debug)]
pub struct Suspension {
    last_tick_ms: AtomicU64,
    resumed_ms: AtomicU64,
    awaits_news: AtomicBool,
    /// Notified when news has arrived.
    informed: Notify,
    /// Notified when the host was suspended.
    resumed: Notify,
}

impl Default for Suspension {
    fn default() -> Self {
        Self {
            last_tick_ms: AtomicU64::new(boot_ms()),
            resumed_ms: AtomicU64::new(0),
            awaits_news: AtomicBool::new(false),
            informed: Notify::new(),
            resumed: Notify::new(),
        }
    }
}

impl Suspension {
    /// Records that the host runs, and returns the time.
    pub fn tick(&self) -> u64 {
        let now = boot_ms();
        let before = self.last_tick_ms.swap(now, Ordering::AcqRel);
        if now.saturating_sub(before) > MIN_SUSPENSION_MS {
            self.resumed_ms.store(now, Ordering::Release);
            self.awaits_news.store(true, Ordering::Release);
            self.resumed.notify_one();
        }
        now
    }

    /// Records news in response to a request that was sent at a time.
    pub fn record_news(&self, sent_ms: u64) {
        if sent_ms >= self.resumed_ms.load(Ordering::Acquire) {
            self.awaits_news.store(false, Ordering::Release);
            self.informed.notify_waiters();
        }
    }

    /// Returns whether the host resumed less than a second ago.
    pub fn has_resumed_lately(&self) -> bool {
        let now = self.tick();
        let resumed_ms = self.resumed_ms.load(Ordering::Acquire);
        resumed_ms > 0 && now.saturating_sub(resumed_ms) < MIN_SUSPENSION_MS
    }

    /// Returns whether the host waits for news after a suspension. Hosts that were suspended together
    /// have no news for each other, so this ends after half a second at the latest.
    pub fn awaits_news(&self) -> bool {
        let now = self.tick();
        let end = self.resumed_ms.load(Ordering::Acquire) + NEWS_WAIT_MS;
        self.awaits_news.load(Ordering::Acquire) && now < end
    }

    /// Waits until the host was suspended.
    pub async fn wait_for_resumption(&self) {
        self.resumed.notified().await;
    }

    /// Waits on a resumed host for news, but not longer than half a second after the resumption.
    pub async fn wait_for_news(&self) {
        loop {
            let now = self.tick();
            if !self.awaits_news.load(Ordering::Acquire) {
                return;
            }
            let informed = self.informed.notified();
            if !self.awaits_news.load(Ordering::Acquire) {
                return;
            }
            let end = self.resumed_ms.load(Ordering::Acquire) + NEWS_WAIT_MS;
            let left = end.saturating_sub(now);
            if left == 0 {
                self.awaits_news.store(false, Ordering::Release);
                self.informed.notify_waiters();
                return;
            }
            let _ = timeout(Duration::from_millis(left), informed).await;
        }
    }
}
