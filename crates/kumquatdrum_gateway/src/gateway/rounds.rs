//! What a gateway host does again and again: greet, pass on, retell, and look at its settings.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::Channel;
use slog::{error, info};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::{FIRST_GREETING, Gateway, SettingsFile};
use crate::broadcast::RelayPath;
use crate::message::{Answer, Question, Wanted};
use crate::settings;

/// How often hosts greet the control hosts of their data centre: a host that was cut off knows what is
/// in force within half a second of its return.
const GREETING: Duration = Duration::from_millis(500);
/// How long a greeting may take.
const GREETING_LIMIT: Duration = Duration::from_millis(700);
/// How often a control host passes on what endpoints have said.
const ROUND: Duration = Duration::from_secs(1);
/// How often a host tells of all its jobs: one that starts knows them before it takes callers.
const RETELLING: Duration = Duration::from_millis(500);
/// How often the settings file is looked at for a change without a signal.
const RELOAD: Duration = Duration::from_secs(1);

impl Gateway {
    pub(super) async fn greet(self: Arc<Self>) {
        let mut is_new = true;
        for round in 0.. {
            let mut greetings = JoinSet::new();
            let at_once = is_new || self.spread.is_behind();
            let greeted = self.hosts.greeted(round, at_once);
            let lister = if is_new {
                None
            } else {
                self.hosts.lister(round, &greeted)
            };
            for host in greeted {
                let gateway = self.clone();
                let question = Question::Hello {
                    host: self.hosts.local(),
                    revision: self.in_force.revision(),
                    is_new,
                    hosts: if lister.as_ref().is_none_or(|lister| *lister == host) {
                        self.hosts.wanted(&host)
                    } else {
                        Wanted::Nothing
                    },
                };
                greetings.spawn(async move {
                    let channel = Channel::Membership;
                    let answer = gateway.ask(&host, channel, &question, GREETING_LIMIT);
                    match answer.await {
                        Some(answer) => gateway.welcomed(answer),
                        None => false,
                    }
                });
            }
            while let Some(welcomed) = greetings.join_next().await {
                is_new &= !welcomed.unwrap_or(false);
                if self.hosts.hears_majority() && !self.spread.is_behind() {
                    *self.heard_majority.lock() = true;
                }
            }
            self.hosts.sweep();
            self.fleet.refresh();
            if let Some(broadcaster) = &self.broadcaster {
                broadcaster.refresh();
            }
            let pause = if is_new || self.spread.is_behind() {
                FIRST_GREETING
            } else {
                GREETING
            };
            sleep(pause).await;
        }
    }

    /// Takes the answer to a greeting; returns whether it was one.
    fn welcomed(self: &Arc<Self>, answer: Answer) -> bool {
        let Answer::Welcome {
            host,
            hosts,
            revision,
            endpoints,
        } = answer
        else {
            return false;
        };
        let id = host.id.clone();
        self.hosts.heard(host);
        if let Some(listing) = hosts {
            self.hosts.merge(&id, listing);
        }
        self.take_endpoints(endpoints, id.as_str());
        self.hears(id, revision);
        true
    }

    pub(super) async fn retell(self: Arc<Self>) {
        let mut rounds = interval(RETELLING);
        for path in [RelayPath::Secondary, RelayPath::Primary]
            .into_iter()
            .cycle()
        {
            rounds.tick().await;
            self.fleet.retell(path);
        }
    }

    pub(super) async fn pass_on(self: Arc<Self>) {
        let mut rounds = interval(ROUND);
        for path in [RelayPath::Primary, RelayPath::Secondary]
            .into_iter()
            .cycle()
        {
            rounds.tick().await;
            let updates = self.endpoints.round();
            self.push_endpoints(updates, path);
        }
    }
}

/// Looks for new seeds in the settings file; nothing else in it changes while a host runs.
pub(super) async fn reload(gateway: Arc<Gateway>, mut file: SettingsFile) {
    let mut known = gateway.settings.seeds.clone();
    let mut rounds = interval(RELOAD);
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
