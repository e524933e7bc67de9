//! What callers have asked for lately, and what a very long prompt would take from them.
//!
//! Answers load: a prompt that all engines together read for a second or more, in the midst of
//! others. While little is asked for it is read; while much is, the others would lose more by
//! waiting for it than its caller gains.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::Moment;

use crate::Job;

/// How far back demand counts: longer than the spaces between long prompts, shorter than a load
/// lasts before it turns.
const WINDOW: Duration = Duration::from_secs(3);
/// Tokens of a prompt that weigh as much as its mere presence: who sends ten times as much waits
/// for ten times the work, while even the shortest prompt has somebody who waits.
const WEIGHED_TOKENS: f64 = 10_000.0;
/// What those who wait may lose for each unit that the prompt's caller gains. The loss is an upper
/// bound: it takes everybody who asks while the prompt is read to wait for all of it, while its
/// engines are rarely the whole fleet.
const BORNE: f64 = 1.5;

/// What a prompt weighs among others.
pub(crate) fn weight(prompt: u64) -> f64 {
    1.0 + prompt as f64 / WEIGHED_TOKENS
}

/// What callers have asked for lately, over all hosts.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    offers: VecDeque<Offer>,
    weight: f64,
    weighted_target_s: f64,
}

#[derive(Debug)]
struct Offer {
    at: Moment,
    weight: f64,
    target_s: f64,
}

impl Demand {
    /// A prompt was sent.
    pub(crate) fn add(&mut self, now: Moment, prompt: u64, target: Duration) {
        let (weight, target_s) = (weight(prompt), target.as_secs_f64());
        self.offers.push_back(Offer {
            at: now,
            weight,
            target_s,
        });
        self.weight += weight;
        self.weighted_target_s += weight * target_s;
    }

    /// Prompts that all hosts have sent a second.
    pub(crate) fn rate(&self) -> f64 {
        self.offers.len() as f64 / WINDOW.as_secs_f64()
    }

    /// Whether others would lose more than a job gains, were it read by `width` of `engines` for
    /// `part_ms` each.
    pub(crate) fn forbids(&self, job: &Job, part_ms: f64, width: usize, engines: usize) -> bool {
        if self.weight <= f64::EPSILON {
            return false;
        }
        let rate = self.weight / WINDOW.as_secs_f64();
        let target_s = self.weighted_target_s / self.weight;
        let seconds = part_ms / 1e3;
        let delayed = (seconds / target_s.max(f64::MIN_POSITIVE)).min(1.0);
        let share = width as f64 / engines.max(1) as f64;
        let loss = rate * seconds * share * delayed;
        loss > weight(job.prompt_tokens) * BORNE
    }

    /// Forgets what was sent before the window.
    pub(crate) fn forget(&mut self, now: Moment) {
        let is_old = |offer: &Offer| now - offer.at > WINDOW;
        while self.offers.front().is_some_and(is_old) {
            let Some(offer) = self.offers.pop_front() else {
                break;
            };
            self.weight -= offer.weight;
            self.weighted_target_s -= offer.weight * offer.target_s;
        }
        if self.offers.is_empty() {
            // Sums of floats drift.
            self.weight = 0.0;
            self.weighted_target_s = 0.0;
        }
    }
}
