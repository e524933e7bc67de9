//! Tracks recent demand and estimates what a very long prompt would cost other callers.
//!
//! A prompt that occupies all engines for a second or more is rejected when the delay to other
//! callers outweighs its value. At low demand it is admitted.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::Moment;

use crate::Job;

/// The time for which a dispatch counts as recent; longer than the usual gap between long prompts,
/// and shorter than a load lasts before it turns.
const WINDOW: Duration = Duration::from_secs(3);
/// The number of prompt tokens that adds as much weight as the request itself. A caller with ten
/// times the tokens waits for ten times the work, but somebody waits even for the shortest prompt.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;
/// The allowed ratio of the other callers' loss to the weight of the prompt. The loss is an upper
/// bound: it assumes that every request during the prefill waits until its end, while the prefill
/// rarely occupies all engines.
const MAX_LOSS_RATIO: f64 = 1.5;

/// Returns the weight of a prompt, which grows with its length.
pub(crate) fn weight(prompt_tokens: u64) -> f64 {
    1.0 + prompt_tokens as f64 / TOKENS_PER_WEIGHT
}

/// Recent dispatches of all hosts.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    dispatches: VecDeque<Dispatch>,
    weight: f64,
    weighted_target_s: f64,
}

#[derive(Debug)]
struct Dispatch {
    at: Moment,
    weight: f64,
    target_s: f64,
}

impl Demand {
    /// Records a dispatch.
    pub(crate) fn add(&mut self, now: Moment, prompt_tokens: u64, target: Duration) {
        let (weight, target_s) = (weight(prompt_tokens), target.as_secs_f64());
        self.dispatches.push_back(Dispatch {
            at: now,
            weight,
            target_s,
        });
        self.weight += weight;
        self.weighted_target_s += weight * target_s;
    }

    /// Returns the dispatches per second over all hosts.
    pub(crate) fn dispatch_rate(&self) -> f64 {
        self.dispatches.len() as f64 / WINDOW.as_secs_f64()
    }

    /// Returns whether the delay to other callers would outweigh the job if `prefill_engines` of
    /// `engines` ran its prefill for `part_ms` each.
    pub(crate) fn is_too_costly(
        &self,
        job: &Job,
        part_ms: f64,
        prefill_engines: usize,
        engines: usize,
    ) -> bool {
        if self.weight <= f64::EPSILON {
            return false;
        }
        let weight_per_s = self.weight / WINDOW.as_secs_f64();
        let target_s = self.weighted_target_s / self.weight;
        let seconds = part_ms / 1e3;
        let delayed = (seconds / target_s.max(f64::MIN_POSITIVE)).min(1.0);
        let share = prefill_engines as f64 / engines.max(1) as f64;
        let loss = weight_per_s * seconds * share * delayed;
        loss > weight(job.prompt_tokens) * MAX_LOSS_RATIO
    }

    /// Removes dispatches older than the window.
    pub(crate) fn expire(&mut self, now: Moment) {
        let is_expired = |dispatch: &Dispatch| now - dispatch.at > WINDOW;
        while self.dispatches.front().is_some_and(is_expired) {
            let Some(dispatch) = self.dispatches.pop_front() else {
                break;
            };
            self.weight -= dispatch.weight;
            self.weighted_target_s -= dispatch.weight * dispatch.target_s;
        }
        if self.dispatches.is_empty() {
            // Resets rounding errors of the running sums.
            self.weight = 0.0;
            self.weighted_target_s = 0.0;
        }
    }
}
