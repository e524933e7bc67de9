//! What a stand-in ran, counted.

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Counts of one stand-in.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived, refused ones among them.
    pub received: u64,
    /// Requests accepted, run or not.
    pub accepted: u64,
    /// Runs by attempt identifier.
    pub runs_by_attempt: IndexMap<String, u32>,
    /// Runs by the SHA-256 of the prompt text, in hexadecimal.
    pub runs_by_digest: IndexMap<String, u32>,
    /// Runs by test key (plain services only).
    pub runs_by_key: IndexMap<String, u32>,
    /// Runs that came to their end.
    pub finished: u64,
    /// KV memory in use now, in tokens (engines only).
    pub memory_used_tokens: u64,
    /// Requests in the batch now (engines), or calls in work (plain services).
    pub running: u32,
    /// Requests that wait for the batch (engines only).
    pub waiting: u32,
}

impl Counts {
    /// Prompt digests that ran more than once.
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

/// Counts that tasks share.
#[derive(Debug, Default)]
pub struct Counters(Mutex<Counts>);

impl Counters {
    /// A request arrived.
    pub fn received(&self) {
        self.0.lock().received += 1;
    }

    /// A request was accepted; it has not run yet.
    pub fn accepted(&self) {
        self.0.lock().accepted += 1;
    }

    /// A run began.
    pub fn ran(&self, attempt: &str, digest: &str) {
        let mut counts = self.0.lock();
        *counts.runs_by_attempt.entry(attempt.into()).or_default() += 1;
        *counts.runs_by_digest.entry(digest.into()).or_default() += 1;
    }

    /// A call with a test key began.
    pub fn keyed(&self, key: &str) {
        *self.0.lock().runs_by_key.entry(key.into()).or_default() += 1;
    }

    /// The number of calls in work changed.
    pub fn working(&self, by: i32) {
        let mut counts = self.0.lock();
        counts.running = counts.running.saturating_add_signed(by);
    }

    /// A run came to its end.
    pub fn finished(&self) {
        self.0.lock().finished += 1;
    }

    /// The counts now.
    pub fn read(&self) -> Counts {
        self.0.lock().clone()
    }
}
