//! Writes a generated trace to standard output.
//!
//! `cargo run -p kumquatdrum_replay --example generate -- --mix toonikaart --seed 1 --requests 300
//! --span-ms 8000 > examples/traces/toonikaart.jsonl`

use std::io::{self, Write};

use bpaf::Bpaf;
use kumquatdrum_replay::{Mix, generate, generator, trace};

/// Writes a generated trace to standard output.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Request mix: toonikaart or treasury
    #[bpaf(argument::<String>("MIX"), parse(parse_mix))]
    mix: Mix,
    /// Seed of the random generator
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of requests
    #[bpaf(argument("N"), fallback(300))]
    requests: usize,
    /// Time between the first and the last request, in milliseconds
    #[bpaf(argument("MS"), fallback(8_000))]
    span_ms: u64,
    /// Number of workspaces
    #[bpaf(argument("N"), fallback(10))]
    workspaces: usize,
    /// Maximum length of a prompt, in tokens
    #[bpaf(argument("N"), fallback(1_000_000))]
    longest: u64,
    /// One of this many requests with an idempotency key is resent; 0 resends none
    #[bpaf(argument("N"), fallback(0))]
    resend_one_in: usize,
}

fn parse_mix(name: String) -> Result<Mix, String> {
    let known = [Mix::Toonikaart, Mix::Treasury];
    let found = known.into_iter().find(|mix| mix.name() == name);
    found.ok_or_else(|| format!("{name} is neither toonikaart nor treasury"))
}

fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let entries = generate(&generator::Options {
        mix: arguments.mix,
        seed: arguments.seed,
        requests: arguments.requests,
        span_ms: arguments.span_ms,
        workspaces: arguments.workspaces,
        max_prompt_tokens: arguments.longest,
        resend_one_in: arguments.resend_one_in,
        ..generator::Options::default()
    });
    io::stdout().write_all(trace::write(&entries).as_bytes())
}
