//! Sends cancels to engines until they confirm them.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_daemon::cancellation::{Cancel, Queue};
use kumquatdrum_engine::Engine;
use kumquatdrum_process::Metrics;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, BootId, EndpointId};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use kumquatdrum_process::clock::Clock;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The attempts that this daemon cancels at engines.
pub struct Canceller {
    clock: Clock,
    queue: Mutex<Queue>,
    wake: Notify,
    engine: Arc<dyn Engine>,
    metrics: Arc<Metrics>,
}

impl Canceller {
    /// Creates a canceller with an empty queue.
    pub fn new(clock: Clock, engine: Arc<dyn Engine>, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            queue: Mutex::default(),
            wake: Notify::new(),
            engine,
            metrics,
        }
    }

    /// Enqueues an attempt to be cancelled until the engine confirms it.
    pub fn enqueue(&self, target: Target, attempt: AttemptId) {
        self.queue.lock().insert(self.clock.now(), target, attempt);
        self.wake.notify_one();
    }

    /// Removes the cancels for an engine's incarnation that has ended and for earlier ones.
    pub fn remove_engine(&self, endpoint: &EndpointId, boot: BootId) {
        self.queue.lock().remove_engine(endpoint, boot);
    }

    /// Returns whether all cancels are confirmed.
    pub fn is_idle(&self) -> bool {
        self.queue.lock().is_empty()
    }

    /// Sends cancels until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut cancels = JoinSet::new();
        loop {
            for cancel in self.take_due() {
                let canceller = Arc::clone(&self);
                cancels.spawn(async move { canceller.cancel(cancel).await });
            }
            while cancels.try_join_next().is_some() {}
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = self.wake.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
        }
        cancels.shutdown().await;
    }

    fn take_due(&self) -> Vec<Cancel> {
        let mut queue = self.queue.lock();
        self.metrics.cancels_pending.set(queue.len() as i64);
        queue.take_due(self.clock.now())
    }

    async fn cancel(&self, cancel: Cancel) {
        if let Ok(status) = self.engine.cancel(&cancel.target, &cancel.attempt).await {
            // Every status confirms the cancel: a restarted engine doesn't hold the attempt either.
            let _ = status;
            self.queue.lock().confirm(&cancel.attempt);
        }
    }
}
