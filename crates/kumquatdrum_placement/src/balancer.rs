//! Requests over the endpoints of a plain service.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::reach::{DataCentreKey, Reach};
use crate::{EndpointKey, Failure, Health};

/// How long a reported load is believed: about as long as a plain request takes to run.
const REPORT_LIFE: Duration = Duration::from_millis(250);

/// Spreads requests by what this host has under way, what endpoints report, and their health.
#[derive(Debug, Default)]
pub struct Balancer {
    endpoints: IndexMap<EndpointKey, Endpoint>,
    reach: Reach,
    turn: usize,
}

#[derive(Debug)]
struct Endpoint {
    group: DataCentreKey,
    slots: u32,
    under_way: u32,
    reported: u32,
    reported_at: Moment,
    health: Health,
    usable: bool,
}

impl Balancer {
    /// The endpoints that may be chosen from now on, with their slots.
    pub fn set_endpoints(
        &mut self,
        usable: impl IntoIterator<Item = (EndpointKey, DataCentreKey, u32)>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.usable = false;
        }
        for (key, group, slots) in usable {
            let endpoint = self.endpoints.entry(key);
            let endpoint = endpoint.or_insert_with(|| Endpoint::new(group));
            endpoint.group = group;
            endpoint.slots = slots.max(1);
            endpoint.usable = true;
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.usable || endpoint.under_way > 0);
    }

    /// The endpoint with most room, none of `spared`; the choice counts as under way.
    pub fn choose(&mut self, now: Moment, excluded: &[EndpointKey]) -> Option<EndpointKey> {
        self.turn = self.turn.wrapping_add(1);
        let count = self.endpoints.len().max(1);
        let usable = |(_, (key, endpoint)): &(usize, (&EndpointKey, &Endpoint))| {
            endpoint.usable && !excluded.contains(key)
        };
        let order = |(place, (_, endpoint)): &(usize, (&EndpointKey, &Endpoint))| {
            let is_cut = self.reach.is_cut(now, endpoint.group);
            let ejected = is_cut || endpoint.health.is_ejected(now);
            let load = (endpoint.load(now) * 1e3) as u64;
            (ejected, load, (place + self.turn) % count)
        };
        let best = self.endpoints.iter().enumerate().filter(usable);
        let key = best.min_by_key(order).map(|(_, (key, _))| *key)?;
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.under_way += 1;
        }
        Some(key)
    }

    /// A chosen request has ended.
    pub fn record_end(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.under_way = endpoint.under_way.saturating_sub(1);
        }
    }

    /// An endpoint has answered, and may have told its load.
    pub fn record_success(&mut self, now: Moment, key: EndpointKey, load: Option<u32>) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.health.succeeded();
            self.reach.succeeded(endpoint.group);
            if let Some(load) = load {
                endpoint.reported = load;
                endpoint.reported_at = now;
            }
        }
    }

    /// An endpoint has failed; returns whether it is spared from now on.
    pub fn record_failure(&mut self, now: Moment, key: EndpointKey, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        self.reach.failed(now, endpoint.group, failure);
        endpoint.health.failed(now, failure)
    }
}

impl Endpoint {
    /// An endpoint that has nothing to do yet.
    fn new(group: DataCentreKey) -> Self {
        Self {
            group,
            slots: 1,
            under_way: 0,
            reported: 0,
            reported_at: Moment::ZERO,
            health: Health::default(),
            usable: false,
        }
    }

    /// Requests a slot, with the health's penalty.
    fn load(&self, now: Moment) -> f64 {
        let is_fresh = now - self.reported_at <= REPORT_LIFE && self.reported_at > Moment::ZERO;
        let reported = if is_fresh { self.reported } else { 0 };
        let requests = self.under_way.max(reported) + u32::from(self.under_way > 0);
        f64::from(requests) / f64::from(self.slots) + self.health.penalty_ms() / 100.0
    }
}
