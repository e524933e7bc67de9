//! Repeats cancels until engines confirm them.

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

const ROUND: Duration = Duration::from_millis(100);

/// Holds what this daemon wants ended at engines.
pub struct Canceller {
    clock: Clock,
    held: Mutex<Queue>,
    woken: Notify,
    engine: Arc<dyn Engine>,
    metrics: Arc<Metrics>,
}

impl Canceller {
    /// A canceller with nothing to do.
    pub fn new(clock: Clock, engine: Arc<dyn Engine>, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            held: Mutex::default(),
            woken: Notify::new(),
            engine,
            metrics,
        }
    }

    /// Cancels an attempt until the engine confirms it.
    pub fn abandon(&self, target: Target, attempt: AttemptId) {
        self.held.lock().insert(self.clock.now(), target, attempt);
        self.woken.notify_one();
    }

    /// A life of an engine is over.
    pub fn engine_gone(&self, endpoint: &EndpointId, boot: BootId) {
        self.held.lock().remove_engine(endpoint, boot);
    }

    /// Whether nothing awaits a confirmation.
    pub fn is_idle(&self) -> bool {
        self.held.lock().is_empty()
    }

    /// Sends cancels until `stopped` resolves.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut cancels = JoinSet::new();
        loop {
            for cancel in self.due() {
                let canceller = Arc::clone(&self);
                cancels.spawn(async move { canceller.cancel(cancel).await });
            }
            while cancels.try_join_next().is_some() {}
            tokio::select! {
                () = tokio::time::sleep(ROUND) => {}
                () = self.woken.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
        }
        cancels.shutdown().await;
    }

    fn due(&self) -> Vec<Cancel> {
        let mut held = self.held.lock();
        self.metrics.cancels_pending.set(held.len() as i64);
        held.take_due(self.clock.now())
    }

    async fn cancel(&self, cancel: Cancel) {
        if let Ok(standing) = self.engine.cancel(&cancel.target, &cancel.attempt).await {
            // Another life of the engine holds nothing of it either.
            let _ = standing;
            self.held.lock().confirm(&cancel.attempt);
        }
    }
}
