//! A gateway host's settings file.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use kumquatdrum_types::{DataCentre, Finding, HostId};
use serde::Deserialize;

/// A gateway host's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The host's name in logs.
    pub name: String,
    /// Its address, by which other hosts know it.
    pub address: IpAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whom it takes requests from.
    pub listen: Listen,
    /// The first of the ports that hosts use among themselves: frames. The next one takes
    /// datagrams.
    pub peer_port: u16,
    /// Control listeners of some hosts, as they were when the file was written.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keeps the replicated setup; absent on hosts without a disk.
    #[serde(default)]
    pub replica: Option<Replica>,
    /// The cluster.
    pub cluster: Cluster,
    /// How often an endpoint announces itself, in milliseconds.
    pub announcement_ms: u64,
    /// How many replicas may be lost at once.
    #[serde(default = "one")]
    pub lost_replicas: usize,
    /// Retries that all hosts may make together.
    #[serde(default)]
    pub retries: Retries,
    /// The longest that engines' memory may lie unused, in milliseconds.
    #[serde(default = "unused")]
    pub unused_memory_ms: u64,
    /// How long a stop may take, in milliseconds.
    pub stop_ms: u64,
}

/// Listeners; those that are absent stay closed.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listen {
    /// Callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// The balancer's question whether this host takes callers.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Operators and endpoints.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// A replica's part of the settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Replica {
    /// The data folder.
    pub data: PathBuf,
    /// The seeds found a cluster, where all of them are new.
    pub found: bool,
}

/// What hosts of one cluster share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Its name.
    pub name: String,
    /// Its secret, by which hosts prove that they belong to it.
    pub secret: String,
}

/// Retries that all hosts may make together, for each service.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Retries {
    /// As a share of requests.
    pub ratio: f64,
    /// Beside that share, in a window.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

impl Default for Retries {
    /// A tenth of the requests, and a few beside: what makes no storm of a fault.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_s: 10.0,
        }
    }
}

/// The time in which a host that was killed is back.
const fn unused() -> u64 {
    4_000
}

const fn one() -> usize {
    1
}

impl Settings {
    /// The hosts that the seeds name.
    pub fn seed_hosts(&self) -> Vec<HostId> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| HostId::new(seed.ip().to_string()))
            .collect()
    }

    /// The name by which other hosts know this one: its address, which seeds tell too.
    pub fn host(&self) -> HostId {
        HostId::new(self.address.to_string())
    }
}

/// Reads a settings file's text; the finding tells the place of what is wrong.
///
/// ```
/// let finding = kumquatdrum_gateway::settings::parse("{}").unwrap_err();
/// assert!(finding.message.contains("missing field"));
/// ```
pub fn parse(text: &str) -> Result<Settings, Finding> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let place = error.path().to_string().replace('.', "/");
        Finding::new(format!("/{place}"), error.into_inner().to_string())
    })
}
