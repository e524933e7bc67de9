//! How far an accepted version has spread, host by host.

use indexmap::IndexMap;
use kumquatdrum_setup::Status;
use kumquatdrum_types::{HostId, Version};

use crate::report::{HostSpread, Reached, Spread};

/// What successive status reports say of one version.
#[derive(Debug, Clone)]
pub struct Progress {
    version: Version,
    hosts: IndexMap<HostId, HostSpread>,
}

impl Progress {
    /// Follows a version.
    pub fn new(version: Version) -> Self {
        Self {
            version,
            hosts: IndexMap::new(),
        }
    }

    /// Takes a status report, and gives the hosts of which it says something new. A host that
    /// had the version keeps it, whatever a later report says, as no host goes back.
    pub fn observe(&mut self, status: &Status) -> Vec<HostSpread> {
        let mut news = Vec::new();
        for host in &status.hosts {
            let reached = match host.version {
                Some(version) if version >= self.version => Reached::InForce,
                _ if host.reachable => Reached::Behind,
                _ => Reached::CutOff,
            };
            let spread = HostSpread {
                host: host.host.clone(),
                data_centre: host.data_centre.clone(),
                reached,
            };
            match self.hosts.get(&host.host) {
                Some(known) if known.reached == Reached::InForce || *known == spread => {}
                _ => {
                    news.push(spread.clone());
                    self.hosts.insert(host.host.clone(), spread);
                }
            }
        }
        news
    }

    /// Where the version stands now.
    pub fn spread(&self) -> Spread {
        let hosts: Vec<_> = self.hosts.values().cloned().collect();
        let has_it = |host: &HostSpread| host.reached == Reached::InForce;
        Spread {
            everywhere: !hosts.is_empty() && hosts.iter().all(has_it),
            hosts,
        }
    }
}
