//! Generates prompts of three lengths from a seed.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Debug, Clone)]
pub struct Prompt {
    pub at_ms: f64,
    pub tokens: u64,
    pub events: u32,
    pub max_pause: Duration,
    pub target: Duration,
    pub class: usize,
}

/// A class of prompts: rate of arrival, length distribution and latency requirements.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub rate_per_s: f64,
    pub tokens: f64,
    pub sigma: f64,
    pub max_tokens: f64,
    pub events: f64,
    pub pause_ms: u64,
    pub target_ms: u64,
}

/// Short, long and the longest prompts.
pub const PROMPT_CLASSES: [Class; 3] = [
    Class {
        rate_per_s: 47.0,
        tokens: 4_960.0,
        sigma: 0.9,
        max_tokens: 23_800.0,
        events: 33.0,
        pause_ms: 250,
        target_ms: 300,
    },
    Class {
        rate_per_s: 2.4,
        tokens: 45_000.0,
        sigma: 0.5,
        max_tokens: 110_000.0,
        events: 20.0,
        pause_ms: 600,
        target_ms: 1_500,
    },
    Class {
        rate_per_s: 1.44,
        tokens: 154_000.0,
        sigma: 0.55,
        max_tokens: 700_000.0,
        events: 16.0,
        pause_ms: 1_000,
        target_ms: 3_000,
    },
];

/// Classes with longer prompts, which occupy all engines of a large pool most of the time.
pub const LONGER_PROMPT_CLASSES: [Class; 3] = [
    PROMPT_CLASSES[0],
    Class {
        rate_per_s: 2.95,
        ..PROMPT_CLASSES[1]
    },
    Class {
        rate_per_s: 1.26,
        tokens: 220_000.0,
        target_ms: 4_000,
        ..PROMPT_CLASSES[2]
    },
];

/// Generates prompts for `seconds`. Each phase lasts ten seconds and scales the rates of the
/// classes.
pub fn generate(seed: u64, seconds: u64, scale: f64, phases: &[[f64; 3]]) -> Vec<Prompt> {
    generate_from(&PROMPT_CLASSES, seed, seconds, scale, phases)
}

/// Generates prompts of the given classes.
pub fn generate_from(
    classes: &[Class; 3],
    seed: u64,
    seconds: u64,
    scale: f64,
    phases: &[[f64; 3]],
) -> Vec<Prompt> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut prompts = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let phase = phases[(at_ms / 10_000.0) as usize % phases.len()];
            let rate = (class.rate_per_s * scale * phase[index]).max(1e-3);
            at_ms += -uniform(&mut random).ln() / rate * 1e3;
            if at_ms >= seconds as f64 * 1e3 {
                break;
            }
            prompts.push(prompt(&mut random, index, class, at_ms));
        }
    }
    prompts.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    prompts
}

fn prompt(random: &mut Pcg32, index: usize, class: &Class, at_ms: f64) -> Prompt {
    let size = (class.sigma * normal(random) - class.sigma.powi(2) / 2.0).exp();
    let length = (0.7 * normal(random) - 0.245).exp();
    Prompt {
        at_ms,
        tokens: (class.tokens * size).clamp(100.0, class.max_tokens) as u64,
        events: (class.events * length).clamp(1.0, class.events * 2.5) as u32,
        max_pause: Duration::from_millis(class.pause_ms),
        target: Duration::from_millis(class.target_ms),
        class: index,
    }
}

fn uniform(random: &mut Pcg32) -> f64 {
    (f64::from(random.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

fn normal(random: &mut Pcg32) -> f64 {
    let radius = (-2.0 * uniform(random).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform(random)).cos()
}
