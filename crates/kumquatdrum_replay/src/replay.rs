//! Sends a trace to a running system and checks each answer.

use std::io::{IsTerminal, Write, stderr};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::client::{self, Identity, Request, Route};
use crate::counters;
use crate::outcome::Observation;
use crate::prompt::Size;
use crate::report::{Record, Report};
use crate::trace::{Entry, key_names};

/// Time before sending at which a request is built, as long prompts take a while to generate.
const PREPARATION_TIME: Duration = Duration::from_millis(300);
/// Time between two updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Targets and parameters of a replay.
#[derive(Debug, Clone)]
pub struct Options {
    /// Caller listeners of entry hosts, used in turn.
    pub targets: Vec<SocketAddr>,
    /// Endpoints by service, used in turn. If any are given, requests are sent straight to them
    /// instead of to the system.
    pub endpoints: IndexMap<String, Vec<SocketAddr>>,
    /// Workspace keys by their names in the trace.
    pub keys: IndexMap<String, String>,
    /// Scale of the prompts.
    pub size: Size,
    /// Name of the replay, unique among all replays against the same system.
    pub run: String,
    /// Time added to deadlines to allow for the transport of answers.
    pub slack: Duration,
    /// Control ports of stand-ins whose counts are compared with the answers.
    pub controls: Vec<SocketAddr>,
    /// Baseline for the first-token times of short requests.
    pub baseline: Baseline,
    /// Maximum prompt length of a short request, in unscaled tokens.
    pub short_limit: u64,
}

/// Baseline for the first-token times of short requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Baseline {
    /// No baseline.
    #[default]
    None,
    /// A preceding replay of the short requests alone.
    ShortAlone,
    /// This many short requests, sent one after the other to the idle system before the replay.
    /// All percentiles of the replay are divided by the median of these probes.
    IdleProbe(u32),
}

impl Default for Options {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.map_or(0, |elapsed| elapsed.as_micros());
        Self {
            targets: Vec::new(),
            endpoints: IndexMap::new(),
            keys: IndexMap::new(),
            size: Size::default(),
            run: format!("run-{micros:x}"),
            slack: Duration::from_millis(500),
            controls: Vec::new(),
            baseline: Baseline::None,
            short_limit: 4_096,
        }
    }
}

/// Reason why a replay fails.
#[derive(Debug, Error)]
pub enum Error {
    /// The trace is empty.
    #[error("the trace is empty")]
    Empty,
    /// No target is given.
    #[error("no target is given")]
    NoTarget,
    /// Services of the trace have no endpoint.
    #[error("no endpoint is given for {}", .0.join(", "))]
    MissingEndpoints(Vec<String>),
    /// Keys of the trace are missing.
    #[error("no key is given for {}", .0.join(", "))]
    MissingKeys(Vec<String>),
    /// The counts of a stand-in can't be read.
    #[error("cannot read the counts of a stand-in: {0}")]
    Counters(reqwest::Error),
    /// The HTTP client can't be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(reqwest::Error),
}

/// Replays a trace.
pub async fn run(trace: &[Entry], options: &Options) -> Result<Report, Error> {
    validate(trace, options)?;
    let http = reqwest::Client::builder()
        .tcp_nodelay(true)
        .pool_max_idle_per_host(usize::MAX)
        .build()
        .map_err(Error::Client)?;
    let baseline = measure_baseline(&http, trace, options).await;
    let started = Instant::now();
    let mut records = send_all(&http, trace, options, &options.run, |_| true).await;
    let elapsed = started.elapsed();
    records.sort_by_key(|record| record.index);
    let counts = match options.controls.as_slice() {
        [] => None,
        controls => Some(
            counters::read(&http, controls)
                .await
                .map_err(Error::Counters)?,
        ),
    };
    Ok(Report::new(
        trace,
        &records,
        options,
        counts.as_ref(),
        baseline.as_ref(),
        elapsed,
    ))
}

fn validate(trace: &[Entry], options: &Options) -> Result<(), Error> {
    match () {
        () if trace.is_empty() => Err(Error::Empty),
        () if !options.endpoints.is_empty() => validate_endpoints(trace, options),
        () if options.targets.is_empty() => Err(Error::NoTarget),
        () => validate_keys(trace, options),
    }
}

fn validate_endpoints(trace: &[Entry], options: &Options) -> Result<(), Error> {
    let has_endpoint = |service: &str| {
        let endpoints = options.endpoints.get(service);
        endpoints.is_some_and(|endpoints| !endpoints.is_empty())
    };
    let missing: IndexSet<&str> = trace
        .iter()
        .map(|entry| entry.service.as_str())
        .filter(|service| !has_endpoint(service))
        .collect();
    if missing.is_empty() {
        Ok(())
    } else {
        Err(Error::MissingEndpoints(to_owned_names(missing)))
    }
}

fn to_owned_names<'n>(names: impl IntoIterator<Item = &'n str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}

fn validate_keys(trace: &[Entry], options: &Options) -> Result<(), Error> {
    let missing = to_owned_names(
        key_names(trace)
            .into_iter()
            .filter(|name| !options.keys.contains_key(*name)),
    );
    if missing.is_empty() {
        Ok(())
    } else {
        Err(Error::MissingKeys(missing))
    }
}

/// Sends the short requests of the baseline.
async fn measure_baseline(
    http: &reqwest::Client,
    trace: &[Entry],
    options: &Options,
) -> Option<Vec<Record>> {
    let is_short = |entry: &Entry| is_short(entry, options.short_limit);
    let run = format!("{}-base", options.run);
    match options.baseline {
        Baseline::None => None,
        Baseline::ShortAlone => Some(send_all(http, trace, options, &run, is_short).await),
        Baseline::IdleProbe(count) => {
            let short: Vec<_> = trace
                .iter()
                .enumerate()
                .filter(|(_, entry)| is_short(entry))
                .collect();
            let mut records = Vec::new();
            // Probes are spread over all short requests, as prompt lengths differ.
            let step = (short.len() / count.max(1) as usize).max(1);
            let entries = short.iter().cycle().step_by(step);
            for (number, &(index, entry)) in (0..count).zip(entries) {
                let job = Job {
                    index,
                    entry: Entry {
                        idempotent: true,
                        idempotency_key: None,
                        ..entry.clone()
                    },
                    name: format!("{run}-{number}"),
                };
                let request = job.request(options, &run);
                records.push(job.record(http, request).await);
            }
            Some(records)
        }
    }
}

/// Returns whether a request counts as short.
pub(crate) fn is_short(entry: &Entry, short_limit: u64) -> bool {
    !entry.is_plain() && entry.prompt_tokens <= short_limit
}

/// One request to be sent.
struct Job {
    index: usize,
    entry: Entry,
    name: String,
}

impl Job {
    /// Returns the address to send to.
    fn target(&self, options: &Options) -> SocketAddr {
        let endpoints = options.endpoints.get(&self.entry.service);
        let targets = endpoints.unwrap_or(&options.targets);
        targets[self.index % targets.len()]
    }

    /// Returns the workspace's key; `None` for a request straight to an endpoint.
    fn bearer<'o>(&self, options: &'o Options) -> Option<&'o str> {
        let key = options.keys.get(&self.entry.key);
        key.filter(|_| options.endpoints.is_empty())
            .map(String::as_str)
    }

    fn request(&self, options: &Options, run: &str) -> Request {
        let route = Route {
            target: self.target(options),
            bearer: self.bearer(options),
            name: &self.name,
            run,
            size: options.size,
        };
        Request::new(&self.entry, &route)
    }

    /// Sends the request and records the observation.
    async fn record(&self, http: &reqwest::Client, request: Request) -> Record {
        let observation: Observation = client::send(http, &request).await;
        let identity: Identity = request.identity().clone();
        Record {
            index: self.index,
            identity,
            observation,
        }
    }
}

/// Sends the entries for which `is_included` holds, each at its time, and waits for all answers.
async fn send_all(
    http: &reqwest::Client,
    trace: &[Entry],
    options: &Options,
    run: &str,
    is_included: impl Fn(&Entry) -> bool,
) -> Vec<Record> {
    let shared = Arc::new((options.clone(), run.to_owned()));
    let mut indices: Vec<usize> = (0..trace.len())
        .filter(|index| is_included(&trace[*index]))
        .collect();
    indices.sort_by_key(|index| trace[*index].at_ms);
    let started_at = Instant::now() + PREPARATION_TIME;
    let mut progress = Progress::new(indices.len());
    let mut tasks = JoinSet::new();
    let mut records = Vec::with_capacity(indices.len());
    for index in indices {
        let at = started_at + Duration::from_millis(trace[index].at_ms);
        sleep_until(at - PREPARATION_TIME).await;
        let original = trace[index].resend_of.unwrap_or(index);
        let job = Job {
            index,
            entry: trace[index].clone(),
            name: format!("{run}-{original}"),
        };
        tasks.spawn(send_at(http.clone(), job, Arc::clone(&shared), at));
        while let Some(ended) = tasks.try_join_next() {
            records.extend(ended);
        }
        progress.show(records.len());
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended);
        progress.show(records.len());
    }
    progress.finish();
    records
}

/// Builds a request ahead of time and sends it at `at`.
async fn send_at(
    http: reqwest::Client,
    job: Job,
    shared: Arc<(Options, String)>,
    at: Instant,
) -> Record {
    let job = Arc::new(job);
    let builder = Arc::clone(&job);
    let (options, run) = (Arc::clone(&shared), shared);
    let request = tokio::task::spawn_blocking(move || builder.request(&options.0, &run.1))
        .await
        .expect("building a request doesn't panic");
    sleep_until(at).await;
    job.record(&http, request).await
}

/// Shows the progress of a replay if standard error is a terminal.
struct Progress {
    total: usize,
    shown_at: Option<Instant>,
    is_terminal: bool,
}

impl Progress {
    fn new(total: usize) -> Self {
        Self {
            total,
            shown_at: None,
            is_terminal: stderr().is_terminal(),
        }
    }

    fn show(&mut self, answered: usize) {
        let is_due = self
            .shown_at
            .is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL);
        if self.is_terminal && is_due {
            self.shown_at = Some(Instant::now());
            let _ = write!(stderr(), "\r{answered} of {} answered", self.total);
        }
    }

    fn finish(&self) {
        if self.is_terminal {
            let _ = writeln!(stderr(), "\r{0} of {0} answered", self.total);
        }
    }
}
