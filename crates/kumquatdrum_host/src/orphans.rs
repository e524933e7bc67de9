//! Cancels orphaned attempts at engines: those of dead hosts and of earlier incarnations
//! of this daemon.
//!
//! Attempts of keyed requests keep running, because their callers may retry. The number in such an
//! attempt's id is prefixed by `k`.

use std::sync::Arc;

use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, HostId};
use slog::info;
use tokio::sync::watch;

use crate::context::Context;
use crate::members::{Members, OrphanSource};

/// Cancels orphaned attempts until `stopped` turns true.
pub async fn run(context: Arc<Context>, members: Arc<Members>, mut stopped: watch::Receiver<bool>) {
    loop {
        let source = tokio::select! {
            source = members.next_orphan_source() => source,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        match source {
            OrphanSource::Host(host) if members.is_reaper() => {
                for (_, target) in context.engines() {
                    cancel_orphans(&context, &target, &host, |_| true).await;
                }
            }
            OrphanSource::Host(_) => {}
            OrphanSource::Engine(engine) => {
                let prefix = format!("{}-{:x}-", context.settings.host, context.boot.0);
                let mut engines = context.engines();
                engines.retain(|(_, target)| target.endpoint == engine);
                for (_, target) in &engines {
                    let host = context.settings.host.clone();
                    let is_earlier = |attempt: &AttemptId| !attempt.as_str().starts_with(&prefix);
                    cancel_orphans(&context, target, &host, is_earlier).await;
                }
            }
        }
    }
}

async fn cancel_orphans(
    context: &Context,
    target: &Target,
    owner: &HostId,
    is_orphan: impl Fn(&AttemptId) -> bool,
) {
    let Ok(running) = context.engine.running_attempts(target, owner).await else {
        return;
    };
    for attempt in running.into_iter().map(|running| running.id) {
        if is_orphan(&attempt) && !is_keyed(&attempt) {
            info!(context.logger, ""; "event" => "orphan_ended", "attempt" => %attempt,
                "endpoint" => %target.endpoint, "owner" => %owner);
            context.canceller.enqueue(target.clone(), attempt);
        }
    }
}

fn is_keyed(attempt: &AttemptId) -> bool {
    let number = attempt.as_str().rsplit('.').next();
    number.is_some_and(|number| number.starts_with('k'))
}
