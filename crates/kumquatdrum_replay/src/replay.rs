//! Sends a trace to a running system and judges each answer.

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

/// Requests are made this long before they are sent, as long prompts take a while to make.
const PREPARATION: Duration = Duration::from_millis(300);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// To whom and how a trace is replayed.
#[derive(Debug, Clone)]
pub struct Options {
    /// The callers' listeners of entry hosts, taken in turn.
    pub targets: Vec<SocketAddr>,
    /// Endpoints by service, taken in turn: where there are any, requests go straight to them, past
    /// the system, for a comparison.
    pub endpoints: IndexMap<String, Vec<SocketAddr>>,
    /// Workspace keys by the names that the trace uses.
    pub keys: IndexMap<String, String>,
    /// How long prompts are.
    pub size: Size,
    /// What tells this replay from every other one against the same system.
    pub run: String,
    /// Added to deadlines for the way back to the caller.
    pub slack: Duration,
    /// Control ports of stand-ins, whose counts are compared with the answers.
    pub controls: Vec<SocketAddr>,
    /// What the short requests' first-token times are compared with.
    pub baseline: Baseline,
    /// The longest prompt of a short request, in the trace's tokens.
    pub short_limit: u64,
}

/// What the short requests' first-token times are compared with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Baseline {
    /// Nothing.
    #[default]
    None,
    /// A replay, before the main one, of the trace without its longer requests.
    ShortAlone,
    /// This many short requests, one after the other, sent to the idle system before the replay;
    /// the trace's percentiles are then taken over the probes' median.
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

/// A replay that can't be made.
#[derive(Debug, Error)]
pub enum Error {
    /// The trace has no requests.
    #[error("the trace is empty")]
    Empty,
    /// No target.
    #[error("no target is given")]
    NoTarget,
    /// Services that the trace asks have no endpoint to go straight to.
    #[error("no endpoint is given for {}", .0.join(", "))]
    MissingEndpoints(Vec<String>),
    /// Keys that the trace uses aren't given.
    #[error("no key is given for {}", .0.join(", "))]
    MissingKeys(Vec<String>),
    /// A stand-in's counts can't be read.
    #[error("the counts of a stand-in can't be read: {0}")]
    Counters(reqwest::Error),
    /// The HTTP client can't be made.
    #[error("the HTTP client can't be made: {0}")]
    Client(reqwest::Error),
}

/// Replays a trace.
pub async fn run(trace: &[Entry], options: &Options) -> Result<Report, Error> {
    check(trace, options)?;
    let http = reqwest::Client::builder()
        .tcp_nodelay(true)
        .pool_max_idle_per_host(usize::MAX)
        .build()
        .map_err(Error::Client)?;
    let baseline = baseline(&http, trace, options).await;
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

fn check(trace: &[Entry], options: &Options) -> Result<(), Error> {
    match () {
        () if trace.is_empty() => Err(Error::Empty),
        () if !options.endpoints.is_empty() => check_endpoints(trace, options),
        () if options.targets.is_empty() => Err(Error::NoTarget),
        () => check_keys(trace, options),
    }
}

fn check_endpoints(trace: &[Entry], options: &Options) -> Result<(), Error> {
    let has_some = |service: &str| {
        let endpoints = options.endpoints.get(service);
        endpoints.is_some_and(|endpoints| !endpoints.is_empty())
    };
    let missing: IndexSet<&str> = trace
        .iter()
        .map(|entry| entry.service.as_str())
        .filter(|service| !has_some(service))
        .collect();
    if missing.is_empty() {
        Ok(())
    } else {
        Err(Error::MissingEndpoints(owned(missing)))
    }
}

fn owned<'n>(names: impl IntoIterator<Item = &'n str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}

fn check_keys(trace: &[Entry], options: &Options) -> Result<(), Error> {
    let missing = owned(
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

/// First-token times of short requests without long ones present.
async fn baseline(
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
            // Spread over all of them, as their lengths differ.
            let step = (short.len() / count.max(1) as usize).max(1);
            let probed = short.iter().cycle().step_by(step);
            for (number, &(index, entry)) in (0..count).zip(probed) {
                let probe = Probe {
                    index,
                    entry: Entry {
                        idempotent: true,
                        idempotency_key: None,
                        ..entry.clone()
                    },
                    name: format!("{run}-{number}"),
                };
                let request = probe.request(options, &run);
                records.push(probe.record(http, request).await);
            }
            Some(records)
        }
    }
}

/// Whether a request counts as short.
pub(crate) fn is_short(entry: &Entry, short_limit: u64) -> bool {
    !entry.is_plain() && entry.prompt_tokens <= short_limit
}

/// One request about to be sent.
struct Probe {
    index: usize,
    entry: Entry,
    name: String,
}

impl Probe {
    fn target(&self, options: &Options) -> SocketAddr {
        let endpoints = options.endpoints.get(&self.entry.service);
        let choice = endpoints.unwrap_or(&options.targets);
        choice[self.index % choice.len()]
    }

    /// The workspace's key; none for a request straight to an endpoint.
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

    async fn record(&self, http: &reqwest::Client, request: Request) -> Record {
        let seen: Observation = client::send(http, &request).await;
        let identity: Identity = request.identity().clone();
        Record {
            index: self.index,
            identity,
            seen,
        }
    }
}

/// Sends the entries that `keep` keeps, each at its time, and waits for all answers.
async fn send_all(
    http: &reqwest::Client,
    trace: &[Entry],
    options: &Options,
    run: &str,
    keep: impl Fn(&Entry) -> bool,
) -> Vec<Record> {
    let shared = Arc::new((options.clone(), run.to_owned()));
    let mut order: Vec<usize> = (0..trace.len())
        .filter(|index| keep(&trace[*index]))
        .collect();
    order.sort_by_key(|index| trace[*index].at_ms);
    let zero = Instant::now() + PREPARATION;
    let mut progress = Progress::new(order.len());
    let mut tasks = JoinSet::new();
    let mut records = Vec::with_capacity(order.len());
    for index in order {
        let at = zero + Duration::from_millis(trace[index].at_ms);
        sleep_until(at - PREPARATION).await;
        let named = trace[index].resend_of.unwrap_or(index);
        let probe = Probe {
            index,
            entry: trace[index].clone(),
            name: format!("{run}-{named}"),
        };
        tasks.spawn(send_at(http.clone(), probe, Arc::clone(&shared), at));
        while let Some(ended) = tasks.try_join_next() {
            records.extend(ended);
        }
        progress.show(records.len());
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended);
        progress.show(records.len());
    }
    progress.end();
    records
}

async fn send_at(
    http: reqwest::Client,
    probe: Probe,
    shared: Arc<(Options, String)>,
    at: Instant,
) -> Record {
    let probe = Arc::new(probe);
    let made = Arc::clone(&probe);
    let (options, run) = (Arc::clone(&shared), shared);
    let request = tokio::task::spawn_blocking(move || made.request(&options.0, &run.1))
        .await
        .expect("making a request doesn't panic");
    sleep_until(at).await;
    probe.record(&http, request).await
}

/// Progress on a terminal, and nowhere else.
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

    fn show(&mut self, done: usize) {
        let is_due = self
            .shown_at
            .is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL);
        if self.is_terminal && is_due {
            self.shown_at = Some(Instant::now());
            let _ = write!(stderr(), "\r{done} of {} answered", self.total);
        }
    }

    fn end(&self) {
        if self.is_terminal {
            let _ = writeln!(stderr(), "\r{0} of {0} answered", self.total);
        }
    }
}
