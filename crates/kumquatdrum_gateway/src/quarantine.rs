//! The quarantine of this host: requests that crash endpoints are refused.
//!
//! New evidence is broadcast at once, best effort. Hellos carry the evidence that a control host
//! has not seen yet, and its responses that of all other hosts, so that lost broadcasts, restarts
//! and partitions leave no host without it.

use std::sync::Arc;

use kumquatdrum_disk::Blob;
use kumquatdrum_fanout::Urgency;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_quarantine::{Block, Evidence, Exchange, Fingerprint, Incarnation, Suspect};
use kumquatdrum_types::{Checkpoint, HostId};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::broadcast::{Broadcaster, RelayPath};
use crate::cache;
use crate::message::Event;

/// The name of the file with the evidence in a control host's data folder.
pub(crate) const FILE_NAME: &str = "suspects";

/// Holds the evidence known to this host.
pub struct Store {
    clock: Clock,
    broadcaster: Option<Arc<Broadcaster>>,
    state: Mutex<Exchange>,
    changed: watch::Sender<()>,
    logger: slog::Logger,
}

impl Store {
    /// Creates the empty store of a process started at `boot`, in Unix milliseconds.
    pub fn new(
        clock: Clock,
        boot: u64,
        broadcaster: Option<Arc<Broadcaster>>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            clock,
            broadcaster,
            state: Mutex::new(Exchange::new(boot)),
            changed: watch::Sender::new(()),
            logger,
        }
    }

    /// Returns the block on a request, or `None` if it may be sent. The fingerprint is computed only
    /// if there are suspects.
    pub fn block(&self, request: impl FnOnce() -> Fingerprint) -> Option<Block> {
        if self.state.lock().quarantine().is_empty() {
            return None;
        }
        let request = request();
        self.state
            .lock()
            .quarantine()
            .block(self.clock.now(), request)
    }

    /// Waits until a request is blocked.
    pub async fn wait_for_block(&self, request: impl Fn() -> Fingerprint) -> Block {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(block) = self.block(&request) {
                return block;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that an endpoint crashed while a request was in flight there, and broadcasts it.
    pub fn record_crash(&self, request: Fingerprint, endpoint: Incarnation, had_begun: bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let suspect = state
            .quarantine_mut()
            .record_crash(now, request, endpoint, had_begun);
        drop(state);
        if let Some(suspect) = suspect {
            self.publish(suspect);
        }
    }

    /// Records that a request has run to completion, and broadcasts it if the request is a suspect.
    pub fn record_completion(&self, request: impl FnOnce() -> Fingerprint) {
        if self.state.lock().quarantine().is_empty() {
            return;
        }
        let request = request();
        let now = self.clock.now();
        let cleared = self
            .state
            .lock()
            .quarantine_mut()
            .record_completion(now, request);
        if let Some(suspect) = cleared {
            info!(self.logger, "request_cleared"; "event" => "request_cleared",
                "fingerprint" => %request);
            self.publish(suspect);
        }
    }

    /// Merges evidence from another host.
    pub fn merge(&self, suspects: Vec<Suspect>, from: &str) {
        let now = self.clock.now();
        for suspect in suspects {
            let request = suspect.request;
            if self.state.lock().quarantine_mut().merge(now, suspect) {
                self.log_and_notify(request, from);
            }
        }
    }

    /// Loads the evidence that this host kept on its disk.
    pub(crate) async fn load(&self, file: Blob) {
        match cache::read::<Vec<Suspect>>(file).await {
            Ok(suspects) => self.merge(suspects, "disk"),
            Err(reason) => warn!(self.logger, "suspects_not_recalled";
                "event" => "suspects_not_recalled", "reason" => reason),
        }
    }

    /// Writes the evidence to disk after each change, until the task is aborted.
    pub(crate) async fn persist(self: Arc<Self>, file: Blob) {
        let mut changed = self.changed.subscribe();
        while changed.changed().await.is_ok() {
            let now = self.clock.now();
            let (all, _) = self
                .state
                .lock()
                .quarantine()
                .changed_since(now, 0, usize::MAX);
            if let Err(reason) = cache::write(file.clone(), &all).await {
                warn!(self.logger, "suspects_not_kept"; "event" => "suspects_not_kept",
                    "reason" => reason);
            }
            sleep(cache::WRITE_INTERVAL).await;
        }
    }

    /// Forgets old evidence.
    pub fn expire(&self) {
        self.state.lock().quarantine_mut().expire(self.clock.now());
    }

    /// Returns the number of suspects and of blocked requests.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        let blocked = state.quarantine().count_blocked(self.clock.now());
        (state.quarantine().len(), blocked)
    }

    /// Returns the evidence that a control host has not received from this host, and the checkpoint
    /// of its evidence that this host has.
    pub fn outgoing(&self, to: &HostId) -> (Evidence, Checkpoint) {
        self.state.lock().outgoing(self.clock.now(), to)
    }

    /// Returns the evidence that another host lacks, given the checkpoint that it has.
    pub fn answer(&self, known: Checkpoint) -> Evidence {
        self.state.lock().answer(self.clock.now(), known)
    }

    /// Records that a control host, started at `boot`, has received this host's evidence up to
    /// `sent` and has answered with its own.
    pub fn record_exchange(&self, from: &HostId, boot: u64, sent: Checkpoint, answer: Evidence) {
        self.merge(answer.suspects, from.as_str());
        let mut state = self.state.lock();
        state.record(from, boot, sent, answer.checkpoint);
    }

    fn publish(&self, suspect: Suspect) {
        self.log_and_notify(suspect.request, "this host");
        if let Some(broadcaster) = &self.broadcaster {
            let event = Event::Suspected(suspect);
            broadcaster.broadcast(event, Urgency::Urgent, RelayPath::Primary);
        }
    }

    fn log_and_notify(&self, request: Fingerprint, from: &str) {
        let block = self.block(|| request);
        match block {
            Some(block) => warn!(self.logger, "request_blocked"; "event" => "request_blocked",
                "fingerprint" => %request, "crashes" => block.crashes,
                "remaining_s" => block.remaining.as_secs(), "from" => from),
            None => info!(self.logger, "request_suspected"; "event" => "request_suspected",
                "fingerprint" => %request, "from" => from),
        }
        self.changed.send_replace(());
    }
}
