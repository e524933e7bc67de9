//! Tracks the rate of arriving work, and which workspaces exceed their share of the capacity.

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, WorkspaceName};

use crate::Job;
use crate::queue::work_tokens;

/// The averaging time of arrivals, in seconds.
const WINDOW_SECONDS: f64 = 20.0;
/// The shortest observation that a rate is based on, in seconds.
const MIN_OBSERVED_SECONDS: f64 = 2.0;
/// The interval at which the weight of active workspaces is recomputed, in seconds.
const REFRESH_SECONDS: f64 = 1.0;
/// The share of the capacity above which a workspace counts as active.
const MIN_ACTIVE_SHARE: f64 = 0.001;

/// An exponential moving average of work per second.
#[derive(Debug, Default)]
pub(super) struct Rate {
    value: f64,
    last_at: Moment,
    first_at: Option<Moment>,
}

impl Rate {
    pub(super) fn add(&mut self, now: Moment, amount: f64) {
        let first_at = *self.first_at.get_or_insert(now);
        let elapsed = (now - self.last_at.max(first_at)).as_secs_f64();
        self.value = self.value * (-elapsed / WINDOW_SECONDS).exp() + amount / WINDOW_SECONDS;
        self.last_at = now;
    }

    /// Returns the rate at `now`. At the start, the average covers only the time observed so far.
    pub(super) fn per_second(&self, now: Moment) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let decay = (-(now - self.last_at).as_secs_f64() / WINDOW_SECONDS).exp();
        let observed = (now - first_at).as_secs_f64().max(MIN_OBSERVED_SECONDS);
        self.value * decay / (1.0 - (-observed / WINDOW_SECONDS).exp())
    }
}

#[derive(Debug, Default)]
struct Workspace {
    rate: Rate,
    weight: u32,
}

/// The work of each workspace's short requests.
#[derive(Debug, Default)]
pub(super) struct Shares {
    workspaces: IndexMap<WorkspaceName, Workspace>,
    active_weight: u64,
    refreshed_at: Moment,
}

impl Shares {
    /// Records a request. `capacity` is this daemon's share of the work per second.
    pub(super) fn record(&mut self, now: Moment, job: &Job, capacity: f64) {
        if !self.workspaces.contains_key(&job.request.workspace) {
            self.workspaces
                .insert(job.request.workspace.clone(), Workspace::default());
        }
        if let Some(workspace) = self.workspaces.get_mut(&job.request.workspace) {
            workspace.weight = job.request.weight.max(1);
            workspace.rate.add(now, work_tokens(job) as f64);
        }
        if (now - self.refreshed_at).as_secs_f64() >= REFRESH_SECONDS || self.active_weight == 0 {
            self.refreshed_at = now;
            self.workspaces.retain(|_, workspace| {
                workspace.rate.per_second(now) > capacity * MIN_ACTIVE_SHARE
            });
            let weights = self
                .workspaces
                .values()
                .map(|workspace| u64::from(workspace.weight));
            self.active_weight = weights.sum();
        }
    }

    /// Returns whether the workspace's short requests exceed its share of the capacity.
    pub(super) fn is_above_share(&self, now: Moment, job: &Job, capacity: f64) -> bool {
        let Some(workspace) = self.workspaces.get(&job.request.workspace) else {
            return false;
        };
        let weight = f64::from(workspace.weight) / self.active_weight.max(1) as f64;
        workspace.rate.per_second(now) > capacity * weight.min(1.0)
    }
}
