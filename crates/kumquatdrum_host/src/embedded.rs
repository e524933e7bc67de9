//! Several hosts in one process on loopback, for the demo and for tests.

use std::net::SocketAddr;
use std::path::Path;

use kumquatdrum_setup::{ApplyAnswer, ApplyRequest, Failure};
use kumquatdrum_types::{DataCentre, HostId, Version, digest};

use crate::host::{Host, StartError};
use crate::settings::{Cluster, Drain, Limits, Listen, Operator, Settings};

/// The key that embedded hosts expect of endpoints.
pub const ENDPOINT_KEY: &str = "embedded endpoint key";
/// The key of the operator `embedded`.
pub const OPERATOR_KEY: &str = "embedded operator key";

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Nobody listens there; the real address is made known once the host has started.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// One host to start.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whether it keeps the replicated log.
    pub replica: bool,
}

impl Spec {
    /// A host of a data centre.
    pub fn new(host: impl AsRef<str>, data_centre: impl AsRef<str>, replica: bool) -> Self {
        Self {
            host: HostId::new(host),
            data_centre: DataCentre::new(data_centre),
            replica,
        }
    }
}

/// The settings of one host among several.
pub fn settings(spec: &Spec, specs: &[Spec], folder: &Path) -> Settings {
    let others = specs.iter().filter(|other| other.host != spec.host);
    let replicas = specs.iter().filter(|spec| spec.replica);
    Settings {
        host: spec.host.clone(),
        data_centre: spec.data_centre.clone(),
        cluster: Cluster {
            name: "embedded".to_owned(),
            secret: "a secret of the embedded cluster".to_owned(),
        },
        listen: Listen {
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
                address: NOWHERE,
            })
            .collect(),
        replicas: replicas.map(|spec| spec.host.clone()).collect(),
        data: spec.replica.then(|| folder.join(spec.host.as_str())),
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

/// Starts hosts and makes their addresses known to each other. `folder` takes the data folders.
pub async fn start(
    specs: &[Spec],
    folder: &Path,
    logger: &slog::Logger,
) -> Result<Vec<Host>, StartError> {
    let mut hosts = Vec::with_capacity(specs.len());
    for spec in specs {
        hosts.push(Host::start(settings(spec, specs, folder), logger).await?);
    }
    introduce(&hosts);
    Ok(hosts)
}

/// Makes the addresses of running hosts known to each other.
pub fn introduce(hosts: &[Host]) {
    for host in hosts {
        for other in hosts {
            host.introduce(other.name(), other.addresses.peers);
        }
    }
}

/// Applies a declaration over a version and waits until all hosts go by it.
pub async fn apply(hosts: &[Host], base: Version, text: &str) -> Result<ApplyAnswer, Failure> {
    let first = hosts.first().ok_or(Failure::Unavailable)?;
    let request = ApplyRequest::new("embedded", base, text);
    let answer = first.control().apply(request).await?;
    if let ApplyAnswer::Accepted { version } = answer {
        for host in hosts {
            let mut followed = host.in_force().follow();
            let _ = followed.wait_for(|known| *known >= version).await;
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
