//! What work costs an engine, from the figures that it publishes.

use kumquatdrum_routes::Engine;

/// What work costs an engine.
#[derive(Debug, Clone)]
pub struct Cost {
    engine: Engine,
}

impl Cost {
    /// The cost on engines with these figures.
    pub const fn new(engine: Engine) -> Self {
        Self { engine }
    }

    /// The figures.
    pub const fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Milliseconds of reading a whole prompt on one engine: linear in its tokens, and in the
    /// pairs of each token with all before it.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let linear = tokens / self.engine.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
        let pairs = tokens * tokens / 2.0 / 1e6;
        linear + pairs * self.engine.attention_ms_per_m_pairs
    }

    /// Milliseconds of a pass in which `writers` write with `context` tokens together.
    pub fn pass_ms(&self, writers: usize, context: u64) -> f64 {
        if writers == 0 {
            return 0.0;
        }
        let step = self.engine.step_ms
            + self.engine.decode_request_ms * writers as f64
            + self.engine.context_ms_per_k_tokens * context as f64 / 1e3;
        step * f64::from(self.engine.pass_steps.max(1))
    }
}
