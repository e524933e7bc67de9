//! What arrives: averaged rates of work, and which workspaces bring more than their share.

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, WorkspaceName};

use crate::Job;
use crate::queue::work;

/// Time over which arrivals are averaged, in seconds.
const WINDOW: f64 = 20.0;
/// Arrivals over less than this tell no rate, in seconds.
const LEAST_SEEN: f64 = 2.0;
/// How often the sum over all workspaces is taken anew, in seconds.
const RENEWAL: f64 = 1.0;
/// A workspace counts as active down to this part of the capacity.
const ACTIVE: f64 = 0.001;

/// An average of work a second that fades with time.
#[derive(Debug, Default)]
pub(super) struct Rate {
    value: f64,
    at: Moment,
    first: Option<Moment>,
}

impl Rate {
    pub(super) fn add(&mut self, now: Moment, amount: f64) {
        let first = *self.first.get_or_insert(now);
        let past = (now - self.at.max(first)).as_secs_f64();
        self.value = self.value * (-past / WINDOW).exp() + amount / WINDOW;
        self.at = now;
    }

    /// The rate as of now. In the beginning, the average is over what was seen.
    pub(super) fn per_second(&self, now: Moment) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        let faded = (-(now - self.at).as_secs_f64() / WINDOW).exp();
        let seen = (now - first).as_secs_f64().max(LEAST_SEEN);
        self.value * faded / (1.0 - (-seen / WINDOW).exp())
    }
}

#[derive(Debug, Default)]
struct Flow {
    rate: Rate,
    weight: u32,
}

/// The short requests' work that each workspace brings.
#[derive(Debug, Default)]
pub(super) struct Shares {
    flows: IndexMap<WorkspaceName, Flow>,
    active_weight: u64,
    renewed: Moment,
}

impl Shares {
    /// Notes a request; `capacity` is the work a second that this daemon may take as its own.
    pub(super) fn arrived(&mut self, now: Moment, job: &Job, capacity: f64) {
        if !self.flows.contains_key(&job.ask.workspace) {
            self.flows
                .insert(job.ask.workspace.clone(), Flow::default());
        }
        if let Some(flow) = self.flows.get_mut(&job.ask.workspace) {
            flow.weight = job.ask.weight.max(1);
            flow.rate.add(now, work(job) as f64);
        }
        if (now - self.renewed).as_secs_f64() >= RENEWAL || self.active_weight == 0 {
            self.renewed = now;
            self.flows
                .retain(|_, flow| flow.rate.per_second(now) > capacity * ACTIVE);
            let weights = self.flows.values().map(|flow| u64::from(flow.weight));
            self.active_weight = weights.sum();
        }
    }

    /// Whether the request's workspace brings more short requests than its share of the capacity.
    pub(super) fn is_over(&self, now: Moment, job: &Job, capacity: f64) -> bool {
        let Some(flow) = self.flows.get(&job.ask.workspace) else {
            return false;
        };
        let weight = f64::from(flow.weight) / self.active_weight.max(1) as f64;
        flow.rate.per_second(now) > capacity * weight.min(1.0)
    }
}
