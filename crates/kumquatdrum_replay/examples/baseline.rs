//! Replays a trace straight to stand-ins, round robin, as a baseline without hosts.
//!
//! `cargo run --release -p kumquatdrum_replay --example baseline --
//! --trace examples/traces/toonikaart.jsonl --engines 3`

use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;
use indexmap::{IndexMap, IndexSet};
use kumquatdrum_replay::replay::{self, Baseline, Options};
use kumquatdrum_replay::{Entry, prompt, trace};
use kumquatdrum_testing::{Engine, Service, engine, service};

/// Replays a trace straight to stand-ins, round robin.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// The trace
    #[bpaf(argument("FILE"))]
    trace: PathBuf,
    /// Number of engines of each model service
    #[bpaf(argument("N"), fallback(3))]
    engines: usize,
    /// KV memory of each engine, in tokens
    #[bpaf(argument("N"), fallback(2_000_000))]
    memory_tokens: u64,
    /// Factor on the prompt lengths of the trace
    #[bpaf(argument("F"), fallback(1.0))]
    scale: f64,
    /// Bytes of prompt text per token
    #[bpaf(argument("F"), fallback(4.0))]
    bytes_per_token: f64,
    /// Print JSON
    json: bool,
}

/// The stand-ins of a replay, and their addresses by service.
#[derive(Default)]
struct Pool {
    engines: Vec<Engine>,
    services: Vec<Service>,
    endpoints: IndexMap<String, Vec<std::net::SocketAddr>>,
}

impl Pool {
    async fn start(
        entries: &[Entry],
        arguments: &Arguments,
    ) -> Result<Self, kumquatdrum_testing::server::Error> {
        let mut pool = Self::default();
        let requested: IndexSet<(&str, bool)> = entries
            .iter()
            .map(|entry| (entry.service.as_str(), entry.is_plain()))
            .collect();
        for (name, is_plain) in requested {
            let mut addresses = Vec::new();
            if is_plain {
                let options = service::Options::new("p1", name, "here");
                let service = Service::start(options).await?;
                addresses.push(service.address());
                pool.services.push(service);
            }
            for _ in 0..arguments.engines * usize::from(!is_plain) {
                let mut options = engine::Options::new("e", name, "model", "here");
                options.sizes.memory_tokens = arguments.memory_tokens;
                let engine = Engine::start(options).await?;
                addresses.push(engine.address());
                pool.engines.push(engine);
            }
            pool.endpoints.insert(name.to_owned(), addresses);
        }
        Ok(pool)
    }

    async fn shutdown(self) {
        for engine in self.engines {
            engine.shutdown().await;
        }
        for service in self.services {
            service.shutdown().await;
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = arguments().run();
    let entries = trace::read(&fs::read_to_string(&arguments.trace)?)?;
    let pool = Pool::start(&entries, &arguments).await?;
    let engines = pool.engines.iter().map(Engine::control_address);
    let services = pool.services.iter().map(Service::control_address);
    let options = Options {
        endpoints: pool.endpoints.clone(),
        controls: engines.chain(services).collect(),
        size: prompt::Size {
            scale: arguments.scale,
            bytes_per_token: arguments.bytes_per_token,
        },
        baseline: Baseline::ShortAlone,
        ..Options::default()
    };
    let report = replay::run(&entries, &options).await?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    pool.shutdown().await;
    Ok(())
}
