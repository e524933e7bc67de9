//! Estimates service rates from observations.

use std::time::Duration;

use crate::{Settings, Size};

/// The weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The largest ratio between a sample and the estimate, in either direction; larger ratios are
/// clamped.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// The largest ratio of an endpoint's speed to the service's average, in either direction.
const MAX_SPEED_FACTOR: f64 = 8.0;
/// The time per output token before the first observation, in seconds.
const INITIAL_TOKEN_SECONDS: f64 = 0.02;

/// The estimated rates of one service.
#[derive(Debug)]
pub struct Rates {
    prefill: [f64; 4],
    token_seconds: f64,
}

impl Rates {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            prefill: [settings.default_rate; 4],
            token_seconds: INITIAL_TOKEN_SECONDS,
        }
    }

    /// Returns the prompt tokens per second of a size class.
    pub fn prefill(&self, size: Size) -> f64 {
        self.prefill[size.index()]
    }

    /// Returns the prompt tokens per second of a backlog of mixed sizes.
    pub fn backlog_rate(&self) -> f64 {
        self.prefill[Size::Medium.index()]
    }

    /// Returns the time of a request on an idle endpoint of average speed.
    pub fn service_time(&self, size: Size, prefill_tokens: u64, output_tokens: u64) -> Duration {
        let prefill = prefill_tokens as f64 / self.prefill(size);
        let output = output_tokens as f64 * self.token_seconds;
        Duration::from_secs_f64(prefill + output)
    }

    pub(crate) fn record_prefill(&mut self, size: Size, sample: f64) {
        update(&mut self.prefill[size.index()], sample);
    }

    pub(crate) fn record_output(&mut self, duration: Duration, tokens: u64) {
        if tokens > 1 {
            update(
                &mut self.token_seconds,
                duration.as_secs_f64() / tokens as f64,
            );
        }
    }

    /// Sets the initial estimate of all classes to an announced rate.
    pub(crate) fn initialise(&mut self, tokens_per_second: f64) {
        self.prefill = [tokens_per_second; 4];
    }
}

/// Updates a speed factor with a sample, within bounds.
pub(crate) fn update_speed_factor(factor: &mut f64, sample: f64) {
    update(factor, sample);
    *factor = factor.clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR);
}

fn update(estimate: &mut f64, sample: f64) {
    if !sample.is_finite() || sample <= 0.0 {
        return;
    }
    let ratio = (sample / *estimate).clamp(1.0 / MAX_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
    *estimate *= ratio.powf(SAMPLE_WEIGHT);
}
