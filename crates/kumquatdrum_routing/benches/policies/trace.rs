//! Seeded arrivals of two request mixes.

use kumquatdrum_routing::BlockHash;
use rand_core::Rng;
use rand_pcg::Pcg32;

pub const BLOCK_TOKENS: u64 = 256;
/// The prompt tokens that an engine computes per second at the start of a prompt.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 20_000.0;
/// The context at which a prompt token costs twice as much.
pub const CONTEXT_TOKENS: f64 = 400_000.0;

/// A share of the requests, with prompt lengths distributed log-uniformly between two bounds.
pub struct Band {
    pub share: f64,
    pub from: f64,
    pub to: f64,
    pub deadline: f64,
}

pub struct Mix {
    pub name: &'static str,
    pub engines: usize,
    pub bands: &'static [Band],
}

const fn band(share: f64, from: f64, to: f64, deadline: f64) -> Band {
    Band {
        share,
        from,
        to,
        deadline,
    }
}

pub const TOONIKAART: Mix = Mix {
    name: "Toonikaart",
    engines: 25,
    bands: &[
        band(0.85, 1_000.0, 4_000.0, 10.0),
        band(0.10, 4_000.0, 32_000.0, 60.0),
        band(0.03, 32_000.0, 100_000.0, 180.0),
        band(0.02, 100_000.0, 1_000_000.0, 600.0),
    ],
};

pub const TREASURY: Mix = Mix {
    name: "Treasury",
    engines: 15,
    bands: &[
        band(0.40, 1_000.0, 8_000.0, 10.0),
        band(0.35, 8_000.0, 32_000.0, 60.0),
        band(0.23, 32_000.0, 100_000.0, 180.0),
        band(0.02, 100_000.0, 1_000_000.0, 600.0),
    ],
};

#[derive(Clone)]
pub struct Arrival {
    pub at: f64,
    pub daemon: usize,
    pub workspace: u32,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub deadline: f64,
    pub prefix: Vec<BlockHash>,
}

fn uniform(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

fn log_uniform(random: &mut Pcg32, from: f64, to: f64) -> f64 {
    from * (to / from).powf(uniform(random))
}

/// Returns the engine seconds that a request takes.
fn engine_seconds(prompt_tokens: f64, output_tokens: f64) -> f64 {
    prompt_tokens / PREFILL_TOKENS_PER_SECOND * (1.0 + prompt_tokens / 2.0 / CONTEXT_TOKENS)
        + output_tokens * 0.000_5
}

fn mean_engine_seconds(mix: &Mix) -> f64 {
    let mut random = Pcg32::new(1, 1);
    let mut band_seconds = |band: &Band| {
        let draws =
            (0..2_000).map(|_| engine_seconds(log_uniform(&mut random, band.from, band.to), 150.0));
        band.share * draws.sum::<f64>() / 2_000.0
    };
    mix.bands.iter().map(&mut band_seconds).sum()
}

/// Generates arrivals with bursts for `seconds` at `load` times the engines' capacity.
pub fn generate(mix: &Mix, load: f64, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg32::new(seed, 7);
    let rate = load * mix.engines as f64 / mean_engine_seconds(mix);
    let mut arrivals = Vec::new();
    let (mut at, mut document) = (0.0, 0_u64);
    loop {
        // Five seconds of every thirty run at twice the rate; the mean is unchanged.
        let factor = if at % 30.0 < 5.0 { 2.0 } else { 0.8 };
        at -= (1.0 - uniform(&mut random)).max(1e-9).ln() / (rate * factor);
        if at >= seconds {
            return arrivals;
        }
        let mut draw = uniform(&mut random);
        let found = mix.bands.iter().find(|band| {
            draw -= band.share;
            draw <= 0.0
        });
        let band = found.unwrap_or(&mix.bands[0]);
        let prompt_tokens = log_uniform(&mut random, band.from, band.to) as u64;
        // Half of the requests come from two of ten workspaces.
        let workspace = match uniform(&mut random) {
            draw if draw < 0.5 => random.next_u32() % 2,
            _ => 2 + random.next_u32() % 8,
        };
        // One request in ten reuses the previous document.
        if uniform(&mut random) > 0.1 {
            document += 1;
        }
        arrivals.push(Arrival {
            at,
            daemon: random.next_u32() as usize % 9,
            workspace,
            prompt_tokens,
            output_tokens: log_uniform(&mut random, 30.0, 400.0) as u64,
            deadline: at + band.deadline,
            prefix: prefix(workspace, document, prompt_tokens),
        });
    }
}

/// Returns two blocks of the workspace's preamble, followed by the document's blocks.
fn prefix(workspace: u32, document: u64, prompt_tokens: u64) -> Vec<BlockHash> {
    let hash = |index: u64| match index {
        0 | 1 => u64::from(workspace) << 8 | index,
        _ => (document << 20 | index) + (1 << 60),
    };
    (0..prompt_tokens / BLOCK_TOKENS)
        .map(|index| BlockHash(hash(index)))
        .collect()
}
