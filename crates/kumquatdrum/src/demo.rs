//! Replays a trace against three hosts and stand-in endpoints in one process.

use std::net::SocketAddr;
use std::path::Path;

use bpaf::Bpaf;
use indexmap::{IndexMap, IndexSet};
use kumquatdrum_declaration::{self as declared, Declaration, Key, Model, ServiceKind, Workspace};
use kumquatdrum_host::Host;
use kumquatdrum_host::embedded::{self, ENDPOINT_KEY, Specification};
use kumquatdrum_operator::Exit;
use kumquatdrum_replay::prompt::Size;
use kumquatdrum_replay::replay::{Baseline, Options};
use kumquatdrum_replay::{Entry, Mix, trace};
use kumquatdrum_setup::ApplyAnswer;
use kumquatdrum_testing::{Engine, Service, announcer, engine, process, service};
use kumquatdrum_types::{Version, digest};

use crate::cli::json;
use crate::replay;

const TOONIKAART: &str = include_str!("../../../examples/traces/toonikaart.jsonl");
const TREASURY: &str = include_str!("../../../examples/traces/treasury.jsonl");

const MODEL: &str = "demo-model";
const ENGINES_PER_DATA_CENTRE: usize = 3;
/// Exceeds what the longest prompt of the traces needs, so that every prompt fits on one engine.
const ENGINE_MEMORY_TOKENS: u64 = 2_500_000;
const MAX_PROMPT_TOKENS: u64 = 1_500_000;
const DEADLINE_MS: u64 = 600_000;
const AGING_MS: u64 = 3_000;

/// Trace and output:
#[derive(Debug, Clone, Bpaf)]
pub struct Arguments {
    /// Trace to replay: toonikaart or treasury
    #[bpaf(argument::<String>("MIX"), parse(parse_mix), fallback(Mix::Toonikaart))]
    mix: Mix,
    /// Replay the trace within this many seconds; at its recorded pace if absent
    #[bpaf(argument("SECONDS"), guard(|seconds| *seconds > 0.0, "must be above 0"), optional)]
    seconds: Option<f64>,
    /// Factor on the trace's prompt lengths
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    scale: f64,
    #[bpaf(external)]
    json: bool,
}

fn parse_mix(name: String) -> Result<Mix, String> {
    let known = [Mix::Toonikaart, Mix::Treasury];
    let found = known.into_iter().find(|mix| mix.name() == name);
    found.ok_or_else(|| format!("{name} is neither toonikaart nor treasury"))
}

/// An error that keeps the demo from running.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("can't start the runtime or create the data folder: {0}")]
    System(#[from] std::io::Error),
    #[error("can't start a host: {0}")]
    Host(#[from] kumquatdrum_host::StartError),
    #[error("can't start a stand-in endpoint: {0}")]
    StandIn(#[from] kumquatdrum_testing::server::Error),
    #[error("can't read the built-in trace: {0}")]
    Trace(#[from] trace::Error),
    #[error("can't encode the declaration: {0}")]
    Declaration(#[from] serde_json::Error),
    #[error("the declaration was not accepted: {0}")]
    Apply(String),
}

/// Runs the demo and returns [`Exit::Failure`] if one of the report's checks failed.
pub fn run(arguments: &Arguments) -> Exit {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::from);
    match runtime.and_then(|runtime| runtime.block_on(run_demo(arguments))) {
        Ok(exit) => exit,
        Err(reason) => {
            eprintln!("{reason}");
            Exit::Unknown
        }
    }
}

async fn run_demo(arguments: &Arguments) -> Result<Exit, Error> {
    let entries = read_entries(arguments)?;
    let keys = demo_keys(&entries);
    let folder = tempfile::tempdir()?;
    let hosts = start_hosts(arguments.mix, folder.path()).await?;
    apply(&hosts, &declaration(&entries, &keys)).await?;
    let fleet = Fleet::start(&hosts, arguments.mix, &entries).await?;
    let options = Options {
        targets: hosts.iter().map(|host| host.addresses.callers).collect(),
        keys,
        size: Size {
            scale: arguments.scale,
            ..Size::default()
        },
        controls: fleet.controls(),
        baseline: Baseline::ShortAlone,
        ..Options::default()
    };
    let exit = replay::replay_and_report(&entries, &options, arguments.json).await;
    fleet.shutdown().await;
    embedded::stop(hosts).await;
    Ok(exit)
}

fn read_entries(arguments: &Arguments) -> Result<Vec<Entry>, trace::Error> {
    let mut entries = trace::read(match arguments.mix {
        Mix::Toonikaart => TOONIKAART,
        Mix::Treasury => TREASURY,
    })?;
    let last = entries.iter().map(|entry| entry.at_ms).max().unwrap_or(0);
    if let Some(seconds) = arguments.seconds {
        let factor = seconds * 1_000.0 / last.max(1) as f64;
        for entry in &mut entries {
            entry.at_ms = (entry.at_ms as f64 * factor) as u64;
        }
    }
    Ok(entries)
}

/// Returns a key for each key name in the trace.
fn demo_keys(entries: &[Entry]) -> IndexMap<String, String> {
    let names = trace::key_names(entries).into_iter();
    names
        .map(|name| (name.to_owned(), format!("demo key of {name}")))
        .collect()
}

fn data_centres(mix: Mix) -> [&'static str; 3] {
    match mix {
        Mix::Toonikaart => ["hall-raatuse", "hall-ulikooli", "hall-ringtee"],
        Mix::Treasury => ["ikeja", "marina", "lekki"],
    }
}

async fn start_hosts(mix: Mix, folder: &Path) -> Result<Vec<Host>, Error> {
    let specs =
        data_centres(mix).map(|name| Specification::new(format!("host-{name}"), name, true));
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Ok(embedded::start(&specs, folder, &logger).await?)
}

/// Returns a declaration of the workspaces and services that the trace uses.
fn declaration(entries: &[Entry], keys: &IndexMap<String, String>) -> Declaration {
    let workspaces: IndexMap<&str, &str> = entries
        .iter()
        .map(|entry| (entry.workspace.as_str(), entry.key.as_str()))
        .collect();
    let services: IndexMap<&str, bool> = services(entries).into_iter().collect();
    Declaration {
        workspaces: workspaces
            .into_iter()
            .map(|(name, key)| workspace(name, &keys[key]))
            .collect(),
        services: services
            .into_iter()
            .map(|(name, is_plain)| declared_service(name, is_plain))
            .collect(),
        models: vec![Model {
            name: MODEL.into(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            memory_bytes_per_token: 1,
            replicas: (ENGINES_PER_DATA_CENTRE * 3) as u32,
            max_prompt_tokens: MAX_PROMPT_TOKENS,
            bytes_per_token_milli: 4_000,
        }],
        priorities: priorities(entries),
        ..Declaration::default()
    }
}

/// Returns a priority for each level in the trace, named by its number.
fn priorities(entries: &[Entry]) -> Vec<declared::Priority> {
    let levels: IndexSet<u32> = entries.iter().map(|entry| entry.priority).collect();
    let priority = |level: u32| declared::Priority {
        name: level.to_string(),
        level: u8::try_from(level).unwrap_or(u8::MAX),
        aging_ms: AGING_MS,
    };
    levels.into_iter().map(priority).collect()
}

/// Returns the services that the trace uses, and whether each is plain.
fn services(entries: &[Entry]) -> IndexSet<(&str, bool)> {
    entries
        .iter()
        .map(|entry| (entry.service.as_str(), entry.is_plain()))
        .collect()
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![Key {
            sha256: digest::hex(key.as_bytes()),
            note: String::new(),
        }],
        weight: 1,
        limits: declared::Limits::default(),
        services: Vec::new(),
        priority: None,
    }
}

fn declared_service(name: &str, is_plain: bool) -> declared::Service {
    let kind = if is_plain {
        ServiceKind::Plain {}
    } else {
        ServiceKind::Model {
            model: MODEL.into(),
        }
    };
    declared::Service {
        name: name.into(),
        kind,
        deadline_ms: DEADLINE_MS,
        deadline_cap_ms: DEADLINE_MS,
        rules: Vec::new(),
    }
}

async fn apply(hosts: &[Host], declaration: &Declaration) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(declaration)?;
    match embedded::apply(hosts, Version(0), &text).await {
        Ok(ApplyAnswer::Accepted { .. }) => Ok(()),
        Ok(answer) => Err(Error::Apply(format!("{answer:?}"))),
        Err(failure) => Err(Error::Apply(failure.to_string())),
    }
}

/// The stand-in endpoints, spread evenly over the data centres.
#[derive(Default)]
struct Fleet {
    engines: Vec<Engine>,
    plain_services: Vec<Service>,
}

impl Fleet {
    async fn start(hosts: &[Host], mix: Mix, entries: &[Entry]) -> Result<Self, Error> {
        let mut fleet = Self::default();
        for (host, data_centre) in hosts.iter().zip(data_centres(mix)) {
            for (name, is_plain) in services(entries) {
                let site = Site {
                    host: host.addresses.endpoints,
                    data_centre,
                    service: name,
                };
                if is_plain {
                    fleet.plain_services.push(site.start_plain_service().await?);
                    continue;
                }
                for number in 1..=ENGINES_PER_DATA_CENTRE {
                    fleet.engines.push(site.start_engine(number).await?);
                }
            }
        }
        fleet.wait_until_announced().await;
        Ok(fleet)
    }

    /// Waits until each endpoint has been announced once.
    async fn wait_until_announced(&self) {
        let is_announced = || {
            let engines = self.engines.iter().all(|engine| engine.announced() > 0);
            engines
                && self
                    .plain_services
                    .iter()
                    .all(|plain| plain.announced() > 0)
        };
        while !is_announced() {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let engines = self.engines.iter().map(Engine::control_address);
        let plain = self.plain_services.iter().map(Service::control_address);
        engines.chain(plain).collect()
    }

    async fn shutdown(self) {
        for engine in self.engines {
            engine.shutdown().await;
        }
        for plain in self.plain_services {
            plain.shutdown().await;
        }
    }
}

/// The host, data centre and service of a stand-in endpoint.
struct Site<'a> {
    host: SocketAddr,
    data_centre: &'a str,
    service: &'a str,
}

impl Site<'_> {
    async fn start_engine(&self, number: usize) -> Result<Engine, Error> {
        let name = format!("{}-{}-{number}", self.service, self.data_centre);
        let mut options = engine::Options::new(&name, self.service, MODEL, self.data_centre);
        options.sizes.memory_tokens = ENGINE_MEMORY_TOKENS;
        self.configure_announcer(&mut options.process);
        Ok(Engine::start(options).await?)
    }

    async fn start_plain_service(&self) -> Result<Service, Error> {
        let name = format!("{}-{}", self.service, self.data_centre);
        let mut options = service::Options::new(&name, self.service, self.data_centre);
        self.configure_announcer(&mut options.process);
        Ok(Service::start(options).await?)
    }

    fn configure_announcer(&self, process: &mut process::Options) {
        process.announcer = announcer::Options {
            hosts: vec![self.host],
            key: ENDPOINT_KEY.to_owned(),
            ..announcer::Options::default()
        };
    }
}
