//! Workspace limits on this host: admission of requests and grants to other hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_routing::limits::{Coordinator, DEMAND_INTERVAL, Demand, Grant, Limiter, Refused};
use kumquatdrum_types::{BootId, HostId, WorkspaceName};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::in_force::Store;
use crate::limits::Limits;
use crate::members::Members;
use kumquatdrum_process::clock::Clock;

/// A message between hosts about workspace limits.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Demands(Vec<Demand>),
    Grants(Vec<Grant>),
}

/// The workspace limits on one host.
pub struct Quota {
    host: HostId,
    clock: Clock,
    client: Arc<Client>,
    members: Arc<Members>,
    limits: Mutex<Limits>,
}

/// An admitted request's share of its workspace's limits; dropping it releases the share.
pub struct Permit {
    quota: Arc<Quota>,
    workspace: WorkspaceName,
    expected: u64,
    used: AtomicU64,
}

/// The dependencies of a quota.
pub struct Dependencies {
    /// The name of this host.
    pub host: HostId,
    /// The incarnation of this daemon.
    pub boot: BootId,
    /// The number of hosts in the settings, including this one.
    pub hosts: usize,
    /// The longest time that a request can run.
    pub max_request_duration: Duration,
    /// The daemon's clock.
    pub clock: Clock,
    /// The client for other hosts.
    pub client: Arc<Client>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// The hosts and endpoints known to this host.
    pub members: Arc<Members>,
}

impl Quota {
    /// Creates a quota without grants.
    pub fn new(dependencies: Dependencies) -> Self {
        let now = dependencies.clock.now();
        let limiter = Limiter::new(dependencies.host.clone(), dependencies.hosts, now);
        let coordinator = Coordinator::new(
            dependencies.host.clone(),
            dependencies.boot,
            dependencies.hosts,
            dependencies.max_request_duration,
        );
        Self {
            host: dependencies.host,
            clock: dependencies.clock,
            client: dependencies.client,
            members: dependencies.members,
            limits: Mutex::new(Limits::new(dependencies.in_force, limiter, coordinator)),
        }
    }

    /// Admits a request of `tokens`, or returns the reason for the refusal and when to retry.
    pub fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> Result<Permit, Refused> {
        let now = self.clock.now();
        let mut limits = self.limits.lock();
        limits.limiter(now).admit(now, workspace, tokens)?;
        drop(limits);
        Ok(Permit {
            quota: Arc::clone(self),
            workspace: workspace.clone(),
            expected: tokens,
            used: AtomicU64::new(tokens),
        })
    }

    /// Handles a message of another host.
    pub fn handle_message(&self, from: &HostId, body: &[u8]) -> Result<(), postcard::Error> {
        match postcard::from_bytes(body)? {
            Message::Demands(demands) => {
                let grants = self.compute_grants(&demands);
                self.send(from, &Message::Grants(grants));
            }
            Message::Grants(grants) => self.apply_grants(&grants),
        }
        Ok(())
    }

    /// Sends demands until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut interval = tokio::time::interval(DEMAND_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => self.send_demands(),
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    fn send_demands(&self) {
        let coordinators = self.members.coordinators();
        let now = self.clock.now();
        let mut limits = self.limits.lock();
        let demands = limits.limiter(now).build_demands(now, &coordinators);
        drop(limits);
        let mut by_coordinator: IndexMap<HostId, Vec<Demand>> = IndexMap::new();
        for (coordinator, demand) in demands {
            by_coordinator.entry(coordinator).or_default().push(demand);
        }
        for (coordinator, demands) in by_coordinator {
            if coordinator == self.host {
                self.apply_grants(&self.compute_grants(&demands));
            } else {
                self.send(&coordinator, &Message::Demands(demands));
            }
        }
    }

    fn compute_grants(&self, demands: &[Demand]) -> Vec<Grant> {
        let now = self.clock.now();
        let mut limits = self.limits.lock();
        let coordinator = limits.coordinator(now);
        let grants = demands
            .iter()
            .map(|demand| coordinator.handle_demand(now, demand));
        grants.flatten().collect()
    }

    fn apply_grants(&self, grants: &[Grant]) {
        let now = self.clock.now();
        let mut limits = self.limits.lock();
        let limiter = limits.limiter(now);
        for grant in grants {
            limiter.apply_grant(now, grant);
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        if let Ok(body) = postcard::to_allocvec(message) {
            self.client.send(to, Channel::Limits, body.into());
        }
    }
}

impl Permit {
    /// Sets the tokens that the request has used.
    pub fn set_used(&self, tokens: u64) {
        self.used.store(tokens, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.quota.clock.now();
        let used = self.used.load(Ordering::Relaxed);
        let mut limits = self.quota.limits.lock();
        limits
            .limiter(now)
            .finish(now, &self.workspace, self.expected, used);
    }
}
