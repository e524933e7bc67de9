//! Summaries of the state of a data centre.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, HostId, ServiceName, endpoint};
use serde::{Deserialize, Serialize};

use crate::table::{Liveness, Record};

/// State of a data centre. Sums are rounded down to two significant bits, so that small changes
/// don't cause messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Data centre.
    pub data_centre: DataCentre,
    /// Services of the data centre, sorted by name.
    pub services: Vec<Service>,
    /// Hosts of the data centre that are not alive.
    pub down: Vec<HostId>,
}

/// State of one service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Service.
    pub service: ServiceName,
    /// Number of endpoints that accept new work.
    pub alive: u32,
    /// Free KV cache of these endpoints in tokens, rounded.
    pub free_memory_tokens: u64,
    /// Running and queued requests of these endpoints, rounded.
    pub requests: u64,
    /// Prompt tokens that these endpoints have yet to prefill, rounded.
    pub prefill_tokens: u64,
}

/// Returns the sums over the endpoints that accept new work, by service.
pub(crate) fn services<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Service> {
    let mut services: IndexMap<&ServiceName, Service> = IndexMap::new();
    for record in records {
        if record.liveness != Liveness::Alive || record.announcement.leaving {
            continue;
        }
        let name = &record.announcement.service;
        let service = services.entry(name).or_insert_with(|| empty(name));
        add(service, &record.announcement.kind);
    }
    services.sort_unstable_keys();
    services.into_values().map(rounded).collect()
}

fn empty(name: &ServiceName) -> Service {
    Service {
        service: name.clone(),
        alive: 0,
        free_memory_tokens: 0,
        requests: 0,
        prefill_tokens: 0,
    }
}

fn add(service: &mut Service, kind: &endpoint::Kind) {
    service.alive += 1;
    let endpoint::Kind::Engine(engine) = kind else {
        return;
    };
    let load = engine.load.clone().unwrap_or_default();
    service.free_memory_tokens += engine.memory_tokens.saturating_sub(load.memory_used_tokens);
    service.requests += u64::from(load.running) + u64::from(load.waiting);
    service.prefill_tokens += load.prefill_tokens;
}

fn rounded(service: Service) -> Service {
    Service {
        free_memory_tokens: round(service.free_memory_tokens),
        requests: round(service.requests),
        prefill_tokens: round(service.prefill_tokens),
        ..service
    }
}

/// Rounds a number down to its two most significant bits.
fn round(number: u64) -> u64 {
    let dropped_bits = (u64::BITS - number.leading_zeros()).saturating_sub(2);
    number >> dropped_bits << dropped_bits
}
