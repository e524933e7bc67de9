//! A gateway host's settings file.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use kumquatdrum_types::{DataCentre, Finding, HostId};
use serde::Deserialize;

/// The settings of a gateway host.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The host's name in logs.
    pub name: String,
    /// The address under which other hosts know this one.
    pub address: IpAddr,
    /// The data centre that the host runs in.
    pub data_centre: DataCentre,
    /// The addresses to listen on.
    pub listen: Listen,
    /// The TCP port for connections between hosts. The next port is used for UDP datagrams.
    pub peer_port: u16,
    /// Addresses of control hosts, used to discover the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Settings of the setup's replica. `None` on hosts without a disk.
    #[serde(default)]
    pub replica: Option<Replica>,
    /// The cluster that the host belongs to.
    pub cluster: Cluster,
    /// The interval between an endpoint's announcements in milliseconds.
    pub announcement_ms: u64,
    /// The number of replicas that may fail at the same time.
    #[serde(default = "default_lost_replicas")]
    pub lost_replicas: usize,
    /// The retry budget, shared by all hosts.
    #[serde(default)]
    pub retries: Retries,
    /// The requests that cold endpoints may get. If missing, they are not limited.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// The maximum time that reserved engine memory may stay unused, in milliseconds.
    #[serde(default = "default_unused_memory_ms")]
    pub unused_memory_ms: u64,
    /// The time in milliseconds for which a leaving endpoint serves after hosts have been told. If 0,
    /// a leaving endpoint gets no requests.
    #[serde(default)]
    pub drain_ms: u64,
    /// The data centres of the installation, in addition to those of known hosts and endpoints.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// The maximum time from the acknowledgement of an evacuation until it is in effect on all hosts,
    /// in milliseconds.
    #[serde(default = "default_evacuate_ms")]
    pub evacuate_ms: u64,
    /// The memory for the bodies of callers' requests that this host holds at the same time, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u32,
    /// The maximum duration of a graceful shutdown in milliseconds.
    pub stop_ms: u64,
}

/// The addresses of the host's listeners. `None` disables a listener.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listen {
    /// The listener for callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// The listener for health checks.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// The listener for operators and endpoints.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The listener for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The settings of a replica.
#[derive(Debug, Clone, Deserialize)]
pub struct Replica {
    /// The data folder.
    pub data: PathBuf,
    /// Whether the seeds create a cluster if none of them belongs to one. Only allowed at the first start of
    /// all hosts: a majority of the seeds creates a cluster without the others.
    pub found: bool,
}

/// Settings that all hosts of a cluster share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// The cluster's name.
    pub name: String,
    /// The shared secret that authenticates hosts of the cluster.
    pub secret: String,
}

/// The retry budget of each service, shared by all hosts.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Retries {
    /// The maximum ratio of retries to requests.
    pub ratio: f64,
    /// The number of retries allowed per window in addition to the ratio.
    pub slack: f64,
    /// The length of the window in seconds.
    pub window_s: f64,
}

/// The requests that all hosts together may send to a cold endpoint in any second, by the rate that
/// its service takes.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Cold {
    /// The factor on the rate.
    pub overage: f64,
    /// The number of requests in addition to that.
    pub slack: f64,
}

impl Default for Retries {
    /// Returns a budget of a tenth of the requests and a few more, which prevents retry storms.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_s: 10.0,
        }
    }
}

/// Returns a time that covers the restart of a killed host.
const fn default_unused_memory_ms() -> u64 {
    4_000
}

const fn default_evacuate_ms() -> u64 {
    5_000
}

/// Returns a quarter of the memory of a small host.
const fn default_body_bytes() -> u32 {
    64 << 20
}

const fn default_lost_replicas() -> usize {
    1
}

impl Settings {
    /// Returns the ids of the seed hosts.
    pub fn seed_hosts(&self) -> Vec<HostId> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| HostId::new(seed.ip().to_string()))
            .collect()
    }

    /// Returns this host's id, which is its address.
    pub fn host(&self) -> HostId {
        HostId::new(self.address.to_string())
    }
}

/// Parses the text of a settings file. An error names the place of the invalid value.
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
