//! Several hosts in one process on loopback, for the demo and tests.

use std::net::SocketAddr;
use std::path::Path;

use kumquatdrum_setup::{ApplyAnswer, ApplyRequest, Failure};
use kumquatdrum_types::{DataCentre, HostId, Version, digest};

use crate::host::{Host, StartError};
use crate::settings::{Cluster, Drain, Limits, Listeners, Operator, Settings};

/// The key with which endpoints announce themselves to embedded hosts.
pub const ENDPOINT_KEY: &str = "embedded endpoint key";
/// The key of the operator `embedded`.
pub const OPERATOR_KEY: &str = "embedded operator key";

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// A placeholder for the address of a host that hasn't started.
const UNKNOWN_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// The specification of one host.
#[derive(Debug, Clone)]
pub struct Specification {
    /// The name of the host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// Whether the host has a replica of the log.
    pub is_replica: bool,
}

impl Specification {
    /// Creates a specification.
    pub fn new(host: impl AsRef<str>, data_centre: impl AsRef<str>, is_replica: bool) -> Self {
        Self {
            host: HostId::new(host),
            data_centre: DataCentre::new(data_centre),
            is_replica,
        }
    }
}

/// Returns the settings of one host among several.
pub fn settings(spec: &Specification, specs: &[Specification], folder: &Path) -> Settings {
    let others = specs.iter().filter(|other| other.host != spec.host);
    let replicas = specs.iter().filter(|spec| spec.is_replica);
    Settings {
        host: spec.host.clone(),
        data_centre: spec.data_centre.clone(),
        cluster: Cluster {
            name: "embedded".to_owned(),
            secret: "a secret of the embedded cluster".to_owned(),
        },
        listen: Listeners {
            callers: ANY_PORT,
            endpoints: ANY_PORT,
            operators: ANY_PORT,
            peers: ANY_PORT,
            platform: ANY_PORT,
        },
        hosts: others
            .map(|other| crate::settings::Host {
                host: other.host.clone(),
                data_centre: other.data_centre.clone(),
                address: UNKNOWN_ADDRESS,
            })
            .collect(),
        replicas: replicas.map(|spec| spec.host.clone()).collect(),
        data: spec.is_replica.then(|| folder.join(spec.host.as_str())),
        operators: vec![Operator {
            name: "embedded".to_owned(),
            sha256: digest::hex(OPERATOR_KEY.as_bytes()),
        }],
        endpoint_key_sha256: digest::hex(ENDPOINT_KEY.as_bytes()),
        limits: Limits::default(),
        drain: Drain {
            notice_ms: 100,
            ..Drain::default()
        },
    }
}

/// Starts hosts and connects them. Their data folders are created in `folder`.
pub async fn start(
    specs: &[Specification],
    folder: &Path,
    logger: &slog::Logger,
) -> Result<Vec<Host>, StartError> {
    let mut hosts = Vec::with_capacity(specs.len());
    for spec in specs {
        hosts.push(Host::start(settings(spec, specs, folder), logger).await?);
    }
    connect(&hosts);
    Ok(hosts)
}

/// Sets the peer addresses of all other hosts on each host.
pub fn connect(hosts: &[Host]) {
    for host in hosts {
        for other in hosts {
            host.set_peer_address(other.name(), other.addresses.peers);
        }
    }
}

/// Applies a declaration that replaces version `base`, and waits until it is in force on all hosts.
pub async fn apply(hosts: &[Host], base: Version, text: &str) -> Result<ApplyAnswer, Failure> {
    let first = hosts.first().ok_or(Failure::Unavailable)?;
    let request = ApplyRequest::new("embedded", base, text);
    let answer = first.control().apply(request).await?;
    if let ApplyAnswer::Accepted { version } = answer {
        for host in hosts {
            let mut in_force = host.in_force().subscribe();
            let _ = in_force.wait_for(|known| *known >= version).await;
        }
    }
    Ok(answer)
}

/// Stops hosts one after another.
pub async fn stop(hosts: Vec<Host>) {
    for host in hosts {
        host.stop().await;
    }
}
