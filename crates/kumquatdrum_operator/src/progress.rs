//! Tracks the rollout of an accepted version across the hosts.

use indexmap::IndexMap;
use kumquatdrum_setup::Status;
use kumquatdrum_types::{HostId, Version};

use crate::report::{HostRollout, HostState, Rollout};

/// The rollout of one version according to successive status reports.
#[derive(Debug, Clone)]
pub struct Progress {
    version: Version,
    hosts: IndexMap<HostId, HostRollout>,
}

impl Progress {
    /// Creates a tracker for a version.
    pub fn new(version: Version) -> Self {
        Self {
            version,
            hosts: IndexMap::new(),
        }
    }

    /// Processes a status report and returns the hosts whose state changed. Once the version is in
    /// force on a host, later reports do not change the host's state, since hosts never return to
    /// an older version.
    pub fn observe(&mut self, status: &Status) -> Vec<HostRollout> {
        let mut changed = Vec::new();
        for host in &status.hosts {
            let state = match host.version {
                Some(version) if version >= self.version => HostState::InForce,
                _ if host.reachable => HostState::Behind,
                _ => HostState::CutOff,
            };
            let rollout = HostRollout {
                host: host.host.clone(),
                data_centre: host.data_centre.clone(),
                state,
            };
            match self.hosts.get(&host.host) {
                Some(known) if known.state == HostState::InForce || *known == rollout => {}
                _ => {
                    changed.push(rollout.clone());
                    self.hosts.insert(host.host.clone(), rollout);
                }
            }
        }
        changed
    }

    /// Returns the rollout according to the reports so far.
    pub fn rollout(&self) -> Rollout {
        let hosts: Vec<_> = self.hosts.values().cloned().collect();
        let is_in_force = |host: &HostRollout| host.state == HostState::InForce;
        Rollout {
            is_everywhere: !hosts.is_empty() && hosts.iter().all(is_in_force),
            hosts,
        }
    }
}
