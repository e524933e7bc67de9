//! The queue of one size class: priority levels with aging, weighted fair queueing of workspaces
//! within a level, earliest deadline first within a workspace.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, RequestId, WorkspaceName};

use crate::Job;

/// The fixed work of a request, in tokens, in addition to its own tokens.
const BASE_WORK: u64 = 256;

/// Returns the work of a request, in tokens.
pub(crate) fn work_tokens(job: &Job) -> u64 {
    BASE_WORK + job.prefill_tokens() + job.request.expected_output_tokens
}

/// The position of a request within its workspace: its deadline and a sequence number.
type Position = (Moment, u64);

#[derive(Debug)]
struct Entry {
    request: RequestId,
    arrived: Moment,
    work_tokens: u64,
    weight: u64,
}

/// The requests of one workspace at one level. The start tag is the virtual time at which the next
/// one is due.
#[derive(Debug, Default)]
struct Flow {
    start_tag: u64,
    entries: BTreeMap<Position, Entry>,
    work_tokens: u64,
    weight: u64,
}

/// The requests of one priority level.
#[derive(Debug, Default)]
struct Level {
    virtual_time: u64,
    flows: IndexMap<WorkspaceName, Flow>,
    by_start_tag: BTreeSet<(u64, WorkspaceName)>,
    /// Arrival times, each with the sequence number of its request.
    arrivals: BTreeSet<(Moment, u64)>,
    aging: Duration,
    work_tokens: u64,
    weight: u64,
}

/// The position of a queued request, needed to remove it.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    level: u8,
    position: Position,
}

/// The queue of one size class.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    levels: BTreeMap<u8, Level>,
    last_sequence: u64,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the work queued before a new request of a workspace, in tokens.
    pub(crate) fn work_ahead(&self, level: u8, workspace: &WorkspaceName, weight: u32) -> u64 {
        let above = self.levels.range(level.saturating_add(1)..);
        let above: u64 = above.map(|(_, level)| level.work_tokens).sum();
        let Some(same_level) = self.levels.get(&level) else {
            return above;
        };
        let weight = u64::from(weight.max(1));
        let flow = same_level.flows.get(workspace);
        let (flow_work, flow_weight) = flow.map_or((0, 0), |flow| (flow.work_tokens, flow.weight));
        let competing_weight = same_level.weight - flow_weight;
        // While this workspace's work is served, the others are served in proportion to their
        // weight.
        let competing_work = (flow_work + BASE_WORK) * competing_weight / weight;
        above + flow_work + competing_work.min(same_level.work_tokens - flow_work)
    }

    pub(crate) fn push(&mut self, job: &Job) -> Ticket {
        self.last_sequence += 1;
        self.len += 1;
        let request = &job.request;
        let position = (request.deadline, self.last_sequence);
        let entry = Entry {
            request: request.id.clone(),
            arrived: job.arrived,
            work_tokens: work_tokens(job),
            weight: u64::from(request.weight.max(1)),
        };
        let level = self.levels.entry(request.priority.level).or_default();
        level.aging = request.priority.aging;
        level.push(&request.workspace, position, entry);
        Ticket {
            level: request.priority.level,
            position,
        }
    }

    /// Returns the next request to dispatch.
    pub(crate) fn head(&self) -> Option<&RequestId> {
        let busy = self
            .levels
            .iter()
            .filter(|(_, level)| level.work_tokens > 0);
        // Each level counts as one aging interval of waiting time; the level with the earliest
        // arrival, adjusted in this way, comes first.
        let first = busy.min_by_key(|(number, level)| {
            let arrived = level
                .arrivals
                .first()
                .map_or(0, |(arrived, _)| arrived.micros);
            let advance = level.aging.as_micros() as i128 * i128::from(**number);
            i128::from(arrived) - advance
        });
        first.and_then(|(_, level)| level.head())
    }

    /// Removes a request; if it was served, its work is charged to its workspace.
    pub(crate) fn remove(&mut self, workspace: &WorkspaceName, ticket: &Ticket, is_served: bool) {
        if let Some(level) = self.levels.get_mut(&ticket.level) {
            self.len -= 1;
            level.remove(workspace, ticket.position, is_served);
        }
    }
}

impl Level {
    fn push(&mut self, workspace: &WorkspaceName, position: Position, entry: Entry) {
        let flow = self.flows.entry(workspace.clone()).or_default();
        if flow.entries.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.by_start_tag
                .insert((flow.start_tag, workspace.clone()));
        }
        self.weight = self.weight - flow.weight + entry.weight;
        flow.weight = entry.weight;
        flow.work_tokens += entry.work_tokens;
        self.work_tokens += entry.work_tokens;
        self.arrivals.insert((entry.arrived, position.1));
        flow.entries.insert(position, entry);
    }

    fn head(&self) -> Option<&RequestId> {
        let (_, workspace) = self.by_start_tag.first()?;
        let (_, entry) = self.flows.get(workspace)?.entries.first_key_value()?;
        Some(&entry.request)
    }

    fn remove(&mut self, workspace: &WorkspaceName, position: Position, is_served: bool) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(entry) = flow.entries.remove(&position) else {
            return;
        };
        self.by_start_tag
            .remove(&(flow.start_tag, workspace.clone()));
        flow.work_tokens -= entry.work_tokens;
        self.work_tokens -= entry.work_tokens;
        self.arrivals.remove(&(entry.arrived, position.1));
        if is_served {
            self.virtual_time = self.virtual_time.max(flow.start_tag);
            flow.start_tag += entry.work_tokens / entry.weight;
        }
        if flow.entries.is_empty() {
            self.weight -= flow.weight;
            flow.weight = 0;
        } else {
            self.by_start_tag
                .insert((flow.start_tag, workspace.clone()));
        }
        let virtual_time = self.virtual_time;
        if self.work_tokens == 0 {
            self.flows.retain(|_, flow| flow.start_tag > virtual_time);
        }
    }
}
