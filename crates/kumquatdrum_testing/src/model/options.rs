//! Sizes and step costs of an engine.

use std::time::Duration;

/// Sizes and step costs of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// KV memory, in tokens.
    pub memory_tokens: u64,
    /// The most requests of one batch.
    pub batch_limit: u32,
    /// The most requests that wait for the batch; beyond it the engine refuses as full.
    pub queue_limit: u32,
    /// Tokens computed in one step, decoded ones among them.
    pub chunk_tokens: u64,
    /// Fixed cost of a step.
    pub step: Duration,
    /// Cost of one prompt token.
    pub prefill_token: Duration,
    /// Cost of one decoded token, for each request of the batch.
    pub decode_token: Duration,
    /// Prefix cache, in tokens; it is besides the KV memory.
    pub cache_tokens: u64,
    /// Ended attempts that stay readable.
    pub ended_limit: usize,
    /// Attempt identifiers that are remembered, so that none runs twice.
    pub known_limit: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_tokens: 400_000,
            batch_limit: 32,
            queue_limit: 256,
            chunk_tokens: 2_048,
            step: Duration::from_micros(500),
            prefill_token: Duration::from_micros(1),
            decode_token: Duration::from_micros(20),
            cache_tokens: 400_000,
            ended_limit: 4_096,
            known_limit: 1 << 18,
        }
    }
}

impl Options {
    /// Prompt tokens computed a second when a step computes nothing else.
    ///
    /// ```
    /// let options = kumquatdrum_testing::model::Options::default();
    /// assert!(options.prefill_tokens_per_second() > 100_000);
    /// ```
    pub fn prefill_tokens_per_second(&self) -> u64 {
        let step = self.step.as_secs_f64();
        let chunk = self.chunk_tokens as f64;
        (chunk / (step + chunk * self.prefill_token.as_secs_f64())) as u64
    }
}
