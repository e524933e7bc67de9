//! Sends load at a fixed rate through a daemon and straight to an engine in one run.
//!
//! Both paths get the same requests at the same rate, interleaved, so that other activity of the
//! machine affects both. Load is sent to loopback addresses only, and bounded in rate, count and
//! duration.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::client::{self, Request, Route};
use crate::latency::{Quantiles, Ratio, Recorder};
use crate::outcome::{Observation, Outcome};
use crate::prompt::Size;
use crate::trace::{Entry, Expectation};
use crate::usage::Usage;

/// Maximum rate of one path, in requests per second.
pub const MAX_RATE: f64 = 5_000.0;
/// Maximum number of requests on one path.
pub const MAX_COUNT: usize = 100_000;
/// Maximum time for which requests are sent.
pub const MAX_DURATION: Duration = Duration::from_secs(120);

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path through the daemon.
    pub through: Path,
    /// Path straight to an engine.
    pub straight: Path,
    /// Requests per second on each path.
    pub rate: f64,
    /// Number of requests on each path.
    pub count: usize,
    /// Number of first requests that aren't measured, as they open the connections.
    pub warm_up: usize,
    /// Length of each prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of each answer, in tokens.
    pub max_tokens: u32,
    /// Bytes of prompt text per token.
    pub bytes_per_token: f64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Process id of the daemon, to measure its CPU time and memory.
    pub pid: Option<u32>,
}

/// One path to an engine.
#[derive(Debug, Clone)]
pub struct Path {
    /// Address to send to.
    pub address: SocketAddr,
    /// Requested service.
    pub service: String,
    /// Workspace's key; `None` for the path straight to an engine.
    pub key: Option<String>,
}

/// Reason why a load run fails.
#[derive(Debug, Error)]
pub enum Error {
    /// The address isn't a loopback address.
    #[error("load is sent to loopback addresses only, not to {0}")]
    NotLoopback(SocketAddr),
    /// The rate is out of bounds.
    #[error("the rate must be above 0 and at most {MAX_RATE} requests per second")]
    InvalidRate,
    /// The count is out of bounds.
    #[error("the count must exceed the warm-up and be at most {MAX_COUNT} requests")]
    InvalidCount,
    /// The run would take too long.
    #[error("the load would take longer than {} s", MAX_DURATION.as_secs())]
    TooLong,
    /// The HTTP client can't be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The daemon's CPU time or memory can't be read.
    #[error("cannot read the CPU time and memory of the daemon: {0}")]
    Usage(#[from] std::io::Error),
}

/// Results of both paths.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Requests per second on each path.
    pub rate: f64,
    /// Tokens per second on each path.
    pub tokens_per_second: f64,
    /// Path through the daemon.
    pub through: Summary,
    /// Path straight to an engine.
    pub straight: Summary,
    /// First-token times through the daemon divided by those of the straight path.
    pub first_token_ratio: Option<Ratio>,
    /// Times of complete answers through the daemon divided by those of the straight path.
    pub total_ratio: Option<Ratio>,
    /// CPU and memory of the daemon, if its process id was given.
    pub daemon: Option<Daemon>,
}

/// Results of one path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Complete answers.
    pub finished: u64,
    /// All other outcomes.
    pub others: u64,
    /// Errors by code.
    pub codes: IndexMap<String, u64>,
    /// First-token times of complete answers.
    pub first_token: Quantiles,
    /// Times of complete answers.
    pub total: Quantiles,
}

/// CPU and memory of the daemon under load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Daemon {
    /// CPU time as a share of one core.
    pub core_share: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: u64,
}

/// Sends the load and compares the paths.
pub async fn run(options: &Options) -> Result<Comparison, Error> {
    validate(options)?;
    let through = reqwest::Client::builder().tcp_nodelay(true).build()?;
    let straight = reqwest::Client::builder().tcp_nodelay(true).build()?;
    let before = options.pid.map(Usage::read).transpose()?;
    let start = Instant::now();
    let (through, straight) = send(options, &through, &straight).await;
    let elapsed = start.elapsed();
    let after = options.pid.map(Usage::read).transpose()?;
    Ok(Comparison {
        rate: options.rate,
        tokens_per_second: options.rate
            * (options.prompt_tokens as f64 + f64::from(options.max_tokens)),
        first_token_ratio: through.first_token.ratio_to(&straight.first_token),
        total_ratio: through.total.ratio_to(&straight.total),
        through,
        straight,
        daemon: before.zip(after).map(|(before, after)| Daemon {
            core_share: after.core_share(&before, elapsed),
            resident_bytes: after.resident_bytes,
        }),
    })
}

fn validate(options: &Options) -> Result<(), Error> {
    let addresses = [options.through.address, options.straight.address];
    let remote = addresses
        .into_iter()
        .find(|address| !address.ip().is_loopback());
    let seconds = options.count as f64 / options.rate;
    match remote {
        Some(address) => Err(Error::NotLoopback(address)),
        None if !(options.rate > 0.0 && options.rate <= MAX_RATE) => Err(Error::InvalidRate),
        None if options.count <= options.warm_up || options.count > MAX_COUNT => {
            Err(Error::InvalidCount)
        }
        None if seconds > MAX_DURATION.as_secs_f64() => Err(Error::TooLong),
        None => Ok(()),
    }
}

async fn send(
    options: &Options,
    through: &reqwest::Client,
    straight: &reqwest::Client,
) -> (Summary, Summary) {
    let run = unique_run_name();
    let period = Duration::from_secs_f64(1.0 / options.rate);
    let start = Instant::now();
    let mut paths = [
        Sender::new(&options.through, through, "through"),
        Sender::new(&options.straight, straight, "straight"),
    ];
    for index in 0..options.count {
        for (path_index, path) in paths.iter_mut().enumerate() {
            let at = start + period * index as u32 + period / 2 * path_index as u32;
            sleep_until(at).await;
            path.send(options, &run, index);
        }
    }
    let [through, straight] = paths;
    (through.join().await, straight.join().await)
}

fn unique_run_name() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("load-{:x}", since.map_or(0, |elapsed| elapsed.as_micros()))
}

/// Sends the requests of one path.
struct Sender<'a> {
    path: &'a Path,
    http: &'a reqwest::Client,
    name: &'static str,
    tasks: JoinSet<Option<Observation>>,
}

impl<'a> Sender<'a> {
    fn new(path: &'a Path, http: &'a reqwest::Client, name: &'static str) -> Self {
        Self {
            path,
            http,
            name,
            tasks: JoinSet::new(),
        }
    }

    fn send(&mut self, options: &Options, run: &str, index: usize) {
        let name = format!("{run}-{}-{index}", self.name);
        let route = Route {
            target: self.path.address,
            bearer: self.path.key.as_deref(),
            name: &name,
            run,
            size: Size {
                scale: 1.0,
                bytes_per_token: options.bytes_per_token,
            },
        };
        let request = Request::new(&build_entry(options, self.path), &route);
        let http = self.http.clone();
        let is_measured = index >= options.warm_up;
        self.tasks.spawn(async move {
            let observation = client::send(&http, &request).await;
            is_measured.then_some(observation)
        });
    }

    async fn join(mut self) -> Summary {
        let mut first_token = Recorder::default();
        let mut total = Recorder::default();
        let mut codes: IndexMap<String, u64> = IndexMap::new();
        let mut others = 0;
        while let Some(ended) = self.tasks.join_next().await {
            match ended.ok().flatten() {
                Some(observation) if observation.outcome == Outcome::Finished => {
                    first_token.record(observation.first_token.unwrap_or(observation.total));
                    total.record(observation.total);
                }
                Some(observation) => {
                    others += 1;
                    *codes
                        .entry(observation.code.unwrap_or_default())
                        .or_default() += 1;
                }
                None => {}
            }
        }
        Summary {
            finished: total.quantiles().count,
            others,
            codes,
            first_token: first_token.quantiles(),
            total: total.quantiles(),
        }
    }
}

/// Builds the trace entry of the requests on a path.
fn build_entry(options: &Options, path: &Path) -> Entry {
    Entry {
        at_ms: 0,
        workspace: String::new(),
        key: String::new(),
        service: path.service.clone(),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        prompt_tokens: options.prompt_tokens,
        max_tokens: options.max_tokens,
        priority: 0,
        deadline_ms: options.deadline.as_millis() as u64,
        idempotent: true,
        idempotency_key: None,
        resend_of: None,
        prefix: None,
        prefix_tokens: 0,
        expect: Expectation::Finished,
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.0} requests/s, {:.0} tokens/s on each path",
            self.rate, self.tokens_per_second
        )?;
        writeln!(
            f,
            "{:<24}{:>8} {:>10} {:>10} {:>10}",
            "ms", "count", "p50", "p95", "p99"
        )?;
        for (name, path) in [("through", &self.through), ("straight", &self.straight)] {
            writeln!(
                f,
                "{:<24}{}",
                format!("{name}, first token"),
                path.first_token
            )?;
            writeln!(f, "{:<24}{}", format!("{name}, whole answer"), path.total)?;
            writeln!(
                f,
                "{:<24}{:>8} {:?}",
                format!("{name}, others"),
                path.others,
                path.codes
            )?;
        }
        if let Some(ratio) = &self.first_token_ratio {
            writeln!(f, "first token, through over straight: {ratio}")?;
        }
        if let Some(ratio) = &self.total_ratio {
            writeln!(f, "whole answer, through over straight: {ratio}")?;
        }
        match &self.daemon {
            Some(daemon) => write!(
                f,
                "daemon: {:.1}% of a core, {:.1} MB resident",
                daemon.core_share * 100.0,
                daemon.resident_bytes as f64 / 1e6
            ),
            None => write!(f, "daemon: not measured"),
        }
    }
}
