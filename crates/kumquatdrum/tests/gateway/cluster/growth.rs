//! Clusters of more control hosts than the seeds, to which others are added.

use super::{Cluster, HOSTS};

impl Cluster {
    /// Starts a cluster of the given number of control hosts, two of which may be lost at a time, and
    /// two hosts that take callers.
    pub fn with_control_hosts(subnet: u16, control_hosts: usize) -> Self {
        let mut cluster = Self::new(subnet, control_hosts + 2, false);
        cluster.entries.start = control_hosts;
        cluster.lost_replicas = 2;
        cluster.start_all();
        cluster
    }

    /// Returns a cluster like that of [`Self::start`], of which no host runs yet.
    pub fn unstarted(subnet: u16) -> Self {
        Self::new(subnet, HOSTS, false)
    }

    /// Starts a cluster of control hosts alone, all of which know each other.
    pub fn of_control_hosts(subnet: u16, control_hosts: usize) -> Self {
        let mut cluster = Self::new(subnet, control_hosts, false);
        cluster.entries = control_hosts..control_hosts;
        cluster.lost_replicas = (control_hosts - 1) / 2;
        cluster.seeds = (0..control_hosts).collect();
        cluster.start_all();
        cluster
    }

    /// Starts another control host, at a new address and with an empty disk.
    pub fn add_control_host(&mut self) -> usize {
        self.hosts.push(None);
        let host = self.hosts.len() - 1;
        self.start_host(host, false);
        host
    }

    /// Returns the control hosts that run.
    pub fn control_hosts(&self) -> Vec<usize> {
        let hosts = (0..self.hosts()).filter(|host| !self.entries.contains(host));
        hosts.filter(|host| self.is_running(*host)).collect()
    }
}
