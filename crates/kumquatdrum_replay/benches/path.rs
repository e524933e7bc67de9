//! Compares first-token times through a daemon and straight to a stand-in engine in one run.
//!
//! `cargo bench -p kumquatdrum_replay --bench path -- --through 127.0.0.1:7100 --key KEY
//! --service formula-llm --straight 127.0.0.1:9001 --pid PID`
//!
//! Without `--through`, a second stand-in replaces the daemon, and the ratio shows the noise.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use kumquatdrum_replay::load::{self, Options, Path};
use kumquatdrum_testing::engine::{self, Engine};

/// Compares the path through a daemon with the straight path to an engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Caller listener of a daemon; a new stand-in engine by default
    #[bpaf(argument("ADDRESS"), optional)]
    through: Option<SocketAddr>,
    /// Address of a stand-in engine; a new one by default
    #[bpaf(argument("ADDRESS"), optional)]
    straight: Option<SocketAddr>,
    /// Key of the workspace at the daemon
    #[bpaf(argument("KEY"), optional)]
    key: Option<String>,
    /// The service
    #[bpaf(argument("SERVICE"), fallback("formula-llm".to_owned()))]
    service: String,
    /// Rates to compare at, in requests per second on each path, separated by commas
    #[bpaf(argument::<String>("RATES"), fallback("83".to_owned()), parse(parse_rates))]
    rates: Vec<f64>,
    /// Duration of the load at each rate, in seconds
    #[bpaf(argument("N"), fallback(12.0))]
    seconds: f64,
    /// Length of the prompts, in tokens
    #[bpaf(argument("N"), fallback(330))]
    prompt_tokens: u64,
    /// Length of the answers, in tokens
    #[bpaf(argument("N"), fallback(32))]
    max_tokens: u32,
    /// Process id of the daemon, to measure its CPU time and memory
    #[bpaf(argument("PID"), optional)]
    pid: Option<u32>,
    /// Print JSON
    json: bool,
    /// Passed by cargo
    #[bpaf(long("bench"), hide)]
    _bench: bool,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = arguments().run();
    let mut engines = Vec::new();
    let straight = address_or_start(arguments.straight, &mut engines).await?;
    let through = address_or_start(arguments.through, &mut engines).await?;
    for rate in &arguments.rates {
        let options = options(&arguments, *rate, through, straight);
        let comparison = load::run(&options).await?;
        if arguments.json {
            println!("{}", serde_json::to_string(&comparison)?);
        } else {
            println!("{comparison}\n");
        }
    }
    for engine in engines {
        engine.shutdown().await;
    }
    Ok(())
}

fn parse_rates(list: String) -> Result<Vec<f64>, std::num::ParseFloatError> {
    list.split(',').map(str::parse).collect()
}

fn options(arguments: &Arguments, rate: f64, through: SocketAddr, straight: SocketAddr) -> Options {
    let count = (rate * arguments.seconds) as usize;
    Options {
        through: Path {
            address: through,
            service: arguments.service.clone(),
            key: arguments.through.and(arguments.key.clone()),
        },
        straight: Path {
            address: straight,
            service: arguments.service.clone(),
            key: None,
        },
        rate,
        count,
        warm_up: count / 10,
        prompt_tokens: arguments.prompt_tokens,
        max_tokens: arguments.max_tokens,
        bytes_per_token: 4.0,
        deadline: Duration::from_secs(10),
        pid: arguments.pid,
    }
}

/// Returns the given address, or starts a stand-in engine and returns its address.
async fn address_or_start(
    address: Option<SocketAddr>,
    engines: &mut Vec<Engine>,
) -> Result<SocketAddr, kumquatdrum_testing::server::Error> {
    if let Some(address) = address {
        return Ok(address);
    }
    let options = engine::Options::new("e1", "formula-llm", "formula", "hall-raatuse");
    let engine = Engine::start(options).await?;
    let address = engine.address();
    engines.push(engine);
    Ok(address)
}
