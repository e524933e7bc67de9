//! Estimates the cost of work on an engine from its declared performance.

use kumquatdrum_routes::Engine;

/// A cost model for one type of engine.
#[derive(Debug, Clone)]
pub struct Cost {
    engine: Engine,
}

impl Cost {
    /// Creates a cost model from an engine's declared performance.
    pub const fn new(engine: Engine) -> Self {
        Self { engine }
    }

    /// Returns the declared performance.
    pub const fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns the milliseconds of prefill of a whole prompt on one engine: linear in its tokens,
    /// plus a quadratic term for attention.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let linear = tokens / self.engine.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        linear + million_pairs * self.engine.attention_ms_per_m_pairs
    }

    /// Returns the milliseconds of a pass that decodes `decodes` answers with `context` tokens in
    /// total.
    pub fn pass_ms(&self, decodes: usize, context: u64) -> f64 {
        if decodes == 0 {
            return 0.0;
        }
        let step = self.engine.step_ms
            + self.engine.decode_request_ms * decodes as f64
            + self.engine.context_ms_per_k_tokens * context as f64 / 1e3;
        step * f64::from(self.engine.pass_steps.max(1))
    }
}
