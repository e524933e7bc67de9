//! The quarantine of a host: requests that crash endpoints are refused.
//!
//! The owner of a [`Store`] publishes new evidence at once, best effort, and exchanges with other
//! hosts what each lacks, so that lost messages, restarts and partitions leave no host without it.

use std::time::Duration;

use kumquatdrum_quarantine::{
    Block, Evidence, Exchange, Fingerprint, Identity, Incarnation, Quarantine, Subject, Suspect,
};
use kumquatdrum_types::{Checkpoint, HostId, Moment};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::random;

/// Sends new evidence of this host to others.
type Publish = Box<dyn Fn(Suspect) + Send + Sync>;

/// Returns whether this host is the one that probes a request.
type IsProber = Box<dyn Fn(Fingerprint) -> bool + Send + Sync>;

/// Holds the evidence known to this host.
pub struct Store {
    clock: Clock,
    publish: Publish,
    is_prober: IsProber,
    state: Mutex<Exchange>,
    changed: watch::Sender<()>,
    logger: slog::Logger,
}

impl Store {
    /// Creates the empty store of a process started at `boot`, in Unix milliseconds.
    pub fn new(
        clock: Clock,
        boot: u64,
        publish: impl Fn(Suspect) + Send + Sync + 'static,
        is_prober: impl Fn(Fingerprint) -> bool + Send + Sync + 'static,
        logger: slog::Logger,
    ) -> Self {
        Self {
            clock,
            publish: Box::new(publish),
            is_prober: Box::new(is_prober),
            state: Mutex::new(Exchange::new(boot)),
            changed: watch::Sender::new(()),
            logger,
        }
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.state.lock().quarantine().is_empty()
    }

    /// Returns the block on a request or a part of its prompt, or `None` if it may be sent. The
    /// identity is computed only if there are suspects.
    pub fn block(&self, request: impl FnOnce() -> Identity) -> Option<Block> {
        if self.is_empty() {
            return None;
        }
        let request = request();
        let state = self.state.lock();
        state.quarantine().find_block(self.clock.now(), &request)
    }

    /// Returns whether a blocked request is to be sent as a probe, as it or the part of its prompt may
    /// turn out to be a bystander of others' crashes.
    pub fn try_probe(&self, request: impl FnOnce() -> Identity) -> bool {
        if self.is_empty() {
            return false;
        }
        let request = request();
        let now = self.clock.now();
        let id = random::number();
        let mut state = self.state.lock();
        let quarantine = state.quarantine_mut();
        let suspect = quarantine.try_probe_of(now, &request, id, &self.is_prober);
        drop(state);
        match suspect {
            Some(suspect) => {
                info!(self.logger, "probed"; "event" => event(suspect.subject, "probed"),
                    "fingerprint" => %suspect.subject, "probes" => suspect.probes.len());
                self.publish(suspect);
                true
            }
            None => false,
        }
    }

    /// Waits until a request or a part of its prompt is blocked.
    pub async fn wait_for_block(&self, request: impl Fn() -> Identity) -> Block {
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

    /// Records that an endpoint crashed while a request was in flight there, `begun` after its first
    /// event, and broadcasts it.
    pub fn record_crash(&self, request: &Identity, endpoint: Incarnation, begun: Option<Duration>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let suspects = state
            .quarantine_mut()
            .record_crash_of(now, request, endpoint, begun);
        drop(state);
        for suspect in suspects {
            self.publish(suspect);
        }
    }

    /// Records that a request has run to completion, and broadcasts that for the suspects it clears.
    pub fn record_completion(&self, request: impl FnOnce() -> Identity) {
        self.clear(request, Quarantine::record_completion_of);
    }

    /// Records that an endpoint has survived the parts of a request's prompt, and broadcasts that for
    /// the suspects it clears.
    pub fn record_survival(&self, request: impl FnOnce() -> Identity) {
        self.clear(request, Quarantine::record_survival_of);
    }

    fn clear(
        &self,
        request: impl FnOnce() -> Identity,
        record: impl FnOnce(&mut Quarantine, Moment, &Identity) -> Vec<Suspect>,
    ) {
        if self.is_empty() {
            return;
        }
        let request = request();
        let now = self.clock.now();
        let mut state = self.state.lock();
        let cleared = record(state.quarantine_mut(), now, &request);
        drop(state);
        for suspect in cleared {
            info!(self.logger, "cleared"; "event" => event(suspect.subject, "cleared"),
                "fingerprint" => %suspect.subject);
            self.publish(suspect);
        }
    }

    /// Merges evidence from another host.
    pub fn merge(&self, suspects: Vec<Suspect>, from: &str) {
        let now = self.clock.now();
        for suspect in suspects {
            let subject = suspect.subject;
            if self.state.lock().quarantine_mut().merge(now, suspect) {
                self.log_and_notify(subject, from);
            }
        }
    }

    /// Returns all evidence.
    pub fn all(&self) -> Vec<Suspect> {
        let now = self.clock.now();
        let (all, _) = self
            .state
            .lock()
            .quarantine()
            .changed_since(now, 0, usize::MAX);
        all
    }

    /// Returns a receiver that is notified of new evidence.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns whether another host lacks evidence of this host.
    pub fn has_news(&self, to: &HostId) -> bool {
        self.state.lock().has_news(to)
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

    /// Returns the evidence that another host has not received from this host, and the checkpoint
    /// of its evidence that this host has.
    pub fn outgoing(&self, to: &HostId) -> (Evidence, Checkpoint) {
        self.state.lock().outgoing(self.clock.now(), to)
    }

    /// Returns the evidence that another host lacks, given the checkpoint that it has.
    pub fn answer(&self, known: Checkpoint) -> Evidence {
        self.state.lock().answer(self.clock.now(), known)
    }

    /// Records that another host, started at `boot`, has received this host's evidence up to
    /// `sent` and has answered with its own.
    pub fn record_exchange(&self, from: &HostId, boot: u64, sent: Checkpoint, answer: Evidence) {
        self.merge(answer.suspects, from.as_str());
        let mut state = self.state.lock();
        state.record(from, boot, sent, answer.checkpoint);
    }

    fn publish(&self, suspect: Suspect) {
        self.log_and_notify(suspect.subject, "this host");
        (self.publish)(suspect);
    }

    fn log_and_notify(&self, subject: Subject, from: &str) {
        let block = {
            let state = self.state.lock();
            state.quarantine().block_of_any(self.clock.now(), subject)
        };
        match block {
            Some(block) => warn!(self.logger, "blocked"; "event" => event(subject, "blocked"),
                "fingerprint" => %subject, "crashes" => block.crashes,
                "remaining_s" => block.remaining.as_secs(), "from" => from),
            None => info!(self.logger, "suspected"; "event" => event(subject, "suspected"),
                "fingerprint" => %subject, "from" => from),
        }
        self.changed.send_replace(());
    }
}

/// Returns the name of an event in the logs.
fn event(subject: Subject, what: &str) -> String {
    let kind = match subject {
        Subject::Request(_) => "request",
        Subject::Part(_) => "part",
    };
    format!("{kind}_{what}")
}
