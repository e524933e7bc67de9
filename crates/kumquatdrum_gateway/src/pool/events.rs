//! Events of other hosts: their dispatches, and what they learned about endpoints.

use std::sync::Arc;

use super::{Policy, Pool, Service, Witness};
use crate::message::Event;

impl Pool {
    /// Applies dispatch events from other hosts.
    pub fn apply_events(&self, events: Vec<Event>) {
        let mut changed: Vec<Arc<Service>> = Vec::new();
        for event in events {
            let can_free_capacity = event.can_free_capacity();
            let service = self.apply_event(event).filter(|_| can_free_capacity);
            if let Some(service) = service
                && !changed.iter().any(|known| Arc::ptr_eq(known, &service))
            {
                changed.push(service);
            }
        }
        for service in changed {
            service.changed.notify_waiters();
        }
    }

    fn apply_event(&self, event: Event) -> Option<Arc<Service>> {
        let now = self.dependencies.clock.now();
        let service = self.find_service(event.service()?)?;
        let mut state = service.state.lock();
        match &event {
            Event::Limited(_, key, rate) => {
                self.apply_limit(&mut state, *key, *rate);
                drop(state);
                return Some(service);
            }
            Event::Taken(_, key, host) => {
                state.policy.limits_mut().record(now, *key, *host);
                return None;
            }
            Event::Unreachable(_, key, from) => {
                self.record_unreachable(&service, &mut state, *key, *from, Witness::Remote);
                return None;
            }
            _ => {}
        }
        let Policy::Engines(planner) = &mut state.policy else {
            return None;
        };
        match event {
            Event::Sent(_, plan) => planner.record_dispatch(now, plan),
            Event::Began(_, job) => planner.record_first_token(now, job),
            Event::Ended(_, job) => planner.record_end(now, job),
            Event::Queued(_, waiter) => planner.enqueue(now, waiter),
            Event::Cancelled(_, job) => planner.dequeue(job),
            Event::Running(_, jobs) => {
                for (plan, is_prefilling) in jobs {
                    planner.renew_job(now, plan, is_prefilling);
                }
            }
            Event::Limited(..)
            | Event::Taken(..)
            | Event::Unreachable(..)
            | Event::Suspected(_) => return None,
        }
        drop(state);
        Some(service)
    }
}
