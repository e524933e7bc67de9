//! Service rates, learnt from what was observed.

use std::time::Duration;

use crate::{Settings, Size};

/// Weight of one new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// One sample moves an estimate as if it differed by this factor at most.
const SAMPLE_BOUND: f64 = 2.0;
/// An endpoint's own speed against its service's stays within this factor.
const FACTOR_BOUND: f64 = 8.0;
/// Time of one answer token before any was seen, in seconds.
const FIRST_TOKEN_TIME: f64 = 0.02;

/// The rates of one service.
#[derive(Debug)]
pub struct Rates {
    prefill: [f64; 4],
    token_seconds: f64,
}

impl Rates {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            prefill: [settings.default_rate; 4],
            token_seconds: FIRST_TOKEN_TIME,
        }
    }

    /// Prompt tokens a second for prompts of a class.
    pub fn prefill(&self, size: Size) -> f64 {
        self.prefill[size.index()]
    }

    /// The rate at which a backlog of mixed prompts is worked off.
    pub fn bulk(&self) -> f64 {
        self.prefill[Size::Medium.index()]
    }

    /// The time of a whole request on an idle endpoint of usual speed.
    pub fn service_time(&self, size: Size, prefill_tokens: u64, output_tokens: u64) -> Duration {
        let prefill = prefill_tokens as f64 / self.prefill(size);
        let output = output_tokens as f64 * self.token_seconds;
        Duration::from_secs_f64(prefill + output)
    }

    pub(crate) fn learn_prefill(&mut self, size: Size, sample: f64) {
        learn(&mut self.prefill[size.index()], sample);
    }

    pub(crate) fn learn_output(&mut self, taken: Duration, tokens: u64) {
        if tokens > 1 {
            learn(&mut self.token_seconds, taken.as_secs_f64() / tokens as f64);
        }
    }

    /// Takes an announced rate as the first estimate of all classes.
    pub(crate) fn start_from(&mut self, announced: f64) {
        self.prefill = [announced; 4];
    }
}

/// Moves a factor towards a sample, within the bounds.
pub(crate) fn learn_factor(factor: &mut f64, sample: f64) {
    learn(factor, sample);
    *factor = factor.clamp(1.0 / FACTOR_BOUND, FACTOR_BOUND);
}

fn learn(estimate: &mut f64, sample: f64) {
    if !sample.is_finite() || sample <= 0.0 {
        return;
    }
    let ratio = (sample / *estimate).clamp(1.0 / SAMPLE_BOUND, SAMPLE_BOUND);
    *estimate *= ratio.powf(SAMPLE_WEIGHT);
}
