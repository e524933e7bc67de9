//! A fleet of hosts in virtual time: their tables and schedules, and messages that take milliseconds.

#[path = "../../../kumquatdrum_routes/tests/support/cut.rs"]
pub mod cut;
mod departure;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_gateway::contact::{ContactRequest, EndpointsReply, Hello, Lists, Reply, Schedule};
use kumquatdrum_gateway::hosts::table::Table;
use kumquatdrum_gateway::message::{Host, Listing, Selection};
use kumquatdrum_registry::{Registry, Update};
use kumquatdrum_types::{HostId, Moment, hash};

use self::cut::{Cut, Delivery, Kind, Open, Place, Way};

const START_MS: u64 = 100_000;
const DATA_CENTRES: u64 = 5;
const SEEDS: usize = 3;
/// How long a slow message takes.
pub const SLOW_MS: u64 = 1_000;
const EXPIRY_MS: u64 = 500;
const CONTROL_EXPIRY_MS: u64 = 250;
/// The interval at which a host looks for new contact targets without an event.
const IDLE_MS: u64 = 100;

/// The number of hosts by role.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entry: usize,
    pub control: usize,
}

/// What hosts exchange in a second, on average.
#[derive(Debug)]
pub struct Counts {
    pub sent_by_entry: f64,
    pub received_from_entry: f64,
    /// The control hosts that an entry host sends hellos to.
    pub contacts: f64,
    /// The hosts in a listing.
    pub listed: f64,
}

struct Node {
    host: Host,
    table: Table,
    schedule: Schedule,
    is_up: bool,
    next_poll_ms: u64,
    registry: Registry,
    /// The changes of each control host's registry up to which its departures were received.
    known_departures: IndexMap<usize, u64>,
    /// The version of the known evacuations.
    evacuations: u64,
}

/// The answer of a control host.
struct Answer {
    host: Host,
    has_majority: bool,
    listing: Option<Listing>,
    departures: Vec<Update>,
    /// The changes of the control host's registry.
    changes: u64,
    evacuations: u64,
}

enum Event {
    Poll(usize),
    Expire(usize),
    Receive(usize, usize, u64, Hello, Delivery),
    /// The answer of a control host, or none in time.
    Answer(usize, u64, Hello, Option<Answer>),
    /// What a control host sends to each host at once.
    Notice(usize, Option<Update>, u64),
    Endpoints(usize, u64, HostId),
}

pub struct Fleet {
    nodes: Vec<Node>,
    size: Size,
    seed: u64,
    /// One in how many messages takes [`SLOW_MS`]; 0: none.
    slow_one_in: u64,
    at_ms: u64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    bodies: Vec<Option<Event>>,
    /// The data centre that is cut off, and how.
    cut: Option<(u64, Cut)>,
    counted_from_ms: u64,
    hellos: Vec<(usize, usize)>,
    listings: Vec<usize>,
}

impl Fleet {
    /// Starts all hosts within 0.3 s. The first control hosts are seeds.
    pub fn start(size: Size, seed: u64, slow_one_in: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            size,
            seed,
            slow_one_in,
            at_ms: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            cut: None,
            counted_from_ms: 0,
            hellos: Vec::new(),
            listings: Vec::new(),
        };
        for number in 0..size.control + size.entry {
            let host = host(size, number, 1);
            let node = fleet.node(host);
            fleet.nodes.push(node);
        }
        for number in 0..fleet.nodes.len() {
            let at = fleet.draw(number as u64) % 300;
            fleet.boot(number, at);
        }
        fleet
    }

    fn node(&self, host: Host) -> Node {
        let mut table = Table::new(host.clone());
        let seeds = (0..SEEDS).map(|seed| self::host(self.size, seed, 1).id);
        table.set_seeds(seeds.collect());
        Node {
            schedule: Schedule::new(Moment::ZERO, host.id.clone(), host.is_control),
            host,
            table,
            is_up: false,
            next_poll_ms: u64::MAX,
            registry: Registry::default(),
            known_departures: IndexMap::new(),
            evacuations: 0,
        }
    }

    fn boot(&mut self, number: usize, at: u64) {
        let host = self.nodes[number].host.clone();
        let (id, is_control) = (host.id.clone(), host.is_control);
        self.nodes[number] = Node {
            schedule: Schedule::new(moment(at), id, is_control),
            is_up: true,
            ..self.node(host)
        };
        let endpoint = departure::endpoint();
        self.nodes[number].registry.announce(moment(at), endpoint);
        self.nodes[number].next_poll_ms = at;
        self.push(at, Event::Poll(number));
        self.push(at, Event::Expire(number));
    }

    pub fn control(&self, number: u64) -> usize {
        number as usize % self.size.control
    }

    pub fn entry(&self, number: u64) -> usize {
        self.size.control + number as usize % self.size.entry
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[number].is_up = false;
        self.nodes[number].host.boot += 1;
    }

    pub fn restart(&mut self, number: usize) {
        self.boot(number, self.at_ms);
    }

    pub fn cut(&mut self, data_centre: u64) {
        let cut = Cut {
            kind: Kind::Silent,
            way: Way::Both,
            open: Open::None,
        };
        self.cut_by(data_centre, cut);
    }

    pub fn cut_by(&mut self, data_centre: u64, cut: Cut) {
        self.cut = Some((data_centre, cut));
    }

    pub fn join(&mut self) {
        self.cut = None;
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.at_ms + ms);
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end_ms {
                break;
            }
            self.events.pop();
            self.at_ms = at;
            if let Some(event) = self.bodies[number].take() {
                self.handle(event);
            }
        }
        self.at_ms = end_ms;
    }

    /// Runs until each host in contact has the right view of the others, and returns how long that took.
    pub fn run_until_known(&mut self, most_ms: u64) -> u64 {
        let start = self.at_ms;
        while self.wrong_view().is_some() {
            let passed = self.at_ms - start;
            let seed = self.seed;
            assert!(
                passed <= most_ms,
                "seed {seed}, {passed} ms: {:?}",
                self.wrong_view()
            );
            self.run_for(100);
        }
        self.at_ms - start
    }

    pub fn expect_all_live(&self, after: &str) {
        let seed = self.seed;
        assert_eq!(
            self.wrong_view(),
            None,
            "seed {seed}, {} ms, {after}",
            self.at_ms
        );
    }

    /// Returns a host whose view of another one is wrong.
    fn wrong_view(&self) -> Option<(HostId, HostId)> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let up: IndexSet<&HostId> = up.map(|node| &node.host.id).collect();
        let now = moment(self.at_ms);
        self.nodes
            .iter()
            .filter(|node| node.is_up)
            .find_map(|node| {
                let live: IndexSet<&HostId> = node.table.live(now).map(|host| &host.id).collect();
                let differs = |id: &&HostId| live.contains(*id) != up.contains(*id);
                let others = self.nodes.iter().map(|other| &other.host.id);
                let mut wrong = others.filter(|id| **id != node.host.id).filter(differs);
                wrong.next().map(|id| (node.host.id.clone(), id.clone()))
            })
    }

    pub fn expect_majority_except_in(&self, data_centre: u64) {
        let now = moment(self.at_ms);
        for (number, node) in self.nodes.iter().enumerate() {
            let is_cut = number as u64 % DATA_CENTRES == data_centre;
            let has_majority = node.table.has_control_majority(now);
            assert_eq!(
                has_majority, !is_cut,
                "seed {}: {}",
                self.seed, node.host.id
            );
        }
    }

    pub fn count_from_now(&mut self) {
        self.counted_from_ms = self.at_ms;
        self.hellos.clear();
        self.listings.clear();
    }

    pub fn counts(&self) -> Counts {
        let seconds = (self.at_ms - self.counted_from_ms) as f64 / 1e3;
        let of_entry = |(from, _): &&(usize, usize)| *from >= self.size.control;
        let entry = self.hellos.iter().filter(of_entry);
        let sent = entry.clone().count() as f64 / seconds;
        let pairs: IndexSet<&(usize, usize)> = entry.collect();
        let listed = self.listings.iter().sum::<usize>() as f64;
        Counts {
            sent_by_entry: sent / self.size.entry as f64,
            received_from_entry: sent / self.size.control as f64,
            contacts: pairs.len() as f64 / self.size.entry as f64,
            listed: listed / self.listings.len().max(1) as f64,
        }
    }

    fn handle(&mut self, event: Event) {
        let now = moment(self.at_ms);
        match event {
            Event::Poll(number)
                if self.nodes[number].is_up && self.nodes[number].next_poll_ms == self.at_ms =>
            {
                self.poll(number);
            }
            Event::Expire(number) if self.nodes[number].is_up => {
                let node = &mut self.nodes[number];
                node.table.expire_silent(now);
                let interval = if node.host.is_control {
                    CONTROL_EXPIRY_MS
                } else {
                    EXPIRY_MS
                };
                self.push(self.at_ms + interval, Event::Expire(number));
            }
            Event::Receive(from, to, boot, hello, delivery) => {
                self.receive(from, to, boot, hello, delivery);
            }
            Event::Notice(to, update, evacuations) if self.nodes[to].is_up => {
                let node = &mut self.nodes[to];
                if let Some(update) = update {
                    node.registry.merge(now, update);
                }
                node.evacuations = node.evacuations.max(evacuations);
            }
            Event::Answer(number, boot, hello, answer) if self.is_same(number, boot) => {
                let from_number = self.find(&hello.to);
                let node = &mut self.nodes[number];
                let mut reply = Reply::Missing;
                if let Some(answer) = answer {
                    let from = answer.host.id.clone();
                    node.table.record_contact(now, answer.host);
                    node.table.record_majority(&from, answer.has_majority);
                    for update in answer.departures {
                        node.registry.merge(now, update);
                    }
                    node.known_departures.insert(from_number, answer.changes);
                    node.evacuations = node.evacuations.max(answer.evacuations);
                    if let Some(listing) = answer.listing {
                        node.table.merge_listing(now, &from, listing);
                    }
                    reply = Reply::Welcome {
                        has_setup: true,
                        lacks_endpoints: false,
                    };
                }
                node.schedule.record_hello(now, &hello, reply);
                self.poll(number);
            }
            Event::Endpoints(number, boot, from) if self.is_same(number, boot) => {
                let reply = EndpointsReply::Received { is_empty: false };
                self.nodes[number]
                    .schedule
                    .record_endpoints(now, &from, reply);
            }
            _ => {}
        }
    }

    fn poll(&mut self, number: usize) {
        let now = moment(self.at_ms);
        let node = &mut self.nodes[number];
        node.schedule.set_targets(node.table.contact_targets());
        let boot = node.host.boot;
        let orders = node.schedule.poll(now);
        let next = node.schedule.next_due(now);
        for order in orders {
            match order {
                ContactRequest::Hello(hello) => {
                    let to = self.find(&hello.to);
                    self.hellos.push((number, to));
                    let delivery = self.call(number, to);
                    let at = self.at_ms + self.latency();
                    match delivery {
                        Delivery::Refused => {
                            self.push(at, Event::Answer(number, boot, hello, None));
                        }
                        Delivery::Lost => self.time_out(number, boot, hello),
                        delivery => {
                            self.push(at, Event::Receive(number, to, boot, hello, delivery));
                        }
                    }
                }
                ContactRequest::Endpoints { from } => {
                    self.push(self.at_ms + 5, Event::Endpoints(number, boot, from));
                }
            }
        }
        let next = next.map_or(IDLE_MS, |next| {
            let wait = (next - now).as_millis() as u64;
            wait.clamp(1, IDLE_MS)
        });
        self.nodes[number].next_poll_ms = self.at_ms + next;
        self.push(self.at_ms + next, Event::Poll(number));
    }

    fn receive(&mut self, from: usize, to: usize, boot: u64, hello: Hello, delivery: Delivery) {
        let now = moment(self.at_ms);
        if !self.nodes[to].is_up || !self.is_same(from, boot) {
            return self.time_out(from, boot, hello);
        }
        let host = self.nodes[from].host.clone();
        let is_control = host.is_control;
        let evacuations = self.nodes[from].evacuations;
        let known = self.nodes[from].known_departures.get(&to).copied();
        let selection = match hello.lists {
            Lists::None => Selection::Nothing,
            Lists::ControlHosts => Selection::ControlHosts,
            Lists::Hosts => self.nodes[from].table.listing_selection(&hello.to),
        };
        let node = &mut self.nodes[to];
        node.table.record_contact(now, host);
        node.evacuations = node.evacuations.max(evacuations);
        let answer = Answer {
            host: node.host.clone(),
            has_majority: node.table.has_control_majority(now),
            listing: node.table.listing(now, selection, is_control),
            departures: node.registry.departures_since(now, known.unwrap_or(0)),
            changes: node.registry.changes(),
            evacuations: node.evacuations,
        };
        if hello.lists == Lists::Hosts {
            let listing = answer.listing.as_ref();
            self.listings
                .push(listing.map_or(0, |listing| listing.hosts.len()));
        }
        let latency = self.latency();
        let answer = match delivery {
            Delivery::Answered if Duration::from_millis(latency) < hello.timeout => Some(answer),
            Delivery::Reset => None,
            _ => return self.time_out(from, boot, hello),
        };
        let at = self.at_ms + latency;
        self.push(at, Event::Answer(from, boot, hello, answer));
    }

    fn time_out(&mut self, number: usize, boot: u64, hello: Hello) {
        let at = self.at_ms + hello.timeout.as_millis() as u64;
        self.push(at, Event::Answer(number, boot, hello, None));
    }

    /// Returns how long a message takes.
    fn latency(&self) -> u64 {
        let drawn = self.draw(self.bodies.len() as u64 ^ 0xde1a);
        let is_slow = self.slow_one_in > 0 && drawn.is_multiple_of(self.slow_one_in);
        if is_slow {
            SLOW_MS
        } else {
            1 + drawn / 500 % 4
        }
    }

    fn call(&self, from: usize, to: usize) -> Delivery {
        let Some((data_centre, cut)) = self.cut else {
            return Delivery::Answered;
        };
        let place = |number: usize| Place {
            is_cut_off: number as u64 % DATA_CENTRES == data_centre,
            is_control: number < self.size.control,
        };
        cut.call(place(from), place(to))
    }

    fn is_same(&self, number: usize, boot: u64) -> bool {
        self.nodes[number].is_up && self.nodes[number].host.boot == boot
    }

    fn find(&self, id: &HostId) -> usize {
        let mut nodes = self.nodes.iter().take(self.size.control);
        let place = nodes.position(|node| node.host.id == *id);
        place.expect("a control host")
    }

    fn draw(&self, number: u64) -> u64 {
        hash::mix(self.seed ^ hash::mix(number))
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.bodies.len())));
        self.bodies.push(Some(event));
    }
}

fn moment(ms: u64) -> Moment {
    Moment::from_millis(START_MS + ms)
}

fn host(size: Size, number: usize, boot: u64) -> Host {
    let is_control = number < size.control;
    Host {
        id: HostId::new(format!("10.0.{}.{}", number / 200, number % 200)),
        data_centre: format!("dc-{}", number as u64 % DATA_CENTRES)
            .as_str()
            .into(),
        boot,
        accepts_callers: !is_control,
        is_control,
        replica: None,
        is_stopping: false,
    }
}
