//! Counts of the requests and runs of a stand-in.

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Counts of one stand-in, as `GET /counters` returns them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests received, including refused ones.
    pub received: u64,
    /// Requests accepted, whether or not they ran.
    pub accepted: u64,
    /// Runs by attempt identifier.
    pub runs_by_attempt: IndexMap<String, u32>,
    /// Runs by the SHA-256 of the prompt text, in hexadecimal.
    pub runs_by_digest: IndexMap<String, u32>,
    /// Runs by test key (plain services only).
    pub runs_by_key: IndexMap<String, u32>,
    /// Runs that finished.
    pub finished: u64,
    /// KV memory in use, in tokens (engines only).
    pub memory_used_tokens: u64,
    /// Requests in the batch (engines), or calls in flight (plain services).
    pub running: u32,
    /// Requests waiting to enter the batch (engines only).
    pub waiting: u32,
}

impl Counts {
    /// Returns the prompt digests that ran more than once.
    ///
    /// ```
    /// let counts = kumquatdrum_testing::counters::Counts::default();
    /// assert_eq!(counts.duplicate_digests().count(), 0);
    /// ```
    pub fn duplicate_digests(&self) -> impl Iterator<Item = &str> {
        self.runs_by_digest
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(digest, _)| digest.as_str())
    }
}

/// Counts shared between tasks.
#[derive(Debug, Default)]
pub struct Counters(Mutex<Counts>);

impl Counters {
    /// Counts a received request.
    pub fn record_received(&self) {
        self.0.lock().received += 1;
    }

    /// Counts an accepted request, before it runs.
    pub fn record_accepted(&self) {
        self.0.lock().accepted += 1;
    }

    /// Counts a run by attempt and prompt digest.
    pub fn record_run(&self, attempt: &str, digest: &str) {
        let mut counts = self.0.lock();
        *counts.runs_by_attempt.entry(attempt.into()).or_default() += 1;
        *counts.runs_by_digest.entry(digest.into()).or_default() += 1;
    }

    /// Counts a run by test key.
    pub fn record_key(&self, key: &str) {
        *self.0.lock().runs_by_key.entry(key.into()).or_default() += 1;
    }

    /// Adds `change` to the number of calls in flight.
    pub fn adjust_running(&self, change: i32) {
        let mut counts = self.0.lock();
        counts.running = counts.running.saturating_add_signed(change);
    }

    /// Counts a finished run.
    pub fn record_finished(&self) {
        self.0.lock().finished += 1;
    }

    /// Returns a copy of the counts.
    pub fn snapshot(&self) -> Counts {
        self.0.lock().clone()
    }
}
