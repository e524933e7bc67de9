//! Types, parser and checks of a host's settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexSet;
use kumquatdrum_types::{DataCentre, Finding, HostId, digest};
use serde::Deserialize;

/// The settings of one host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this host.
    pub host: HostId,
    /// The data centre of this host.
    pub data_centre: DataCentre,
    /// The cluster of this host.
    pub cluster: Cluster,
    /// The addresses of the listeners.
    pub listen: Listeners,
    /// The other hosts of the cluster that are known at startup.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// The hosts with a replica of the log: an odd number, at most 7.
    pub replicas: Vec<HostId>,
    /// The data folder; required on replicas and refused elsewhere.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The operators that can apply and read declarations.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// The SHA-256 digest of the key with which endpoints announce themselves.
    pub endpoint_key_sha256: String,
    /// The limits of this host.
    #[serde(default)]
    pub limits: Limits,
    /// The timeouts of a graceful shutdown.
    #[serde(default)]
    pub drain: Drain,
}

/// The cluster of a host.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The name of the cluster.
    pub name: String,
    /// The shared secret by which daemons authenticate each other.
    pub secret: String,
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cluster")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// The addresses of the listeners, one per kind of client.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listeners {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for announcements of endpoints.
    pub endpoints: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The listener for other daemons.
    pub peers: SocketAddr,
    /// The listener for the platform: readiness, liveness and metrics.
    pub platform: SocketAddr,
}

/// Another host of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name of the host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The address of the host's listener for other daemons.
    pub address: SocketAddr,
}

/// An operator of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name in the audit trail.
    pub name: String,
    /// The SHA-256 digest of the operator's key, in lower-case hexadecimal digits.
    pub sha256: String,
}

/// The limits of one host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum length of a request body.
    pub body_bytes: u64,
    /// The maximum number of body bytes held at once.
    pub held_body_bytes: u64,
    /// The number of worker threads; 0 means one per core.
    pub threads: usize,
    /// The number of loads per minute that the weight store permits. Enforced by the leader, so it
    /// should be equal on all hosts.
    pub loads_per_minute: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 32 << 20,
            held_body_bytes: 512 << 20,
            threads: 0,
            loads_per_minute: 12,
        }
    }
}

/// The timeouts of a graceful shutdown.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long new requests are served after readiness turns false, in milliseconds.
    pub notice_ms: u64,
    /// The longest wait for requests in flight, in milliseconds; must exceed the longest deadline.
    pub longest_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            notice_ms: 2_000,
            longest_ms: 900_000,
        }
    }
}

const MAX_REPLICAS: usize = 7;
const MIN_SECRET_BYTES: usize = 16;

/// Parses and checks the text of a settings file.
///
/// ```
/// let findings = kumquatdrum_host::settings::parse("{}").unwrap_err();
/// assert_eq!(findings[0].message, "missing field `host` at line 1 column 2");
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        vec![Finding::new(
            format_pointer(error.path()),
            error.inner().to_string(),
        )]
    })?;
    reader
        .end()
        .map_err(|error| vec![Finding::new("", error.to_string())])?;
    let findings = check(&settings);
    if findings.is_empty() {
        return Ok(settings);
    }
    Err(findings)
}

fn format_pointer(path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    path.iter()
        .map(|segment| match segment {
            Segment::Seq { index } => format!("/{index}"),
            Segment::Map { key } => format!("/{key}"),
            Segment::Enum { variant } => format!("/{variant}"),
            Segment::Unknown => "/?".to_owned(),
        })
        .collect()
}

/// Returns the findings of the semantic checks.
pub fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_replicas(settings, &mut findings);
    check_hosts(settings, &mut findings);
    check_listeners(settings, &mut findings);
    check_secrets(settings, &mut findings);
    check_limits(settings, &mut findings);
    findings
}

fn check_replicas(settings: &Settings, findings: &mut Vec<Finding>) {
    let replicas = &settings.replicas;
    if replicas.len().is_multiple_of(2) || replicas.len() > MAX_REPLICAS {
        let message = format!("must name an odd number of hosts, at most {MAX_REPLICAS}");
        findings.push(Finding::new("/replicas", message));
    }
    for (index, replica) in replicas.iter().enumerate() {
        let is_known =
            *replica == settings.host || settings.hosts.iter().any(|h| h.host == *replica);
        if !is_known {
            let message = format!("host {replica} is neither in /hosts nor in /host");
            findings.push(Finding::new(format!("/replicas/{index}"), message));
        }
        if replicas[..index].contains(replica) {
            let message = format!("host {replica} is listed twice");
            findings.push(Finding::new(format!("/replicas/{index}"), message));
        }
    }
    let is_replica = replicas.contains(&settings.host);
    match settings.data {
        None if is_replica => findings.push(Finding::new("/data", "a replica needs a data folder")),
        Some(_) if !is_replica => {
            findings.push(Finding::new("/data", "only replicas have a data folder"));
        }
        _ => {}
    }
}

fn check_hosts(settings: &Settings, findings: &mut Vec<Finding>) {
    let mut seen = IndexSet::from([&settings.host]);
    for (index, host) in settings.hosts.iter().enumerate() {
        if !seen.insert(&host.host) {
            let message = format!("host {} is listed twice", host.host);
            findings.push(Finding::new(format!("/hosts/{index}/host"), message));
        }
    }
}

fn check_listeners(settings: &Settings, findings: &mut Vec<Finding>) {
    let listen = &settings.listen;
    let named = [
        ("callers", listen.callers),
        ("endpoints", listen.endpoints),
        ("operators", listen.operators),
        ("peers", listen.peers),
        ("platform", listen.platform),
    ];
    for (index, (name, address)) in named.iter().enumerate() {
        let is_taken = named[..index].iter().any(|(_, other)| other == address);
        if is_taken && address.port() != 0 {
            let message = format!("{address} is also the address of another listener");
            findings.push(Finding::new(format!("/listen/{name}"), message));
        }
    }
}

fn check_secrets(settings: &Settings, findings: &mut Vec<Finding>) {
    const DIGEST: &str = "must be a SHA-256 digest in 64 lower-case hexadecimal digits";
    if settings.cluster.secret.len() < MIN_SECRET_BYTES {
        let message = format!("must have at least {MIN_SECRET_BYTES} bytes");
        findings.push(Finding::new("/cluster/secret", message));
    }
    if !digest::is_hex(&settings.endpoint_key_sha256) {
        findings.push(Finding::new("/endpoint_key_sha256", DIGEST));
    }
    for (index, operator) in settings.operators.iter().enumerate() {
        if !digest::is_hex(&operator.sha256) {
            let place = format!("/operators/{index}/sha256");
            findings.push(Finding::new(place, DIGEST));
        }
    }
}

fn check_limits(settings: &Settings, findings: &mut Vec<Finding>) {
    let limits = &settings.limits;
    if limits.body_bytes == 0 {
        findings.push(Finding::new("/limits/body_bytes", "must be above 0"));
    }
    if limits.loads_per_minute == 0 {
        findings.push(Finding::new("/limits/loads_per_minute", "must be above 0"));
    }
    if limits.held_body_bytes < limits.body_bytes {
        let message = "must be at least /limits/body_bytes";
        findings.push(Finding::new("/limits/held_body_bytes", message));
    }
}
