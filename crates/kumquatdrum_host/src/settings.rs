//! The settings file of one host.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexSet;
use kumquatdrum_types::{DataCentre, Finding, HostId, digest};
use serde::Deserialize;

/// Everything that one host must be told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The cluster that it belongs to.
    pub cluster: Cluster,
    /// Where it listens.
    pub listen: Listen,
    /// The other hosts that it knows from the start.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// The hosts that keep the replicated log: an odd number, 7 at most.
    pub replicas: Vec<HostId>,
    /// The data folder; required on replicas, and only there.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Who may apply and read back.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// The digest of the key that endpoints announce themselves with.
    pub endpoint_key_sha256: String,
    /// Bounds of this host.
    #[serde(default)]
    pub limits: Limits,
    /// Times of a graceful shutdown.
    #[serde(default)]
    pub drain: Drain,
}

/// The cluster.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Its name.
    pub name: String,
    /// The secret that its daemons prove to each other.
    pub secret: String,
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cluster")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// The listeners, one for each kind of peer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For endpoints' announcements.
    pub endpoints: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For the platform: health, liveness, metrics.
    pub platform: SocketAddr,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its listener for other daemons.
    pub address: SocketAddr,
}

/// An operator.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the audit trail shows.
    pub name: String,
    /// The SHA-256 digest of the operator's key, in lower-case hexadecimal digits.
    pub sha256: String,
}

/// Bounds of one host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The most bytes of bodies held at once.
    pub held_body_bytes: u64,
    /// Threads for requests; 0 takes one for each core.
    pub threads: usize,
    /// Loads a minute that the weight store takes. Whichever host leads keeps it, so it should
    /// be equal on all.
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

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long new requests are served after the health turned red, in milliseconds.
    pub notice_ms: u64,
    /// The longest wait for requests under way, in milliseconds; above the longest deadline.
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

/// The most replicas.
const MOST_REPLICAS: usize = 7;
/// A shorter cluster secret is refused.
const SHORTEST_SECRET: usize = 16;

/// Reads a settings file. All findings come at once, each with its place.
///
/// ```
/// let findings = kumquatdrum_host::settings::parse("{}").unwrap_err();
/// assert_eq!(findings[0].message, "missing field `host` at line 1 column 2");
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        vec![Finding::new(
            pointer(error.path()),
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

fn pointer(path: &serde_path_to_error::Path) -> String {
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

/// What is wrong with settings that could be read.
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
    if replicas.len().is_multiple_of(2) || replicas.len() > MOST_REPLICAS {
        let message = format!("must name an odd number of hosts, {MOST_REPLICAS} at most");
        findings.push(Finding::new("/replicas", message));
    }
    for (place, replica) in replicas.iter().enumerate() {
        let known = *replica == settings.host || settings.hosts.iter().any(|h| h.host == *replica);
        if !known {
            let message = format!("host {replica} stands neither in /hosts nor in /host");
            findings.push(Finding::new(format!("/replicas/{place}"), message));
        }
        if replicas[..place].contains(replica) {
            let message = format!("host {replica} stands twice");
            findings.push(Finding::new(format!("/replicas/{place}"), message));
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
    for (place, host) in settings.hosts.iter().enumerate() {
        if !seen.insert(&host.host) {
            let message = format!("host {} stands twice", host.host);
            findings.push(Finding::new(format!("/hosts/{place}/host"), message));
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
    for (place, (name, address)) in named.iter().enumerate() {
        let taken = named[..place].iter().any(|(_, other)| other == address);
        if taken && address.port() != 0 {
            let message = format!("{address} is another listener's too");
            findings.push(Finding::new(format!("/listen/{name}"), message));
        }
    }
}

fn check_secrets(settings: &Settings, findings: &mut Vec<Finding>) {
    const DIGEST: &str = "must be a SHA-256 digest in 64 lower-case hexadecimal digits";
    if settings.cluster.secret.len() < SHORTEST_SECRET {
        let message = format!("must have at least {SHORTEST_SECRET} bytes");
        findings.push(Finding::new("/cluster/secret", message));
    }
    if !digest::is_hex(&settings.endpoint_key_sha256) {
        findings.push(Finding::new("/endpoint_key_sha256", DIGEST));
    }
    for (place, operator) in settings.operators.iter().enumerate() {
        if !digest::is_hex(&operator.sha256) {
            let place = format!("/operators/{place}/sha256");
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
