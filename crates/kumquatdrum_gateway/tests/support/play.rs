//! Plays of hosts that start, with control hosts that are up late, slow, frozen or without disks.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use kumquatdrum_gateway::allowance::Allowance;
use kumquatdrum_gateway::contact::{
    ContactRequest, EndpointsReply, Lists, Reply, Schedule, Target,
};
use kumquatdrum_types::{HostId, Moment, hash};

pub const START: u64 = 60_000;
pub const CONTROL_HOSTS: usize = 6;
/// The adapter's timeout for any answer.
pub const TIMEOUT_MS: u64 = 3_000;

pub fn control(number: usize) -> HostId {
    HostId::new(format!("10.0.0.{}", number + 1))
}

/// Six control hosts, of which two or all are near.
pub fn targets(is_all_near: bool) -> Vec<Target> {
    let target = |number| Target {
        host: control(number),
        is_remote: number >= 2 && !is_all_near,
    };
    (0..CONTROL_HOSTS).map(target).collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Given,
    Refused,
    Lost,
}

/// The behaviour of the control hosts in one play.
#[derive(Default)]
pub struct Play {
    pub seed: u64,
    /// When each control host is up, in milliseconds after the start.
    pub up: [u64; CONTROL_HOSTS],
    /// The time that a control host needs to send all endpoints to one host, in milliseconds.
    pub endpoints_ms: u64,
    /// One in how many answers is lost; 0: none.
    pub lost_one_in: u64,
    /// How far a control host is behind with sending endpoints before it refuses to.
    pub max_queue_ms: u64,
    /// The number of control hosts that freeze, and when.
    pub frozen: (usize, u64),
    pub hosts: usize,
    pub length_ms: u64,
    /// The number of control hosts that have lost their disks and send no endpoints.
    pub empty: usize,
    /// The size of all endpoints, of which control hosts send as much as their allowance permits; 0: no
    /// limit.
    pub endpoint_bytes: usize,
    /// The longest time that control hosts need to answer a hello, besides 12 ms.
    pub max_hello_ms: u64,
    /// Whether all control hosts are near; else two are.
    pub is_all_near: bool,
    /// Whether the hosts are control hosts.
    pub is_control: bool,
}

/// Returns the kind of a request, of which one is in flight to a control host at a time.
pub fn kind(order: &ContactRequest) -> u8 {
    match order {
        ContactRequest::Hello(hello) => u8::from(hello.lists == Lists::Hosts),
        ContactRequest::Endpoints { .. } => 2,
    }
}

/// What one host has sent and received.
#[derive(Debug, Default)]
pub struct Record {
    pub hellos: IndexMap<HostId, usize>,
    /// When a listing was requested, and of which control host.
    pub listings: Vec<(u64, HostId)>,
    /// When all endpoints were requested.
    pub endpoints: Vec<(u64, HostId)>,
    pub first_answer: Option<u64>,
    pub endpoints_received: Option<u64>,
    /// The number of answers with all endpoints.
    pub endpoints_sent: usize,
    /// The control hosts whose endpoints arrived.
    pub sources: Vec<HostId>,
    /// When the schedule had its initial endpoints.
    pub informed: Option<u64>,
    pub hello_times: Vec<(u64, HostId)>,
    pub listings_received: Vec<u64>,
    /// When changed endpoints arrived.
    pub changes_received: Vec<u64>,
    /// When each control host first answered a hello.
    pub answered_by: IndexMap<HostId, u64>,
}

impl Play {
    pub fn draw(&self, number: u64) -> u64 {
        hash::mix(self.seed ^ hash::mix(number))
    }

    /// Records an answer.
    fn record(
        &self,
        at: u64,
        schedule: &mut Schedule,
        record: &mut Record,
        (from, order, answer): (usize, ContactRequest, Answer),
    ) {
        let now = Moment::from_millis(START + at);
        let is_answered = answer == Answer::Given;
        if let ContactRequest::Hello(hello) = order {
            let reply = if is_answered {
                Reply::Welcome {
                    has_setup: true,
                    lacks_endpoints: false,
                }
            } else {
                Reply::Missing
            };
            schedule.record_hello(now, &hello, reply);
            record.first_answer = record.first_answer.or(is_answered.then_some(at));
            if is_answered {
                record.answered_by.entry(control(from)).or_insert(at);
            }
            if hello.requests_changes && is_answered {
                record.changes_received.push(at);
            }
            if hello.lists == Lists::Hosts && is_answered {
                record.listings_received.push(at);
            }
        } else {
            let is_empty = from < self.empty;
            let reply = match answer {
                Answer::Given => EndpointsReply::Received { is_empty },
                Answer::Refused => EndpointsReply::Refused,
                Answer::Lost => EndpointsReply::Missing,
            };
            schedule.record_endpoints(now, &control(from), reply);
            if is_answered && !is_empty {
                record.endpoints_received.get_or_insert(at);
                record.sources.push(control(from));
            }
        }
        if schedule.has_initial_endpoints() {
            record.informed.get_or_insert(at);
        }
    }

    pub fn run(&self) -> Vec<Record> {
        let mut records: Vec<Record> = Vec::new();
        let mut schedules = Vec::new();
        for host in 0..self.hosts {
            let id = HostId::new(format!("10.1.{}.{}", host / 200, host % 200));
            let mut schedule = Schedule::new(Moment::from_millis(START), id, self.is_control);
            schedule.set_targets(targets(self.is_all_near));
            schedules.push(schedule);
            records.push(Record::default());
        }
        // Answers by time, then host, control host and whether they are for all endpoints.
        let mut answers: BTreeMap<u64, Vec<(usize, usize, ContactRequest, Answer)>> =
            BTreeMap::new();
        let mut in_flight = IndexMap::new();
        let mut busy_until = [0; CONTROL_HOSTS];
        let mut allowances: [Allowance; CONTROL_HOSTS] = Default::default();
        let mut drawn = 0;
        for at in 0..self.length_ms {
            let now = Moment::from_millis(START + at);
            for (host, from, order, answer) in answers.remove(&at).unwrap_or_default() {
                in_flight.swap_remove(&(host, from, kind(&order)));
                let answer = (from, order, answer);
                self.record(at, &mut schedules[host], &mut records[host], answer);
            }
            for (host, schedule) in schedules.iter_mut().enumerate() {
                for order in schedule.poll(now) {
                    let mut timeout_ms = TIMEOUT_MS;
                    let (to, is_endpoints) = match &order {
                        ContactRequest::Hello(hello) => {
                            let to = &hello.to;
                            *records[host].hellos.entry(to.clone()).or_default() += 1;
                            records[host].hello_times.push((at, to.clone()));
                            if hello.lists == Lists::Hosts {
                                records[host].listings.push((at, to.clone()));
                            }
                            timeout_ms = hello.timeout.as_millis() as u64;
                            (to.clone(), false)
                        }
                        ContactRequest::Endpoints { from } => {
                            records[host].endpoints.push((at, from.clone()));
                            (from.clone(), true)
                        }
                    };
                    let number = (0..CONTROL_HOSTS).find(|number| control(*number) == to);
                    let number = number.expect("a control host");
                    let is_new = in_flight.insert((host, number, kind(&order)), at).is_none();
                    assert!(is_new, "seed {}: repeated while under way", self.seed);
                    drawn += 1;
                    let is_frozen = number < self.frozen.0 && at >= self.frozen.1;
                    let is_lost = is_frozen
                        || self.lost_one_in > 0
                            && self.draw(drawn).is_multiple_of(self.lost_one_in);
                    let up = self.up[number];
                    // A connection to a machine without power is retried until the machine is up.
                    let mut is_refused = false;
                    let delay = match () {
                        () if is_lost || up >= at + timeout_ms => timeout_ms,
                        () if is_endpoints
                            && up <= at
                            && (busy_until[number] > at + self.max_queue_ms
                                || self.endpoint_bytes > 0
                                    && !allowances[number].try_take(now, self.endpoint_bytes)) =>
                        {
                            is_refused = true;
                            2
                        }
                        () if is_endpoints => {
                            records[host].endpoints_sent += 1;
                            let begun = busy_until[number].max(at.max(up));
                            busy_until[number] = begun + self.endpoints_ms;
                            (busy_until[number] - at).min(TIMEOUT_MS)
                        }
                        () => {
                            let slow = self.draw(drawn + 2) % (self.max_hello_ms + 1);
                            let up_in = up.saturating_sub(at);
                            (up_in + 2 + self.draw(drawn + 1) % 10 + slow).min(timeout_ms)
                        }
                    };
                    let answer = match () {
                        () if is_refused => Answer::Refused,
                        () if delay < timeout_ms => Answer::Given,
                        () => Answer::Lost,
                    };
                    let answer = (host, number, order, answer);
                    answers.entry(at + delay).or_default().push(answer);
                }
            }
        }
        records
    }
}
