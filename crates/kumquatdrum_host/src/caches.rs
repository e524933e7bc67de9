//! Reads engines' cache events and hands them to the routers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use indexmap::IndexMap;
use kumquatdrum_engine::engine::{CacheEvent, CachePage};
use kumquatdrum_routing::{BlockHash, CacheChange, CacheEvent as Event};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{BootId, EndpointId, ServiceName};
use tokio::sync::watch;

use crate::shell::Shell;

/// How often each engine is asked.
const ROUND: Duration = Duration::from_secs(1);

/// How far an engine's events have been read.
#[derive(Debug, Clone, Copy, Default)]
struct Mark {
    boot: BootId,
    last: u64,
}

/// Reads until `stopped` resolves.
pub async fn run(shell: Arc<Shell>, mut stopped: watch::Receiver<bool>) {
    let mut marks: IndexMap<EndpointId, Mark> = IndexMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(ROUND) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
        round(&shell, &mut marks).await;
    }
}

async fn round(shell: &Shell, marks: &mut IndexMap<EndpointId, Mark>) {
    let engines = shell.engines();
    marks.retain(|id, _| engines.iter().any(|(_, target)| target.endpoint == *id));
    let asked = engines.into_iter().map(|(service, target)| {
        let known = marks.get(&target.endpoint).copied();
        let after = known
            .filter(|mark| mark.boot == target.boot)
            .map_or(0, |mark| mark.last);
        async move {
            let page = shell.engine.cache_events(&target, after).await.ok()?;
            Some((service, target, after, page))
        }
    });
    for (service, target, after, page) in join_all(asked).await.into_iter().flatten() {
        let mark = Mark {
            boot: page.boot,
            last: page.last,
        };
        marks.insert(target.endpoint.clone(), mark);
        if page.boot == target.boot {
            take(shell, &service, &target, after, &page);
        }
    }
}

fn take(shell: &Shell, service: &ServiceName, target: &Target, after: u64, page: &CachePage) {
    let mut wants_resync = false;
    for event in &page.events {
        if let Some(event) = read(page.boot, event) {
            wants_resync |= shell.fleet.cache(service, &target.endpoint, &event);
        }
    }
    // A first page without a gap is a whole list.
    let is_whole = after == 0 && page.events.len() as u64 == page.last;
    if wants_resync && is_whole {
        let event = Event {
            boot: page.boot,
            sequence: page.last,
            change: CacheChange::Snapshot(held(&page.events)),
        };
        shell.fleet.cache(service, &target.endpoint, &event);
    }
}

fn hash(event: &CacheEvent) -> Option<BlockHash> {
    u64::from_str_radix(&event.prefix, 16).ok().map(BlockHash)
}

fn read(boot: BootId, event: &CacheEvent) -> Option<Event> {
    let block = vec![hash(event)?];
    let change = match event.op.as_str() {
        "stored" => CacheChange::Stored(block),
        "evicted" => CacheChange::Evicted(block),
        _ => return None,
    };
    Some(Event {
        boot,
        sequence: event.seq,
        change,
    })
}

fn held(events: &[CacheEvent]) -> Vec<BlockHash> {
    let mut held = indexmap::IndexSet::new();
    for event in events {
        match (hash(event), event.op.as_str()) {
            (Some(block), "stored") => {
                held.insert(block);
            }
            (Some(block), "evicted") => {
                held.shift_remove(&block);
            }
            _ => {}
        }
    }
    held.into_iter().collect()
}
