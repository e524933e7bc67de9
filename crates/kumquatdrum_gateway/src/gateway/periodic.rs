//! Periodic tasks: endpoint updates, rebroadcast of jobs, and reloading of settings.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info};
use tokio::time::interval;

use super::{Gateway, SettingsFile};
use crate::broadcast::RelayPath;
use crate::settings;

/// The interval at which a control host publishes announcements to the others.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a host rebroadcasts its jobs, so that a starting host knows them before it
/// accepts callers.
const JOB_REBROADCAST_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the settings file is checked without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

impl Gateway {
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
        loop {
            rounds.tick().await;
            let updates = self.endpoints.take_round();
            self.publish_round(&updates);
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
