//! The declared performance of the engines, and what follows from it.

use std::time::Duration;

use kumquatdrum_routes::Engine;

use super::Planner;
use crate::{Cost, Job};

impl Planner {
    /// Replaces the declared performance. What the engines run stays known: it takes their slots and
    /// memory under any declaration.
    ///
    /// ```
    /// # use kumquatdrum_placement::{DataCentreKey, EndpointKey, Planner};
    /// # use kumquatdrum_routes::Engine;
    /// # let engine = Engine {
    /// #     slots: 16, memory_tokens: 300_000, pass_steps: 50, step_ms: 1.0, decode_request_ms: 0.01,
    /// #     context_ms_per_k_tokens: 0.01, prefill_tokens_per_ms: 200.0, attention_ms_per_m_pairs: 0.1,
    /// #     chunk_tokens: 2_048, remote_memory_step_ms: 0.05, typical_prompt_tokens: 10_000.0, typical_answer_tokens: 1_000.0,
    /// # };
    /// let mut planner = Planner::new(engine.clone());
    /// planner.set_endpoints([(EndpointKey(7), DataCentreKey(1))]);
    /// planner.set_engine(Engine { slots: 8, ..engine });
    /// assert_eq!(planner.data_centre(EndpointKey(7)), Some(DataCentreKey(1)));
    /// ```
    pub fn set_engine(&mut self, engine: Engine) {
        self.cost = Cost::new(engine);
    }

    /// Returns the time that an engine without other work needs for a job. A job of unknown size counts
    /// as a typical one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use kumquatdrum_placement::{Job, JobId, Planner};
    /// # use kumquatdrum_routes::Engine;
    /// # use kumquatdrum_types::Moment;
    /// # let planner = Planner::new(Engine {
    /// #     slots: 16, memory_tokens: 300_000, pass_steps: 50, step_ms: 1.0, decode_request_ms: 0.01,
    /// #     context_ms_per_k_tokens: 0.01, prefill_tokens_per_ms: 200.0, attention_ms_per_m_pairs: 0.1,
    /// #     chunk_tokens: 2_048, remote_memory_step_ms: 0.05, typical_prompt_tokens: 10_000.0, typical_answer_tokens: 1_000.0,
    /// # });
    /// # let job = Job {
    /// #     id: JobId { host: 1, number: 1 }, prompt_tokens: 1_000, answer_tokens: 100,
    /// #     max_pause: Duration::from_millis(250), arrived: Moment::ZERO,
    /// #     due: Moment::from_millis(300), deadline: Moment::from_millis(9_000),
    /// #     excluded: Vec::new(), first: None, is_resumed: false,
    /// # };
    /// assert!(planner.expected_duration(&job) < Duration::from_secs(1));
    /// ```
    pub fn expected_duration(&self, job: &Job) -> Duration {
        let engine = self.cost.engine();
        let (prompt_tokens, answer_tokens) = if job.memory_tokens() > 0 {
            (job.prompt_tokens, job.answer_tokens)
        } else {
            let typical = (engine.typical_prompt_tokens, engine.typical_answer_tokens);
            (typical.0 as u64, typical.1 as u64)
        };
        let passes = answer_tokens as f64 / f64::from(engine.pass_steps.max(1));
        let decode_ms = passes * self.cost.pass_ms(1, prompt_tokens + answer_tokens);
        let total_ms = self.cost.prefill_ms(prompt_tokens) + decode_ms;
        Duration::try_from_secs_f64(total_ms / 1e3).unwrap_or(Duration::MAX)
    }
}
