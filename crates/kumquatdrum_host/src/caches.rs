//! Polls engines for cache events and passes them to the routers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use indexmap::IndexMap;
use kumquatdrum_engine::engine::{CacheEvent, CachePage};
use kumquatdrum_routing::{BlockHash, CacheChange, CacheEvent as Event};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{BootId, EndpointId, ServiceName};
use tokio::sync::watch;

use crate::context::Context;

/// How often each engine is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The position up to which an engine's events have been read.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    boot: BootId,
    last: u64,
}

/// Polls until `stopped` turns true.
pub async fn run(context: Arc<Context>, mut stopped: watch::Receiver<bool>) {
    let mut cursors: IndexMap<EndpointId, Cursor> = IndexMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
        poll_engines(&context, &mut cursors).await;
    }
}

async fn poll_engines(context: &Context, cursors: &mut IndexMap<EndpointId, Cursor>) {
    let engines = context.engines();
    cursors.retain(|id, _| engines.iter().any(|(_, target)| target.endpoint == *id));
    let polls = engines.into_iter().map(|(service, target)| {
        let known = cursors.get(&target.endpoint).copied();
        let after = known
            .filter(|cursor| cursor.boot == target.boot)
            .map_or(0, |cursor| cursor.last);
        async move {
            let page = context.engine.cache_events(&target, after).await.ok()?;
            Some((service, target, after, page))
        }
    });
    for (service, target, after, page) in join_all(polls).await.into_iter().flatten() {
        let cursor = Cursor {
            boot: page.boot,
            last: page.last,
        };
        cursors.insert(target.endpoint.clone(), cursor);
        if page.boot == target.boot {
            apply_page(context, &service, &target, after, &page);
        }
    }
}

fn apply_page(
    context: &Context,
    service: &ServiceName,
    target: &Target,
    after: u64,
    page: &CachePage,
) {
    let mut needs_resync = false;
    for event in &page.events {
        if let Some(event) = parse_event(page.boot, event) {
            needs_resync |= context
                .routers
                .apply_cache_event(service, &target.endpoint, &event);
        }
    }
    // A first page without a gap describes the complete cache.
    let is_complete = after == 0 && page.events.len() as u64 == page.last;
    if needs_resync && is_complete {
        let event = Event {
            boot: page.boot,
            sequence: page.last,
            change: CacheChange::Snapshot(stored_blocks(&page.events)),
        };
        context
            .routers
            .apply_cache_event(service, &target.endpoint, &event);
    }
}

fn block_hash(event: &CacheEvent) -> Option<BlockHash> {
    u64::from_str_radix(&event.prefix, 16).ok().map(BlockHash)
}

fn parse_event(boot: BootId, event: &CacheEvent) -> Option<Event> {
    let block = vec![block_hash(event)?];
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

fn stored_blocks(events: &[CacheEvent]) -> Vec<BlockHash> {
    let mut stored = indexmap::IndexSet::new();
    for event in events {
        match (block_hash(event), event.op.as_str()) {
            (Some(block), "stored") => {
                stored.insert(block);
            }
            (Some(block), "evicted") => {
                stored.shift_remove(&block);
            }
            _ => {}
        }
    }
    stored.into_iter().collect()
}
