//! Repeated broadcasts of the jobs of this host, for hosts that missed an event.

use std::sync::Arc;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::Plan;

use super::{Policy, Pool, Service};
use crate::broadcast::RelayPath;
use crate::message::Event;

/// The maximum encoded size of a plan without its parts, in bytes.
const MAX_PLAN_BYTES: usize = 48;
/// The maximum encoded size of a part, in bytes.
const MAX_PART_BYTES: usize = 15;
/// The maximum size of the jobs in a datagram, which leaves room for a service's name.
const MAX_BATCH_BYTES: usize = 1_200;

impl Pool {
    /// Broadcasts all jobs of this host that are in flight, for hosts that have missed events.
    pub fn rebroadcast_jobs(&self, path: RelayPath) {
        let now = self.dependencies.clock.now();
        let services: Vec<Arc<Service>> = self.services.read().values().cloned().collect();
        for service in services {
            let jobs = match &mut service.state.lock().policy {
                Policy::Engines(planner) => planner.renew_jobs(now, self.dependencies.number),
                Policy::Plain(_) => continue,
            };
            for jobs in split_into_batches(jobs) {
                let event = Event::Running(service.name.clone(), jobs);
                self.broadcast_via(event, Urgency::Usual, path);
            }
        }
    }
}

/// Splits jobs into batches that each fit a datagram.
fn split_into_batches(jobs: Vec<(Plan, bool)>) -> Vec<Vec<(Plan, bool)>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for (plan, is_prefilling) in jobs {
        let size = MAX_PLAN_BYTES + MAX_PART_BYTES * plan.helpers.len();
        if bytes + size > MAX_BATCH_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += size;
        batch.push((plan, is_prefilling));
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
