//! The limits of the declaration in force on this host.

use std::sync::Arc;

use kumquatdrum_routing::limits::{Coordinator, Limit, Limiter};
use kumquatdrum_types::{Moment, Version};

use crate::in_force::{Current, Store};

/// The limiter and the coordinator of this host, under the limits of the declaration in force.
///
/// The declaration is compared at each access, so that no request is admitted under the limits of
/// an earlier version.
#[derive(Debug)]
pub struct Limits {
    in_force: Arc<Store>,
    applied: Option<Version>,
    limiter: Limiter,
    coordinator: Coordinator,
}

impl Limits {
    /// Creates the limits of a host whose limiter and coordinator have none yet.
    pub const fn new(in_force: Arc<Store>, limiter: Limiter, coordinator: Coordinator) -> Self {
        Self {
            in_force,
            applied: None,
            limiter,
            coordinator,
        }
    }

    /// Returns the limiter.
    pub fn limiter(&mut self, now: Moment) -> &mut Limiter {
        self.update(now);
        &mut self.limiter
    }

    /// Returns the coordinator.
    pub fn coordinator(&mut self, now: Moment) -> &mut Coordinator {
        self.update(now);
        &mut self.coordinator
    }

    fn update(&mut self, now: Moment) {
        let Some(current) = self.in_force.current() else {
            return;
        };
        if self.applied != Some(current.offer.version) {
            self.applied = Some(current.offer.version);
            self.apply(now, &current);
        }
    }

    fn apply(&mut self, now: Moment, current: &Current) {
        for workspace in &current.index.declaration().workspaces {
            let declared = &workspace.limits;
            let limit = Limit {
                requests_per_second: declared.requests_per_second.map(|rate| rate as f64),
                tokens_per_second: declared.tokens_per_second.map(|rate| rate as f64),
                concurrency: declared.concurrency,
            };
            let name = workspace.name.clone();
            self.coordinator.set_limit(name.clone(), limit);
            self.limiter.set_limit(now, name, limit);
        }
    }
}
