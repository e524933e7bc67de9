//! What ends the wait of a job before its deadline.

use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquatdrum_placement::Job;

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
        let expected = service.state.lock().expected_duration(job);
        let now = self.dependencies.clock.now();
        if shutdown.allows(now, expected, job.deadline) {
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
    /// Returns the time that an endpoint without other work needs for a job. How much is left of a
    /// resumed job is unknown, so it counts as nothing: a refusal would cut its stream.
    fn expected_duration(&self, job: &Job) -> Duration {
        match &self.policy {
            _ if job.is_resumed => Duration::ZERO,
            Policy::Engines(planner) => planner.expected_duration(job),
            Policy::Plain(_) => (job.due - job.arrived) / 2,
        }
    }
}
