//! Hosts, endpoints and the spread of the setup in force: the cores and what they tell the rest.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatdrum_membership::propagation::{self, Propagation, Setup};
use kumquatdrum_membership::{Change, Condition, Input, Member, Membership, Output, timing};
use kumquatdrum_peer::{Channel, Client, Identity};
use kumquatdrum_process::{Drain, Metrics};
use kumquatdrum_routing::Health;
use kumquatdrum_setup::control::Condition as Shown;
use kumquatdrum_setup::in_force::Offer;
use kumquatdrum_setup::{Digest, in_force};
use kumquatdrum_types::{
    Announcement, BootId, DataCentre, EndpointId, HostId, ServiceName, Version,
};
use parking_lot::Mutex;
use serde::Serialize;
use slog::{error, info, warn};
use tokio::sync::{Notify, oneshot, watch};

use crate::canceller::Canceller;
use crate::fleet::Fleet;
use crate::gangs::Gangs;
use crate::in_force::Store;
use kumquatdrum_process::clock::{Clock, unix_ms};

mod report;

use report::shown;

/// How long a leaving notice may take to spread before the endpoint is told to try again.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(4);

type Notice = (EndpointId, BootId, u64);

/// What the cores need of the rest of the host.
pub struct Parts {
    /// The daemon's clock.
    pub clock: Clock,
    /// The way to the other hosts.
    pub client: Arc<Client>,
    /// The routers.
    pub fleet: Arc<Fleet>,
    /// Cancels under way.
    pub canceller: Arc<Canceller>,
    /// Memory reserved at several engines.
    pub gangs: Arc<Gangs>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// The state of the shutdown.
    pub drain: Arc<Drain>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Where events go.
    pub logger: slog::Logger,
}

struct Cores {
    membership: Membership,
    propagation: Propagation,
    waiting: IndexMap<Notice, oneshot::Sender<bool>>,
    services: IndexMap<EndpointId, (ServiceName, BootId)>,
    ready: bool,
}

/// What this host knows of the others.
pub struct Members {
    local: Member,
    parts: Parts,
    cores: Mutex<Cores>,
    /// Orphaned work that a live host of the data centre should end.
    orphans: Mutex<VecDeque<Orphan>>,
    orphaned: Notify,
}

/// Something whose owner may be gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Orphan {
    /// A host of the data centre died; what it asked of engines is to be ended.
    Host(HostId),
    /// An engine appeared; what an earlier life of this host asked of it is to be ended.
    Engine(EndpointId),
}

enum Step {
    Members(Input),
    Propagation(propagation::Input),
}

impl Members {
    /// A host that knows the others by its settings.
    pub fn new(local: Member, others: Vec<Member>, replicas: Vec<HostId>, parts: Parts) -> Self {
        let config = propagation::Config {
            host: local.host.clone(),
            data_centre: local.data_centre.clone(),
            boot: local.boot,
            stored: None,
        };
        let mut propagation = Propagation::new(config);
        let mut out = Vec::new();
        let now = parts.clock.now();
        for member in &others {
            propagation.step(now, known(member, true), &mut out);
        }
        propagation.step(now, propagation::Input::Control(replicas), &mut out);
        let cores = Cores {
            membership: Membership::new(local.clone(), others),
            propagation,
            waiting: IndexMap::new(),
            services: IndexMap::new(),
            ready: false,
        };
        Self {
            local,
            parts,
            cores: Mutex::new(cores),
            orphans: Mutex::default(),
            orphaned: Notify::new(),
        }
    }

    /// This host's data centre.
    pub const fn data_centre(&self) -> &DataCentre {
        &self.local.data_centre
    }

    /// Keeps the cores' time until `stopped` resolves.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut slots = tokio::time::interval(timing::TICK_INTERVAL);
        slots.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = slots.tick() => {
                    self.step([Step::Members(Input::Tick), Step::Propagation(propagation::Input::Tick)]);
                }
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    /// Takes in an announcement; a leaving notice is taken once enough hosts hold it.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let notice = (
            announcement.endpoint.clone(),
            announcement.boot,
            announcement.sequence,
        );
        let (sender, taken) = oneshot::channel();
        self.cores.lock().waiting.insert(notice.clone(), sender);
        self.step([Step::Members(Input::Announce(announcement))]);
        let taken = tokio::time::timeout(NOTICE_TIMEOUT, taken).await;
        self.cores.lock().waiting.swap_remove(&notice);
        matches!(taken, Ok(Ok(true)))
    }

    /// Takes in a message about hosts and endpoints.
    pub fn members_message(&self, from: &Identity, body: &[u8]) -> Result<(), postcard::Error> {
        let message = postcard::from_bytes(body)?;
        self.step([Step::Members(Input::Peer {
            from: from.host.clone(),
            boot: from.boot,
            message,
        })]);
        Ok(())
    }

    /// Takes in a message about the setup in force.
    pub fn setup_message(&self, from: &Identity, body: &[u8]) -> Result<(), postcard::Error> {
        let message = postcard::from_bytes(body)?;
        self.step([Step::Propagation(propagation::Input::Peer {
            from: from.host.clone(),
            boot: from.boot,
            message,
        })]);
        Ok(())
    }

    /// This host's replica has applied a version.
    pub fn applied(&self, offer: &Offer) {
        let setup = Setup::new(offer.version, Bytes::copy_from_slice(offer.text.as_bytes()));
        self.step([Step::Propagation(propagation::Input::Offer(setup))]);
    }

    /// This host's replica is in touch with a majority and up to date.
    pub fn majority(&self) {
        self.step([Step::Propagation(propagation::Input::Majority)]);
    }

    /// A dispatch failed in a way that speaks against the endpoint.
    pub fn failed(&self, endpoint: &EndpointId) {
        let endpoint = endpoint.clone();
        self.step([Step::Members(Input::DispatchFailed { endpoint })]);
    }

    fn step(&self, steps: impl IntoIterator<Item = Step>) {
        let now = self.parts.clock.now();
        let mut cores = self.cores.lock();
        let mut steps: VecDeque<Step> = steps.into_iter().collect();
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Members(input) => {
                    let mut out = Vec::new();
                    cores.membership.step(now, input, &mut out);
                    for output in out {
                        steps.extend(self.members_output(&mut cores, output));
                    }
                }
                Step::Propagation(input) => {
                    let mut out = Vec::new();
                    cores.propagation.step(now, input, &mut out);
                    for output in out {
                        steps.extend(self.spread_output(&mut cores, output));
                    }
                }
            }
        }
    }

    fn send(&self, to: &HostId, channel: Channel, message: &impl Serialize) {
        match postcard::to_allocvec(message) {
            Ok(body) => self.parts.client.send(to, channel, Bytes::from(body)),
            Err(reason) => error!(self.parts.logger, ""; "event" => "message_not_encoded",
                "reason" => %reason),
        }
    }

    fn members_output(&self, cores: &mut Cores, output: Output) -> Option<Step> {
        match output {
            Output::Send { to, message } => self.send(&to, Channel::Membership, &message),
            Output::Endpoint { id, change } => self.endpoint(cores, &id, change),
            Output::Host { id, condition } => return self.host(cores, &id, condition),
            Output::DataCentre { id, reachability } => {
                warn!(self.parts.logger, ""; "event" => "data_centre_reach",
                    "data_centre" => %id, "reach" => ?reachability);
            }
            Output::Member(member) => {
                self.parts.client.set_address(&member.host, member.address);
                return Some(Step::Propagation(known(&member, true)));
            }
            Output::SetupStatus { from, boot, status } => {
                return Some(Step::Propagation(propagation::Input::Status {
                    from,
                    boot,
                    status,
                }));
            }
            Output::AckAnnounce {
                endpoint,
                boot,
                sequence,
            } => tell(cores, (endpoint, boot, sequence), true),
            Output::RefuseAnnounce {
                endpoint,
                boot,
                sequence,
                reason,
            } => {
                warn!(self.parts.logger, ""; "event" => "announcement_refused",
                    "endpoint" => %endpoint, "boot" => %boot, "reason" => ?reason);
                tell(cores, (endpoint, boot, sequence), false);
            }
            Output::Summary(_) => {}
        }
        None
    }

    fn endpoint(&self, cores: &mut Cores, id: &EndpointId, change: Change) {
        let health = match change {
            Change::Renewed(announcement) => {
                self.parts.fleet.announce(&announcement);
                return;
            }
            Change::Joined(announcement) => {
                self.joined(cores, id, &announcement);
                return;
            }
            Change::Suspect => Health::Suspect,
            Change::Recovered => Health::Alive,
            Change::Leaving => Health::Leaving,
            Change::Gone => Health::Gone,
        };
        info!(self.parts.logger, ""; "event" => "endpoint_changed", "endpoint" => %id,
            "health" => ?health);
        let Some((service, boot)) = cores.services.get(id).cloned() else {
            return;
        };
        self.parts.fleet.health(&service, id, health);
        if health == Health::Gone {
            self.parts.canceller.engine_gone(id, boot);
            self.parts.gangs.gone(id);
            cores.services.swap_remove(id);
        }
        self.count_endpoints(cores);
    }

    fn joined(&self, cores: &mut Cores, id: &EndpointId, announcement: &Announcement) {
        info!(self.parts.logger, ""; "event" => "endpoint_joined", "endpoint" => %id,
            "service" => %announcement.service, "boot" => %announcement.boot,
            "address" => %announcement.address);
        let entry = (announcement.service.clone(), announcement.boot);
        let previous = cores.services.insert(id.clone(), entry);
        if let Some((service, boot)) = previous.filter(|(_, boot)| *boot < announcement.boot) {
            self.parts.fleet.health(&service, id, Health::Gone);
            self.parts.canceller.engine_gone(id, boot);
            self.parts.gangs.gone(id);
        }
        self.parts.fleet.announce(announcement);
        if announcement.leaving {
            let service = &announcement.service;
            self.parts.fleet.health(service, id, Health::Leaving);
        }
        self.orphan(Orphan::Engine(id.clone()));
        self.count_endpoints(cores);
    }

    fn count_endpoints(&self, cores: &Cores) {
        let count = |condition: Shown| {
            let records = cores.membership.endpoints();
            records.filter(|record| shown(record) == condition).count() as i64
        };
        let gauge = &self.parts.metrics.endpoints;
        gauge.with_label_values(&["alive"]).set(count(Shown::Alive));
        gauge
            .with_label_values(&["suspect"])
            .set(count(Shown::Suspect));
        gauge
            .with_label_values(&["leaving"])
            .set(count(Shown::Leaving));
    }

    fn host(&self, cores: &Cores, id: &HostId, condition: Condition) -> Option<Step> {
        info!(self.parts.logger, ""; "event" => "host_changed", "other" => %id,
            "condition" => ?condition);
        let views: Vec<_> = cores.membership.hosts().collect();
        let near = |view: &&kumquatdrum_membership::Peer<'_>| {
            view.member.data_centre == self.local.data_centre
        };
        let alive = views
            .iter()
            .filter(near)
            .filter(|view| view.condition != Condition::Dead);
        let owners = alive.map(|view| view.member.host.to_string());
        self.parts
            .fleet
            .set_owners(owners.chain([self.local.host.to_string()]).collect());
        let view = views.iter().find(|view| view.member.host == *id)?;
        if condition == Condition::Dead && view.member.data_centre == self.local.data_centre {
            self.orphan(Orphan::Host(id.clone()));
        }
        let is_alive = condition == Condition::Alive;
        Some(Step::Propagation(known(view.member, is_alive)))
    }

    fn spread_output(&self, cores: &mut Cores, output: propagation::Output) -> Option<Step> {
        match output {
            propagation::Output::Send { to, message } => self.send(&to, Channel::Setup, &message),
            propagation::Output::InForce(setup) => self.in_force(setup),
            propagation::Output::Ready { is_confirmed } => {
                info!(self.parts.logger, ""; "event" => "ready", "is_confirmed" => is_confirmed);
                cores.ready = true;
            }
            propagation::Output::Status(status) => {
                return Some(Step::Members(Input::SetupStatus(status)));
            }
            propagation::Output::Installed { .. } => {}
            propagation::Output::CutOff { since } => {
                self.parts.metrics.cut_off.set(i64::from(since.is_some()));
                warn!(self.parts.logger, ""; "event" => "cut_off", "is_cut_off" => since.is_some());
            }
            propagation::Output::Conflict { version, from } => {
                error!(self.parts.logger, ""; "event" => "version_conflict",
                    "version" => %version, "from" => %from);
            }
        }
        let ready = cores.ready && cores.propagation.version() > Version(0);
        self.parts.drain.set_ready(ready);
        None
    }

    fn in_force(&self, setup: Setup) {
        let version = setup.version;
        let Ok(text) = std::str::from_utf8(&setup.text) else {
            error!(self.parts.logger, ""; "event" => "version_not_text", "version" => %version);
            return;
        };
        let offer = in_force::Offer {
            version,
            digest: Digest::of(text.as_bytes()),
            accepted_unix_ms: 0,
            text: Arc::from(text),
        };
        if self.parts.in_force.offer(offer) {
            self.parts.metrics.version.set(version.0 as i64);
            info!(self.parts.logger, ""; "event" => "in_force", "version" => %version);
        }
    }

    fn orphan(&self, orphan: Orphan) {
        self.orphans.lock().push_back(orphan);
        self.orphaned.notify_one();
    }

    /// Waits for the next orphan.
    pub async fn next_orphan(&self) -> Orphan {
        loop {
            if let Some(orphan) = self.orphans.lock().pop_front() {
                return orphan;
            }
            self.orphaned.notified().await;
        }
    }

    /// Whether this host is the one to end what a dead host of its data centre left behind: the
    /// first one alive, by name.
    pub fn is_heir(&self) -> bool {
        self.cores.lock().membership.is_relay()
    }

    /// The hosts that are not known to be dead, this one included.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let cores = self.cores.lock();
        let others = cores.membership.hosts();
        let live = others.filter(|view| view.condition != Condition::Dead);
        let live = live.map(|view| view.member.host.clone());
        live.chain([self.local.host.clone()]).collect()
    }

    /// Whether no majority of the replicas has been heard for long.
    pub fn is_cut_off(&self) -> bool {
        self.cores.lock().propagation.cut_off_since().is_some()
    }

    /// When a majority of the replicas was last heard of; now, unless this host is cut off.
    pub fn majority_heard_unix_ms(&self) -> Option<u64> {
        let since = self.cores.lock().propagation.cut_off_since();
        let ago = since.map_or(Duration::ZERO, |since| self.parts.clock.now() - since);
        Some(unix_ms().saturating_sub(ago.as_millis() as u64))
    }

    /// Data centres of which no host can be reached.
    pub fn cut_off(&self) -> Vec<DataCentre> {
        self.cores.lock().membership.cut_off().cloned().collect()
    }
}

fn known(member: &Member, is_alive: bool) -> propagation::Input {
    propagation::Input::Host {
        host: member.host.clone(),
        data_centre: member.data_centre.clone(),
        is_alive,
    }
}

fn tell(cores: &mut Cores, notice: Notice, taken: bool) {
    if let Some(waiting) = cores.waiting.swap_remove(&notice) {
        let _ = waiting.send(taken);
    }
}
