//! Runs the state machines of membership and setup propagation and applies their outputs.

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
use kumquatdrum_setup::control;
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
use crate::in_force::Store;
use crate::reservations::Reservations;
use crate::routers::Routers;
use kumquatdrum_process::clock::Clock;

mod report;
mod view;

use report::endpoint_condition;

/// How long an announcement can take to be acknowledged before the endpoint must repeat it.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(4);

type AnnouncementId = (EndpointId, BootId, u64);

/// The dependencies of [`Members`].
pub struct Dependencies {
    /// The daemon's clock.
    pub clock: Clock,
    /// The client for other hosts.
    pub client: Arc<Client>,
    /// The routers of all services.
    pub routers: Arc<Routers>,
    /// The cancels that await confirmation.
    pub canceller: Arc<Canceller>,
    /// The reservations that span several engines.
    pub reservations: Arc<Reservations>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// The state of the shutdown.
    pub drain: Arc<Drain>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The logger of events.
    pub logger: slog::Logger,
}

struct State {
    membership: Membership,
    propagation: Propagation,
    unacknowledged: IndexMap<AnnouncementId, oneshot::Sender<bool>>,
    services: IndexMap<EndpointId, (ServiceName, BootId)>,
    is_ready: bool,
}

/// The hosts and endpoints known to this host.
pub struct Members {
    local: Member,
    dependencies: Dependencies,
    state: Mutex<State>,
    /// The sources of orphaned attempts that aren't handled yet.
    orphan_sources: Mutex<VecDeque<OrphanSource>>,
    orphan_source_added: Notify,
}

/// A source of orphaned attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrphanSource {
    /// A host of the data centre died, and its attempts at engines are orphaned.
    Host(HostId),
    /// An engine joined that may hold attempts of an earlier incarnation of this daemon.
    Engine(EndpointId),
}

/// An input for one of the state machines.
enum Step {
    Membership(Input),
    Propagation(propagation::Input),
}

impl Members {
    /// Creates the members with the other hosts of the settings.
    pub fn new(
        local: Member,
        others: Vec<Member>,
        replicas: Vec<HostId>,
        dependencies: Dependencies,
    ) -> Self {
        let config = propagation::Config {
            host: local.host.clone(),
            data_centre: local.data_centre.clone(),
            boot: local.boot,
            stored: None,
        };
        let mut propagation = Propagation::new(config);
        let mut out = Vec::new();
        let now = dependencies.clock.now();
        for member in &others {
            propagation.step(now, build_host_input(member, true), &mut out);
        }
        propagation.step(now, propagation::Input::ControlReplicas(replicas), &mut out);
        let state = State {
            membership: Membership::new(local.clone(), others),
            propagation,
            unacknowledged: IndexMap::new(),
            services: IndexMap::new(),
            is_ready: false,
        };
        Self {
            local,
            dependencies,
            state: Mutex::new(state),
            orphan_sources: Mutex::default(),
            orphan_source_added: Notify::new(),
        }
    }

    /// Returns this host's data centre.
    pub const fn data_centre(&self) -> &DataCentre {
        &self.local.data_centre
    }

    /// Ticks the state machines until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut ticks = tokio::time::interval(timing::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.step([Step::Membership(Input::Tick), Step::Propagation(propagation::Input::Tick)]);
                }
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    /// Handles an announcement and returns whether it was accepted. A leaving notice is accepted
    /// once enough hosts hold it.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let id = (
            announcement.endpoint.clone(),
            announcement.boot,
            announcement.sequence,
        );
        let (sender, accepted) = oneshot::channel();
        self.state.lock().unacknowledged.insert(id.clone(), sender);
        self.step([Step::Membership(Input::Announce(announcement))]);
        let accepted = tokio::time::timeout(ANNOUNCEMENT_TIMEOUT, accepted).await;
        self.state.lock().unacknowledged.swap_remove(&id);
        matches!(accepted, Ok(Ok(true)))
    }

    /// Handles a membership message of another host.
    pub fn handle_membership_message(
        &self,
        from: &Identity,
        body: &[u8],
    ) -> Result<(), postcard::Error> {
        let message = postcard::from_bytes(body)?;
        self.step([Step::Membership(Input::Peer {
            from: from.host.clone(),
            boot: from.boot,
            message,
        })]);
        Ok(())
    }

    /// Handles a setup propagation message of another host.
    pub fn handle_setup_message(
        &self,
        from: &Identity,
        body: &[u8],
    ) -> Result<(), postcard::Error> {
        let message = postcard::from_bytes(body)?;
        self.step([Step::Propagation(propagation::Input::Peer {
            from: from.host.clone(),
            boot: from.boot,
            message,
        })]);
        Ok(())
    }

    /// Distributes a version that this host's replica has applied.
    pub fn publish(&self, offer: &Offer) {
        let setup = Setup::new(offer.version, Bytes::copy_from_slice(offer.text.as_bytes()));
        self.step([Step::Propagation(propagation::Input::Offer(setup))]);
    }

    /// Records that this host's replica is in contact with a majority and up to date.
    pub fn record_majority(&self) {
        self.step([Step::Propagation(propagation::Input::Majority)]);
    }

    /// Reports a failed dispatch. An endpoint becomes suspect after several failures, or after one
    /// if its announcements are late.
    pub fn report_failure(&self, endpoint: &EndpointId) {
        let endpoint = endpoint.clone();
        self.step([Step::Membership(Input::DispatchFailed { endpoint })]);
    }

    fn step(&self, steps: impl IntoIterator<Item = Step>) {
        let now = self.dependencies.clock.now();
        let mut state = self.state.lock();
        let mut steps: VecDeque<Step> = steps.into_iter().collect();
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Membership(input) => {
                    let mut out = Vec::new();
                    state.membership.step(now, input, &mut out);
                    for output in out {
                        steps.extend(self.execute_membership(&mut state, output));
                    }
                }
                Step::Propagation(input) => {
                    let mut out = Vec::new();
                    state.propagation.step(now, input, &mut out);
                    for output in out {
                        steps.extend(self.execute_propagation(&mut state, output));
                    }
                }
            }
        }
    }

    fn send(&self, to: &HostId, channel: Channel, message: &impl Serialize) {
        match postcard::to_allocvec(message) {
            Ok(body) => self
                .dependencies
                .client
                .send(to, channel, Bytes::from(body)),
            Err(reason) => error!(self.dependencies.logger, ""; "event" => "message_not_encoded",
                "reason" => %reason),
        }
    }

    fn execute_membership(&self, state: &mut State, output: Output) -> Option<Step> {
        match output {
            Output::Send { to, message } => self.send(&to, Channel::Membership, &message),
            Output::Endpoint { id, change } => self.update_endpoint(state, &id, change),
            Output::Host { id, condition } => return self.update_host(state, &id, condition),
            Output::DataCentre { id, reachability } => {
                warn!(self.dependencies.logger, ""; "event" => "data_centre_reach",
                    "data_centre" => %id, "reach" => ?reachability);
            }
            Output::Member(member) => {
                self.dependencies
                    .client
                    .set_address(&member.host, member.address);
                return Some(Step::Propagation(build_host_input(&member, true)));
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
            } => acknowledge(state, (endpoint, boot, sequence), true),
            Output::RefuseAnnounce {
                endpoint,
                boot,
                sequence,
                reason,
            } => {
                warn!(self.dependencies.logger, ""; "event" => "announcement_refused",
                    "endpoint" => %endpoint, "boot" => %boot, "reason" => ?reason);
                acknowledge(state, (endpoint, boot, sequence), false);
            }
            Output::Summary(_) => {}
        }
        None
    }

    fn update_endpoint(&self, state: &mut State, id: &EndpointId, change: Change) {
        let health = match change {
            Change::Renewed(announcement) => {
                self.dependencies.routers.announce(&announcement);
                return;
            }
            Change::Joined(announcement) => {
                self.add_endpoint(state, id, &announcement);
                return;
            }
            Change::Suspect => Health::Suspect,
            Change::Recovered => Health::Alive,
            Change::Leaving => Health::Leaving,
            Change::Gone => Health::Gone,
        };
        info!(self.dependencies.logger, ""; "event" => "endpoint_changed", "endpoint" => %id,
            "health" => ?health);
        let Some((service, boot)) = state.services.get(id).cloned() else {
            return;
        };
        self.dependencies.routers.set_health(&service, id, health);
        if health == Health::Gone {
            self.dependencies.canceller.remove_engine(id, boot);
            self.dependencies.reservations.remove_engine(id);
            state.services.swap_remove(id);
        }
        self.update_endpoint_gauges(state);
    }

    fn add_endpoint(&self, state: &mut State, id: &EndpointId, announcement: &Announcement) {
        info!(self.dependencies.logger, ""; "event" => "endpoint_joined", "endpoint" => %id,
            "service" => %announcement.service, "boot" => %announcement.boot,
            "address" => %announcement.address);
        let entry = (announcement.service.clone(), announcement.boot);
        let previous = state.services.insert(id.clone(), entry);
        if let Some((service, boot)) = previous.filter(|(_, boot)| *boot < announcement.boot) {
            self.dependencies
                .routers
                .set_health(&service, id, Health::Gone);
            self.dependencies.canceller.remove_engine(id, boot);
            self.dependencies.reservations.remove_engine(id);
        }
        self.dependencies.routers.announce(announcement);
        if announcement.leaving {
            let service = &announcement.service;
            self.dependencies
                .routers
                .set_health(service, id, Health::Leaving);
        }
        self.push_orphan_source(OrphanSource::Engine(id.clone()));
        self.update_endpoint_gauges(state);
    }

    fn update_endpoint_gauges(&self, state: &State) {
        let count = |condition: control::Condition| {
            let records = state.membership.endpoints();
            records
                .filter(|record| endpoint_condition(record) == condition)
                .count() as i64
        };
        let gauge = &self.dependencies.metrics.endpoints;
        gauge
            .with_label_values(&["alive"])
            .set(count(control::Condition::Alive));
        gauge
            .with_label_values(&["suspect"])
            .set(count(control::Condition::Suspect));
        gauge
            .with_label_values(&["leaving"])
            .set(count(control::Condition::Leaving));
    }

    fn update_host(&self, state: &State, id: &HostId, condition: Condition) -> Option<Step> {
        info!(self.dependencies.logger, ""; "event" => "host_changed", "other" => %id,
            "condition" => ?condition);
        let views: Vec<_> = state.membership.hosts().collect();
        let is_local = |view: &&kumquatdrum_membership::Peer<'_>| {
            view.member.data_centre == self.local.data_centre
        };
        let live = views
            .iter()
            .filter(is_local)
            .filter(|view| view.condition != Condition::Dead);
        let owners = live.map(|view| view.member.host.to_string());
        self.dependencies
            .routers
            .set_owners(owners.chain([self.local.host.to_string()]).collect());
        let view = views.iter().find(|view| view.member.host == *id)?;
        if condition == Condition::Dead && view.member.data_centre == self.local.data_centre {
            self.push_orphan_source(OrphanSource::Host(id.clone()));
        }
        let is_alive = condition == Condition::Alive;
        Some(Step::Propagation(build_host_input(view.member, is_alive)))
    }

    fn execute_propagation(&self, state: &mut State, output: propagation::Output) -> Option<Step> {
        match output {
            propagation::Output::Send { to, message } => self.send(&to, Channel::Setup, &message),
            propagation::Output::InForce(setup) => self.put_in_force(setup),
            propagation::Output::Ready { is_confirmed } => {
                info!(self.dependencies.logger, ""; "event" => "ready", "is_confirmed" => is_confirmed);
                state.is_ready = true;
            }
            propagation::Output::Status(status) => {
                return Some(Step::Membership(Input::SetupStatus(status)));
            }
            propagation::Output::Installed { .. } => {}
            propagation::Output::CutOff { since } => {
                self.dependencies
                    .metrics
                    .cut_off
                    .set(i64::from(since.is_some()));
                warn!(self.dependencies.logger, ""; "event" => "cut_off", "is_cut_off" => since.is_some());
            }
            propagation::Output::Conflict { version, from } => {
                error!(self.dependencies.logger, ""; "event" => "version_conflict",
                    "version" => %version, "from" => %from);
            }
        }
        let is_ready = state.is_ready && state.propagation.version() > Version(0);
        self.dependencies.drain.set_ready(is_ready);
        None
    }

    fn put_in_force(&self, setup: Setup) {
        let version = setup.version;
        let Ok(text) = std::str::from_utf8(&setup.text) else {
            error!(self.dependencies.logger, ""; "event" => "version_not_text", "version" => %version);
            return;
        };
        let offer = in_force::Offer {
            version,
            digest: Digest::of(text.as_bytes()),
            accepted_unix_ms: 0,
            text: Arc::from(text),
        };
        if self.dependencies.in_force.offer(offer) {
            self.dependencies.metrics.version.set(version.0 as i64);
            info!(self.dependencies.logger, ""; "event" => "in_force", "version" => %version);
        }
    }

    fn push_orphan_source(&self, source: OrphanSource) {
        self.orphan_sources.lock().push_back(source);
        self.orphan_source_added.notify_one();
    }

    /// Waits for the next source of orphaned attempts.
    pub async fn next_orphan_source(&self) -> OrphanSource {
        loop {
            if let Some(source) = self.orphan_sources.lock().pop_front() {
                return source;
            }
            self.orphan_source_added.notified().await;
        }
    }

    /// Returns whether this host cancels the orphaned attempts of dead hosts of its data centre: it
    /// is the first live host by name.
    pub fn is_reaper(&self) -> bool {
        self.state.lock().membership.is_relay()
    }
}

fn build_host_input(member: &Member, is_alive: bool) -> propagation::Input {
    propagation::Input::Host {
        host: member.host.clone(),
        data_centre: member.data_centre.clone(),
        is_alive,
    }
}

fn acknowledge(state: &mut State, id: AnnouncementId, is_accepted: bool) {
    if let Some(sender) = state.unacknowledged.swap_remove(&id) {
        let _ = sender.send(is_accepted);
    }
}
