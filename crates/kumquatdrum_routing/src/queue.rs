//! The queue of one size class: priority levels with aging, fair shares of workspaces inside a
//! level, earliest deadline first inside a workspace.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, RequestId, WorkspaceName};

use crate::Job;

/// Work that every request stands for, whatever its length, in tokens.
const BASE_WORK: u64 = 256;

/// Work of a request, in tokens.
pub(crate) fn work(job: &Job) -> u64 {
    BASE_WORK + job.prefill_tokens() + job.ask.expected_output_tokens
}

/// The place of a request inside its workspace.
type Place = (Moment, u64);

#[derive(Debug)]
struct Entry {
    request: RequestId,
    since: Moment,
    work: u64,
    weight: u64,
}

/// One workspace's requests of a level. The tag is the virtual time at which its next one is due.
#[derive(Debug, Default)]
struct Flow {
    tag: u64,
    entries: BTreeMap<Place, Entry>,
    work: u64,
    weight: u64,
}

#[derive(Debug, Default)]
struct Level {
    virtual_time: u64,
    flows: IndexMap<WorkspaceName, Flow>,
    due: BTreeSet<(u64, WorkspaceName)>,
    arrivals: BTreeSet<(Moment, u64)>,
    aging: Duration,
    work: u64,
    weight: u64,
}

/// Where a queued request stands, needed to take it out.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    level: u8,
    place: Place,
}

/// The queue of one size class.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    levels: BTreeMap<u8, Level>,
    counter: u64,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Work that stands before a new request of a workspace, in tokens.
    pub(crate) fn ahead(&self, level: u8, workspace: &WorkspaceName, weight: u32) -> u64 {
        let above = self.levels.range(level.saturating_add(1)..);
        let above: u64 = above.map(|(_, level)| level.work).sum();
        let Some(own) = self.levels.get(&level) else {
            return above;
        };
        let weight = u64::from(weight.max(1));
        let flow = own.flows.get(workspace);
        let (flow_work, flow_weight) = flow.map_or((0, 0), |flow| (flow.work, flow.weight));
        let rivals = own.weight - flow_weight;
        // While this workspace's work is done, each rival gets as much for its weight.
        let rival_work = (flow_work + BASE_WORK) * rivals / weight;
        above + flow_work + rival_work.min(own.work - flow_work)
    }

    pub(crate) fn push(&mut self, job: &Job) -> Ticket {
        self.counter += 1;
        self.len += 1;
        let ask = &job.ask;
        let place = (ask.deadline, self.counter);
        let entry = Entry {
            request: ask.id.clone(),
            since: job.since,
            work: work(job),
            weight: u64::from(ask.weight.max(1)),
        };
        let level = self.levels.entry(ask.priority.level).or_default();
        level.aging = ask.priority.aging;
        level.push(&ask.workspace, place, entry);
        Ticket {
            level: ask.priority.level,
            place,
        }
    }

    /// The request that goes next.
    pub(crate) fn head(&self) -> Option<&RequestId> {
        let busy = self.levels.iter().filter(|(_, level)| level.work > 0);
        // A level counts as many agings earlier as it stands high; the earliest goes first.
        let first = busy.min_by_key(|(number, level)| {
            let since = level.arrivals.first().map_or(0, |(since, _)| since.micros);
            let lead = level.aging.as_micros() as i128 * i128::from(**number);
            i128::from(since) - lead
        });
        first.and_then(|(_, level)| level.head())
    }

    /// Takes a request out; `served` charges its work to its workspace.
    pub(crate) fn take(&mut self, workspace: &WorkspaceName, ticket: &Ticket, served: bool) {
        if let Some(level) = self.levels.get_mut(&ticket.level) {
            self.len -= 1;
            level.take(workspace, ticket.place, served);
        }
    }
}

impl Level {
    fn push(&mut self, workspace: &WorkspaceName, place: Place, entry: Entry) {
        let flow = self.flows.entry(workspace.clone()).or_default();
        if flow.entries.is_empty() {
            flow.tag = flow.tag.max(self.virtual_time);
            self.due.insert((flow.tag, workspace.clone()));
        }
        self.weight = self.weight - flow.weight + entry.weight;
        flow.weight = entry.weight;
        flow.work += entry.work;
        self.work += entry.work;
        self.arrivals.insert((entry.since, place.1));
        flow.entries.insert(place, entry);
    }

    fn head(&self) -> Option<&RequestId> {
        let (_, workspace) = self.due.first()?;
        let (_, entry) = self.flows.get(workspace)?.entries.first_key_value()?;
        Some(&entry.request)
    }

    fn take(&mut self, workspace: &WorkspaceName, place: Place, served: bool) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(entry) = flow.entries.remove(&place) else {
            return;
        };
        self.due.remove(&(flow.tag, workspace.clone()));
        flow.work -= entry.work;
        self.work -= entry.work;
        self.arrivals.remove(&(entry.since, place.1));
        if served {
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += entry.work / entry.weight;
        }
        if flow.entries.is_empty() {
            self.weight -= flow.weight;
            flow.weight = 0;
        } else {
            self.due.insert((flow.tag, workspace.clone()));
        }
        let virtual_time = self.virtual_time;
        if self.work == 0 {
            self.flows.retain(|_, flow| flow.tag > virtual_time);
        }
    }
}
