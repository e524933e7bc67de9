//! Periodic tasks: hellos, endpoint updates, rebroadcast of jobs, and reloading of settings.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquatdrum_peer::Channel;
use kumquatdrum_types::{Checkpoint, HostId};
use slog::{error, info};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::{Gateway, INITIAL_HELLO_INTERVAL, SettingsFile};
use crate::broadcast::RelayPath;
use crate::message::{Hello, Request, Response, Selection};
use crate::settings;

/// The interval between hellos to the control hosts of the local data centre. A host that was cut
/// off learns of the active setup within this time of its return.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout for the response to a hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(700);
/// The interval at which a control host publishes endpoint updates.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a host rebroadcasts its jobs, so that a starting host knows them before it
/// accepts callers.
const JOB_REBROADCAST_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the settings file is checked without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

impl Gateway {
    pub(super) async fn send_hellos(self: Arc<Self>) {
        let mut has_contact = false;
        for round in 0.. {
            let mut hellos = JoinSet::new();
            let at_once = !has_contact || self.distributor.is_behind();
            let targets = self.hosts.hello_targets(round, at_once);
            let listing_source = if has_contact {
                self.hosts.listing_source(round, &targets)
            } else {
                None
            };
            for host in targets {
                let listed = if listing_source.as_ref().is_none_or(|source| *source == host) {
                    self.hosts.listing_selection(&host)
                } else {
                    Selection::Nothing
                };
                let hello = self.build_hello(&host, listed, false);
                let gateway = self.clone();
                hellos.spawn(
                    async move { gateway.exchange_hello(&host, hello, HELLO_TIMEOUT).await },
                );
            }
            while let Some(is_welcomed) = hellos.join_next().await {
                has_contact |= is_welcomed.unwrap_or(false);
                if self.hosts.has_control_majority()
                    && !self.distributor.is_behind()
                    && self.has_requested_endpoints()
                {
                    self.has_confirmed_setup.store(true, Ordering::Release);
                }
            }
            self.hosts.expire_silent();
            self.evacuations
                .retain_hosts(|host| self.hosts.is_known(host));
            self.quarantine.expire();
            self.pool.refresh();
            if let Some(broadcaster) = &self.broadcaster {
                broadcaster.refresh();
            }
            let pause = if !has_contact || self.distributor.is_behind() {
                INITIAL_HELLO_INTERVAL
            } else {
                HELLO_INTERVAL
            };
            sleep(pause).await;
        }
    }

    /// Builds a hello to a host that requests hosts, and all endpoints if `requests_endpoints`.
    pub(super) fn build_hello(
        &self,
        to: &HostId,
        hosts: Selection,
        requests_endpoints: bool,
    ) -> Hello {
        let (evidence, known_evidence) = self.quarantine.outgoing(to);
        Hello {
            host: self.hosts.local(),
            revision: self.active_setup.revision(),
            requests_endpoints,
            hosts,
            evidence,
            known_evidence,
            evacuations: self.evacuations.report_to(self.evacuations.version_of(to)),
        }
    }

    /// Sends a hello and applies the response. Returns whether there was one in time.
    pub(super) async fn exchange_hello(
        self: &Arc<Self>,
        to: &HostId,
        hello: Hello,
        limit: Duration,
    ) -> bool {
        let sent = hello.evidence.checkpoint;
        let sent_ms = self.evacuations.suspension().tick();
        let request = Request::Hello(hello);
        let response = self.send_request(to, Channel::Membership, &request, limit);
        match response.await {
            Some(response) => {
                let is_welcomed = self.apply_welcome(response, sent);
                if is_welcomed {
                    self.evacuations.suspension().record_news(sent_ms);
                }
                is_welcomed
            }
            None => false,
        }
    }

    /// Returns whether this host has received all endpoints of a control host, or none can send them.
    fn has_requested_endpoints(&self) -> bool {
        self.has_initial_endpoints.load(Ordering::Acquire) || self.hosts.control_hosts().is_empty()
    }

    /// Applies the response to a hello that carried the evidence up to `sent`. Returns whether it is
    /// a welcome.
    fn apply_welcome(self: &Arc<Self>, response: Response, sent: Checkpoint) -> bool {
        let Response::Welcome {
            host,
            hosts,
            revision,
            endpoints,
            evidence,
            evacuations,
        } = response
        else {
            return false;
        };
        let (id, boot) = (host.id.clone(), host.boot);
        self.hosts.record_contact(host);
        if let Some(listing) = hosts {
            self.hosts.merge_listing(&id, listing);
        }
        self.merge_endpoints(endpoints, id.as_str());
        self.quarantine.record_exchange(&id, boot, sent, evidence);
        self.observe_evacuations(&id, &evacuations);
        self.observe_revision(id, revision);
        true
    }

    pub(super) async fn rebroadcast_jobs(self: Arc<Self>) {
        let mut rounds = interval(JOB_REBROADCAST_INTERVAL);
        for path in [RelayPath::Secondary, RelayPath::Primary]
            .into_iter()
            .cycle()
        {
            rounds.tick().await;
            self.pool.rebroadcast_jobs(path);
        }
    }

    pub(super) async fn publish_endpoints(self: Arc<Self>) {
        let mut rounds = interval(PUBLISH_INTERVAL);
        for path in [RelayPath::Primary, RelayPath::Secondary]
            .into_iter()
            .cycle()
        {
            rounds.tick().await;
            let updates = self.endpoints.take_round();
            self.broadcast_endpoints(updates, path);
        }
    }
}

/// Watches the settings file for new seeds. Other settings require a restart.
pub(super) async fn watch_settings(gateway: Arc<Gateway>, mut file: SettingsFile) {
    let mut known = gateway.settings.seeds.clone();
    let mut rounds = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            Some(()) = file.changed.recv() => {
                info!(gateway.logger, "reload_asked"; "event" => "reload_asked");
            }
        }
        let text = match std::fs::read_to_string(&file.path) {
            Ok(text) => text,
            Err(error) => {
                error!(gateway.logger, "settings_unreadable"; "event" => "settings_unreadable",
                    "reason" => %error);
                continue;
            }
        };
        match settings::parse(&text) {
            Ok(settings) if settings.seeds != known => {
                gateway.hosts.set_seeds(settings.seed_hosts());
                info!(gateway.logger, "reloaded"; "event" => "reloaded",
                    "seeds" => format!("{:?}", settings.seeds));
                known = settings.seeds;
            }
            Ok(_) => {}
            Err(finding) => {
                error!(gateway.logger, "settings_invalid"; "event" => "settings_invalid",
                    "finding" => %finding);
            }
        }
    }
}
