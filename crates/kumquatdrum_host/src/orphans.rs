//! Ends at engines what nobody waits for: the work of dead hosts and of this host's earlier lives.
//!
//! Keyed requests run on, as their callers may come back for the answer; their attempts carry a
//! mark in their names.

use std::sync::Arc;

use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, HostId};
use slog::info;
use tokio::sync::watch;

use crate::members::{Members, Orphan};
use crate::shell::Shell;

/// Takes over orphans until `stopped` resolves.
pub async fn run(shell: Arc<Shell>, members: Arc<Members>, mut stopped: watch::Receiver<bool>) {
    loop {
        let orphan = tokio::select! {
            orphan = members.next_orphan() => orphan,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        match orphan {
            Orphan::Host(host) if members.is_heir() => {
                for (_, target) in shell.engines() {
                    end(&shell, &target, &host, |_| true).await;
                }
            }
            Orphan::Host(_) => {}
            Orphan::Engine(engine) => {
                let life = format!("{}-{:x}-", shell.settings.host, shell.boot.0);
                let mut engines = shell.engines();
                engines.retain(|(_, target)| target.endpoint == engine);
                for (_, target) in &engines {
                    let host = shell.settings.host.clone();
                    let earlier = |attempt: &AttemptId| !attempt.as_str().starts_with(&life);
                    end(&shell, target, &host, earlier).await;
                }
            }
        }
    }
}

async fn end(
    shell: &Shell,
    target: &Target,
    owner: &HostId,
    is_orphan: impl Fn(&AttemptId) -> bool,
) {
    let Ok(running) = shell.engine.running_attempts(target, owner).await else {
        return;
    };
    for attempt in running.into_iter().map(|running| running.id) {
        if is_orphan(&attempt) && !is_keyed(&attempt) {
            info!(shell.logger, ""; "event" => "orphan_ended", "attempt" => %attempt,
                "endpoint" => %target.endpoint, "owner" => %owner);
            shell.canceller.abandon(target.clone(), attempt);
        }
    }
}

fn is_keyed(attempt: &AttemptId) -> bool {
    let number = attempt.as_str().rsplit('.').next();
    number.is_some_and(|number| number.starts_with('k'))
}
