//! Sizes and step costs of an engine model.

use std::time::Duration;

/// Sizes and step costs of an engine model.
#[derive(Debug, Clone)]
pub struct Options {
    /// Size of the KV memory, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
    /// Maximum number of waiting requests; beyond it requests are refused as full.
    pub queue_limit: u32,
    /// Token budget of one step for decode and prefill.
    pub chunk_tokens: u64,
    /// Fixed cost of a step.
    pub step: Duration,
    /// Cost of one prompt token.
    pub prefill_token: Duration,
    /// Cost of one decoded token.
    pub decode_token: Duration,
    /// Size of the prefix cache, in tokens; it takes no KV memory.
    pub cache_tokens: u64,
    /// Number of ended attempts whose details are kept.
    pub ended_limit: usize,
    /// Number of attempt identifiers remembered to refuse duplicates; up to twice as many are kept.
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
    /// Returns the prefill rate of an engine that decodes nothing.
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
