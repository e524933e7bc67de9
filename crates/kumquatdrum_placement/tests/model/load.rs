//! Prompts of three lengths, drawn by seed.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A prompt.
#[derive(Debug, Clone)]
pub struct Prompt {
    pub at_ms: f64,
    pub tokens: u64,
    pub events: u32,
    pub pause: Duration,
    pub target: Duration,
    pub kind: usize,
}

/// A kind of prompts: arrivals a second, tokens and events of the mean one, their spread.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub per_s: f64,
    pub tokens: f64,
    pub spread: f64,
    pub most: f64,
    pub events: f64,
    pub pause_ms: u64,
    pub target_ms: u64,
}

/// Short prompts, long ones, and the longest.
pub const KINDS: [Kind; 3] = [
    Kind {
        per_s: 47.0,
        tokens: 4_960.0,
        spread: 0.9,
        most: 23_800.0,
        events: 33.0,
        pause_ms: 250,
        target_ms: 300,
    },
    Kind {
        per_s: 2.4,
        tokens: 45_000.0,
        spread: 0.5,
        most: 110_000.0,
        events: 20.0,
        pause_ms: 600,
        target_ms: 1_500,
    },
    Kind {
        per_s: 1.44,
        tokens: 154_000.0,
        spread: 0.55,
        most: 700_000.0,
        events: 16.0,
        pause_ms: 1_000,
        target_ms: 3_000,
    },
];

/// The same with longer ones: all engines together read for most of the time when they are many.
pub const LONGER: [Kind; 3] = [
    KINDS[0],
    Kind {
        per_s: 2.95,
        ..KINDS[1]
    },
    Kind {
        per_s: 1.26,
        tokens: 220_000.0,
        target_ms: 4_000,
        ..KINDS[2]
    },
];

/// Prompts of `seconds`, in which each kind's rate is multiplied by the phase that is on; a phase
/// takes ten seconds.
pub fn draw(seed: u64, seconds: u64, scale: f64, phases: &[[f64; 3]]) -> Vec<Prompt> {
    draw_of(&KINDS, seed, seconds, scale, phases)
}

/// Prompts of the given kinds.
pub fn draw_of(
    kinds: &[Kind; 3],
    seed: u64,
    seconds: u64,
    scale: f64,
    phases: &[[f64; 3]],
) -> Vec<Prompt> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut prompts = Vec::new();
    for (number, kind) in kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let phase = phases[(at_ms / 10_000.0) as usize % phases.len()];
            let rate = (kind.per_s * scale * phase[number]).max(1e-3);
            at_ms += -uniform(&mut random).ln() / rate * 1e3;
            if at_ms >= seconds as f64 * 1e3 {
                break;
            }
            prompts.push(prompt(&mut random, number, kind, at_ms));
        }
    }
    prompts.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    prompts
}

fn prompt(random: &mut Pcg32, number: usize, kind: &Kind, at_ms: f64) -> Prompt {
    let size = (kind.spread * normal(random) - kind.spread.powi(2) / 2.0).exp();
    let length = (0.7 * normal(random) - 0.245).exp();
    Prompt {
        at_ms,
        tokens: (kind.tokens * size).clamp(100.0, kind.most) as u64,
        events: (kind.events * length).clamp(1.0, kind.events * 2.5) as u32,
        pause: Duration::from_millis(kind.pause_ms),
        target: Duration::from_millis(kind.target_ms),
        kind: number,
    }
}

fn uniform(random: &mut Pcg32) -> f64 {
    (f64::from(random.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

fn normal(random: &mut Pcg32) -> f64 {
    let radius = (-2.0 * uniform(random).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform(random)).cos()
}
