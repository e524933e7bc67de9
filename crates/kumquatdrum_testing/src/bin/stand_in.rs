//! Runs one stand-in as a separate process, for manual testing.
//!
//! `stand_in engine --name e1 --service formula-llm --model formula --data-centre hall-raatuse
//! --announce 127.0.0.1:7101,127.0.0.1:7201`

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use kumquatdrum_testing::server::Error;
use kumquatdrum_testing::{announcer, engine, model, process, service};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one stand-in until the process is terminated.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        identity: Identity,
        /// The loaded model
        #[bpaf(argument("MODEL"))]
        model: String,
        #[bpaf(external)]
        sizes: Sizes,
        /// Delay of load reports, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        load_lag_ms: u64,
        /// Delay of cache events, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        cache_lag_ms: u64,
        /// Drop each cache event whose number is a multiple of N; 0 drops none
        #[bpaf(argument("N"), fallback(0))]
        lose_every: u64,
    },
    /// A plain service.
    #[bpaf(command)]
    Plain {
        #[bpaf(external)]
        identity: Identity,
        /// Duration of a call, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        work_ms: u64,
    },
}

#[derive(Debug, Clone, Bpaf)]
struct Identity {
    /// Name of the endpoint
    #[bpaf(argument("NAME"))]
    name: String,
    /// Service that the endpoint belongs to
    #[bpaf(argument("SERVICE"))]
    service: String,
    /// Data centre of the endpoint
    #[bpaf(argument("NAME"))]
    data_centre: String,
    /// Listening address; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Listening address of the control port; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Endpoint listeners of entry hosts, separated by commas
    #[bpaf(argument::<String>("ADDRESSES"), fallback(String::new()), parse(parse_addresses))]
    announce: Vec<SocketAddr>,
    /// The endpoint key
    #[bpaf(argument("KEY"), fallback("endpoint key".to_owned()))]
    key: String,
}

#[derive(Debug, Clone, Bpaf)]
struct Sizes {
    /// Size of the KV memory, in tokens
    #[bpaf(argument("N"), fallback(model::Options::default().memory_tokens))]
    memory_tokens: u64,
    /// Maximum number of requests in the batch
    #[bpaf(argument("N"), fallback(model::Options::default().batch_limit))]
    batch_limit: u32,
    /// Maximum number of waiting requests
    #[bpaf(argument("N"), fallback(model::Options::default().queue_limit))]
    queue_limit: u32,
    /// Token budget of one step
    #[bpaf(argument("N"), fallback(model::Options::default().chunk_tokens))]
    chunk_tokens: u64,
    /// Size of the prefix cache, in tokens
    #[bpaf(argument("N"), fallback(model::Options::default().cache_tokens))]
    cache_tokens: u64,
    /// Fixed cost of a step, in microseconds
    #[bpaf(argument("US"), fallback(500))]
    step_us: u64,
    /// Cost of a prompt token, in nanoseconds
    #[bpaf(argument("NS"), fallback(1_000))]
    prefill_ns: u64,
    /// Cost of a decoded token, in microseconds
    #[bpaf(argument("US"), fallback(20))]
    decode_us: u64,
}

fn parse_addresses(list: String) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    let parts = list.split(',').filter(|part| !part.is_empty());
    parts.map(str::parse).collect()
}

impl From<Identity> for process::Options {
    fn from(identity: Identity) -> Self {
        Self {
            listen: identity.listen,
            control: identity.control,
            announcer: announcer::Options {
                hosts: identity.announce,
                key: identity.key,
                ..announcer::Options::default()
            },
            ..Self::new(&identity.name, &identity.service, &identity.data_centre)
        }
    }
}

impl From<Sizes> for model::Options {
    fn from(sizes: Sizes) -> Self {
        Self {
            memory_tokens: sizes.memory_tokens,
            batch_limit: sizes.batch_limit,
            queue_limit: sizes.queue_limit,
            chunk_tokens: sizes.chunk_tokens,
            cache_tokens: sizes.cache_tokens,
            step: Duration::from_micros(sizes.step_us),
            prefill_token: Duration::from_nanos(sizes.prefill_ns),
            decode_token: Duration::from_micros(sizes.decode_us),
            ..Self::default()
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    match command().run() {
        Command::Engine {
            identity,
            model,
            sizes,
            load_lag_ms,
            cache_lag_ms,
            lose_every,
        } => {
            let options = engine::Options {
                sizes: sizes.into(),
                reports: engine::Reports {
                    load_lag: Duration::from_millis(load_lag_ms),
                    cache_lag: Duration::from_millis(cache_lag_ms),
                    lose_every,
                },
                process: identity.into(),
                ..engine::Options::new("", "", &model, "")
            };
            let engine = engine::Engine::start(options).await?;
            print_addresses(engine.address(), engine.control_address());
            if wait_for_signal().await == Signal::Terminate {
                engine.drain().await;
            }
            engine.shutdown().await;
        }
        Command::Plain { identity, work_ms } => {
            let options = service::Options {
                work: Duration::from_millis(work_ms),
                process: identity.into(),
                ..service::Options::new("", "", "")
            };
            let service = service::Service::start(options).await?;
            print_addresses(service.address(), service.control_address());
            if wait_for_signal().await == Signal::Terminate {
                service.leave().await;
            }
            service.shutdown().await;
        }
    }
    Ok(())
}

fn print_addresses(address: SocketAddr, control: SocketAddr) {
    println!("address={address} control={control}");
}

/// Signal that ended the process: SIGTERM drains the stand-in first, SIGINT stops it at once.
#[derive(Debug, PartialEq, Eq)]
enum Signal {
    Interrupt,
    Terminate,
}

async fn wait_for_signal() -> Signal {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return Signal::Interrupt;
    };
    tokio::select! {
        _ = terminate.recv() => Signal::Terminate,
        _ = tokio::signal::ctrl_c() => Signal::Interrupt,
    }
}
