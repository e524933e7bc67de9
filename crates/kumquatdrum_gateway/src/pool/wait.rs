//! What ends the wait of a job before its deadline.

use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquatdrum_placement::{Job, Shutdown};
use kumquatdrum_types::Moment;

use super::{Policy, Pool, Rejection, Service, State};

impl Pool {
    /// Lets all waiting jobs check at once whether they may go on waiting.
    pub fn recheck_waits(&self) {
        for service in self.services.read().values() {
            service.changed.notify_waiters();
        }
    }

    /// Returns an error if a job must not wait or be placed.
    pub(super) fn check_wait(&self, service: &Service, job: &Job) -> Result<(), Rejection> {
        if service.is_dropped.load(Ordering::Acquire) {
            return Err(Rejection::Dropped);
        }
        if service.is_evacuated() {
            return Err(Rejection::Evacuated);
        }
        let Some(shutdown) = self.dependencies.shutdown.planned() else {
            return Ok(());
        };
        let now = self.dependencies.clock.now();
        if service.state.lock().allows(shutdown, now, job) {
            Ok(())
        } else {
            Err(Rejection::Stopping)
        }
    }
}

impl Service {
    /// Ends all waits, as the setup no longer declares the service.
    pub(super) fn drop_waits(&self) {
        self.is_dropped.store(true, Ordering::Release);
        self.changed.notify_waiters();
    }
}

impl State {
    /// Returns whether a job may wait or start although the host stops. How much is left of a resumed job
    /// is unknown, so it counts as nothing: a refusal would cut its stream.
    fn allows(&self, shutdown: Shutdown, now: Moment, job: &Job) -> bool {
        match &self.policy {
            _ if job.is_resumed => shutdown.allows(now, Duration::ZERO, job.deadline),
            Policy::Engines(planner) => {
                shutdown.allows(now, planner.expected_duration(job), job.deadline)
            }
            Policy::Plain(balancer) => {
                shutdown.allows_answer(now, balancer.longest_duration(job), job.deadline)
            }
        }
    }
}
