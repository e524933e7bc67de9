//! The workspaces' limits on this host: what it may admit, and what it grants to others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_routing::limits::{
    Coordinator, DEMAND_INTERVAL, Demand, Grant, Limit, Limiter, Refused,
};
use kumquatdrum_types::{BootId, HostId, WorkspaceName};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::in_force::{Current, Store};
use crate::members::Members;
use kumquatdrum_process::clock::Clock;

/// Stewards are chosen among so many hosts, so that demands travel together. Which hosts these are
/// may differ from view to view, as the set of live hosts may.
const STEWARDS: usize = 9;

/// What hosts say to each other about limits.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Demands(Vec<Demand>),
    Grants(Vec<Grant>),
}

/// The limits on one host.
pub struct Quota {
    host: HostId,
    clock: Clock,
    client: Arc<Client>,
    in_force: Arc<Store>,
    members: Arc<Members>,
    holder: Mutex<Limiter>,
    steward: Mutex<Coordinator>,
}

/// One admitted request's slot in its workspace's limits; dropping it gives the slot back.
pub struct Permit {
    quota: Arc<Quota>,
    workspace: WorkspaceName,
    expected: u64,
    used: AtomicU64,
}

/// What a quota is made of.
pub struct Parts {
    /// This host.
    pub host: HostId,
    /// This life of its daemon.
    pub boot: BootId,
    /// How many hosts the settings name, this one included.
    pub hosts: usize,
    /// No request runs longer.
    pub longest_request: Duration,
    /// The daemon's clock.
    pub clock: Clock,
    /// The way to the other hosts.
    pub client: Arc<Client>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// Hosts and endpoints.
    pub members: Arc<Members>,
}

impl Quota {
    /// A quota without grants.
    pub fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let holder = Limiter::new(parts.host.clone(), parts.hosts, now);
        let steward = Coordinator::new(
            parts.host.clone(),
            parts.boot,
            parts.hosts,
            parts.longest_request,
        );
        Self {
            host: parts.host,
            clock: parts.clock,
            client: parts.client,
            in_force: parts.in_force,
            members: parts.members,
            holder: Mutex::new(holder),
            steward: Mutex::new(steward),
        }
    }

    /// Admits a request of so many tokens, or says why not and when to come back.
    pub fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> Result<Permit, Refused> {
        let now = self.clock.now();
        self.holder.lock().admit(now, workspace, tokens)?;
        Ok(Permit {
            quota: Arc::clone(self),
            workspace: workspace.clone(),
            expected: tokens,
            used: AtomicU64::new(tokens),
        })
    }

    /// Takes in a message of another host.
    pub fn message(&self, from: &HostId, body: &[u8]) -> Result<(), postcard::Error> {
        match postcard::from_bytes(body)? {
            Message::Demands(demands) => {
                let grants = self.grants(&demands);
                self.send(from, &Message::Grants(grants));
            }
            Message::Grants(grants) => self.take(&grants),
        }
        Ok(())
    }

    /// Tells demands and follows the declaration until `stopped` resolves.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut version = self.in_force.follow();
        let mut rounds = tokio::time::interval(DEMAND_INTERVAL);
        loop {
            tokio::select! {
                _ = rounds.tick() => self.tell_demands(),
                Ok(()) = version.changed() => {
                    if let Some(current) = self.in_force.current() {
                        self.declared(&current);
                    }
                }
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    /// Sets the limits of a declaration.
    pub fn declared(&self, current: &Current) {
        let now = self.clock.now();
        for workspace in &current.index.declaration().workspaces {
            let declared = &workspace.limits;
            let limit = Limit {
                requests_per_second: declared.requests_per_second.map(|rate| rate as f64),
                tokens_per_second: declared.tokens_per_second.map(|rate| rate as f64),
                concurrency: declared.concurrency,
            };
            let name = workspace.name.clone();
            self.steward.lock().set_limit(name.clone(), limit);
            self.holder.lock().set_limit(now, name, limit);
        }
    }

    fn tell_demands(&self) {
        let mut live = self.members.live_hosts();
        live.sort();
        live.truncate(STEWARDS);
        let demands = self.holder.lock().build_demands(self.clock.now(), &live);
        let mut by_steward: IndexMap<HostId, Vec<Demand>> = IndexMap::new();
        for (steward, demand) in demands {
            by_steward.entry(steward).or_default().push(demand);
        }
        for (steward, demands) in by_steward {
            if steward == self.host {
                self.take(&self.grants(&demands));
            } else {
                self.send(&steward, &Message::Demands(demands));
            }
        }
    }

    fn grants(&self, demands: &[Demand]) -> Vec<Grant> {
        let now = self.clock.now();
        let mut steward = self.steward.lock();
        let grants = demands
            .iter()
            .map(|demand| steward.handle_demand(now, demand));
        grants.flatten().collect()
    }

    fn take(&self, grants: &[Grant]) {
        let now = self.clock.now();
        let mut holder = self.holder.lock();
        for grant in grants {
            holder.apply_grant(now, grant);
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        if let Ok(body) = postcard::to_allocvec(message) {
            self.client.send(to, Channel::Limits, body.into());
        }
    }
}

impl Permit {
    /// Notes the tokens that the request really took.
    pub fn used(&self, tokens: u64) {
        self.used.store(tokens, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.quota.clock.now();
        let used = self.used.load(Ordering::Relaxed);
        let mut holder = self.quota.holder.lock();
        holder.finish(now, &self.workspace, self.expected, used);
    }
}
