//! What several tests share.

use kumquatdrum_routes::Engine;

/// Returns the declared performance of an engine.
pub fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 300_000,
        pass_steps: 50,
        step_ms: 1.0,
        decode_request_ms: 0.01,
        context_ms_per_k_tokens: 0.01,
        prefill_tokens_per_ms: 200.0,
        attention_ms_per_m_pairs: 0.1,
        chunk_tokens: 2_048,
        remote_memory_step_ms: 0.05,
        typical_prompt_tokens: 10_000.0,
        typical_answer_tokens: 1_000.0,
    }
}
