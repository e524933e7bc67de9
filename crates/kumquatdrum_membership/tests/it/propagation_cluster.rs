//! Simulated propagation cluster with a list of accepted versions.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_membership::propagation::{
    Config, Input, Message, Output, Propagation, Setup, Status, Transfer,
};
use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use crate::network::{Delivery, Faults, Network};

pub const TICK: Duration = Duration::from_millis(40);
/// Statuses are piggybacked on pushes, which each host receives at least once a second.
const TICKS_PER_STATUS: u32 = 25;

pub struct Host {
    pub propagation: Propagation,
    pub data_centre: DataCentre,
    pub boot: BootId,
    pub is_up: bool,
    pub events: Vec<(Moment, Output)>,
    status: Option<Status>,
    /// Setup stored on disk; control replicas only.
    disk: Option<Setup>,
}

pub struct Cluster {
    pub network: Network,
    pub hosts: IndexMap<HostId, Host>,
    pub control_replicas: Vec<HostId>,
    /// Accepted versions in order.
    pub accepted: Vec<Setup>,
    /// Literal text bytes sent, and number of messages with text.
    pub text_bytes: u64,
    pub texts: u64,
    /// Messages sent and their bytes, without piggybacked statuses.
    pub messages: u64,
    pub bytes: u64,
    next_tick: Moment,
    ticks: u32,
}

/// Content of a simulated frame.
enum Frame {
    Message(Message),
    Status(Status),
}

impl Cluster {
    /// Creates a cluster with `hosts` hosts in each data centre. The first hosts of the first
    /// `replicas` data centres are control replicas.
    pub fn new(seed: u64, faults: Faults, centres: usize, hosts: usize, replicas: usize) -> Self {
        let mut cluster = Self {
            network: Network::new(seed, faults),
            hosts: IndexMap::new(),
            control_replicas: Vec::new(),
            accepted: Vec::new(),
            text_bytes: 0,
            texts: 0,
            messages: 0,
            bytes: 0,
            next_tick: Moment::ZERO,
            ticks: 0,
        };
        for centre in 0..centres {
            for index in 0..hosts {
                cluster.add(&format!("dc-{centre:02}"), index);
            }
        }
        let first = |centre| HostId::new(format!("dc-{centre:02}-00"));
        cluster.control_replicas = (0..replicas).map(first).collect();
        for index in 0..cluster.hosts.len() {
            let host = cluster.host(index);
            cluster.start(&host);
        }
        cluster
    }

    fn add(&mut self, data_centre: &str, index: usize) {
        let host = HostId::new(format!("{data_centre}-{index:02}"));
        let data_centre = DataCentre::new(data_centre);
        let config = Config {
            host: host.clone(),
            data_centre: data_centre.clone(),
            boot: BootId(0),
            stored: None,
        };
        let state = Host {
            propagation: Propagation::new(config),
            data_centre,
            boot: BootId(0),
            is_up: true,
            events: Vec::new(),
            status: None,
            disk: None,
        };
        self.hosts.insert(host, state);
    }

    pub fn host(&self, index: usize) -> HostId {
        self.hosts.get_index(index).unwrap().0.clone()
    }

    /// Starts a new incarnation of a host.
    pub fn start(&mut self, host: &HostId) {
        let state = &mut self.hosts[host];
        state.boot.0 += 1;
        state.is_up = true;
        state.status = None;
        state.events.clear();
        state.propagation = Propagation::new(Config {
            host: host.clone(),
            data_centre: state.data_centre.clone(),
            boot: state.boot,
            stored: state.disk.clone(),
        });
        self.input(host, Input::ControlReplicas(self.control_replicas.clone()));
        let known: Vec<(HostId, DataCentre, bool)> = self
            .hosts
            .iter()
            .map(|(id, state)| (id.clone(), state.data_centre.clone(), state.is_up))
            .collect();
        for (id, data_centre, is_alive) in known {
            self.inform_host(host, id.clone(), data_centre.clone(), is_alive);
        }
        self.inform_all_hosts(host, true);
    }

    pub fn kill(&mut self, host: &HostId) {
        self.hosts[host].is_up = false;
        self.network.drop_in_flight(host);
        self.inform_all_hosts(host, false);
    }

    /// Informs all hosts about the liveness of one host, as membership does.
    fn inform_all_hosts(&mut self, host: &HostId, is_alive: bool) {
        let data_centre = self.hosts[host].data_centre.clone();
        let all: Vec<HostId> = self.hosts.keys().cloned().collect();
        for other in all {
            self.inform_host(&other, host.clone(), data_centre.clone(), is_alive);
        }
    }

    fn inform_host(&mut self, to: &HostId, host: HostId, data_centre: DataCentre, is_alive: bool) {
        let input = Input::Host {
            host,
            data_centre,
            is_alive,
        };
        self.input(to, input);
    }

    /// Adds an accepted version, which replicas apply later.
    pub fn accept(&mut self, text: String) -> Version {
        let version = Version(self.accepted.len() as u64 + 1);
        self.accepted.push(Setup::new(version, text));
        version
    }

    /// Applies the latest accepted version at a replica that is in contact with a majority.
    pub fn apply(&mut self, replica: &HostId) {
        let Some(latest) = self.accepted.last().cloned() else {
            return;
        };
        if self.has_majority(replica) {
            self.hosts[replica].disk = Some(latest.clone());
            self.input(replica, Input::Offer(latest));
            self.input(replica, Input::Majority);
        }
    }

    pub fn apply_all(&mut self) {
        for replica in self.control_replicas.clone() {
            self.apply(&replica);
        }
    }

    pub fn input(&mut self, host: &HostId, input: Input) {
        let now = self.network.now;
        let state = &mut self.hosts[host];
        if !state.is_up {
            return;
        }
        let boot = state.boot;
        let before = state.propagation.version();
        let mut out = Vec::new();
        state.propagation.step(now, input, &mut out);
        assert!(
            state.propagation.version() >= before,
            "{host} returned to a lower version"
        );
        for output in out {
            match output {
                Output::Send { to, message } => {
                    self.count_text(&message);
                    self.send(host, boot, &to, &Frame::Message(message));
                }
                Output::Status(status) => self.hosts[host].status = Some(status),
                Output::Conflict { version, from } => {
                    panic!("{host}: {from} has another text for {version}")
                }
                other => self.hosts[host].events.push((now, other)),
            }
        }
    }

    fn send(&mut self, from: &HostId, boot: BootId, to: &HostId, frame: &Frame) {
        let body = match frame {
            Frame::Message(message) => postcard::to_stdvec(message),
            Frame::Status(status) => postcard::to_stdvec(status),
        };
        // The first byte distinguishes a status from a message.
        let kind = u8::from(matches!(frame, Frame::Status(_)));
        let mut bytes = vec![kind];
        bytes.extend(body.unwrap());
        if kind == 0 {
            self.messages += 1;
            self.bytes += bytes.len() as u64 - 1;
        }
        self.network.send(Delivery {
            from: from.clone(),
            boot,
            to: to.clone(),
            body: bytes,
        });
    }

    fn count_text(&mut self, message: &Message) {
        if let Message::Transfer(Transfer { text, .. }) = message {
            self.texts += 1;
            self.text_bytes += text.literal_bytes() as u64;
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds or the time has passed. Returns whether it holds.
    pub fn run_until(&mut self, time: Duration, mut is_done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.network.now + time;
        while self.network.now < end {
            while let Some(delivery) = self.network.next(self.next_tick) {
                self.deliver(delivery);
            }
            self.network.now = self.next_tick;
            self.next_tick = self.next_tick + TICK;
            self.tick();
            if is_done(self) {
                return true;
            }
        }
        is_done(self)
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (kind, body) = delivery.body.split_first().unwrap();
        let (from, boot) = (delivery.from, delivery.boot);
        let input = match kind {
            0 => Input::Peer {
                from,
                boot,
                message: postcard::from_bytes(body).unwrap(),
            },
            _ => Input::Status {
                from,
                boot,
                status: postcard::from_bytes(body).unwrap(),
            },
        };
        self.input(&delivery.to, input);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        for index in 0..self.hosts.len() {
            let host = self.host(index);
            self.input(&host, Input::Tick);
            if (self.ticks + index as u32).is_multiple_of(TICKS_PER_STATUS) {
                self.push_status(&host);
            }
        }
        for replica in self.control_replicas.clone() {
            self.input_majority(&replica);
        }
    }

    /// Reports a majority at a replica that is up to date and in contact with one.
    fn input_majority(&mut self, replica: &HostId) {
        let accepted = self.accepted.last().map_or(Version(0), |last| last.version);
        if self.has_majority(replica) && self.hosts[replica].propagation.version() == accepted {
            self.input(replica, Input::Majority);
        }
    }

    fn has_majority(&self, replica: &HostId) -> bool {
        let reached = self
            .control_replicas
            .iter()
            .filter(|other| self.hosts[*other].is_up && !self.network.is_cut(replica, other))
            .count();
        self.hosts[replica].is_up && reached > self.control_replicas.len() / 2
    }

    fn push_status(&mut self, host: &HostId) {
        let state = &self.hosts[host];
        let (Some(status), true) = (state.status, state.is_up) else {
            return;
        };
        let (boot, data_centre) = (state.boot, state.data_centre.clone());
        let local_hosts: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(id, other)| *id != host && other.data_centre == data_centre)
            .map(|(id, _)| id.clone())
            .collect();
        for to in local_hosts {
            self.send(host, boot, &to, &Frame::Status(status));
        }
    }

    /// Cuts a data centre off from all others.
    pub fn cut_off(&mut self, data_centre: &str) {
        let all: Vec<(HostId, bool)> = self
            .hosts
            .iter()
            .map(|(id, host)| (id.clone(), host.data_centre.as_str() == data_centre))
            .collect();
        for (inner, _) in all.iter().filter(|(_, is_inside)| *is_inside) {
            for (outer, _) in all.iter().filter(|(_, is_inside)| !*is_inside) {
                self.network.cut(inner, outer);
                self.network.cut(outer, inner);
            }
        }
    }

    pub fn is_everywhere(&self, version: Version) -> bool {
        let mut up = self.hosts.values().filter(|host| host.is_up);
        up.all(|host| host.propagation.version() == version && host.propagation.is_ready())
    }

    /// Returns whether a host knows that all hosts have a version.
    pub fn knows_version_is_everywhere(&self, host: &HostId, version: Version) -> bool {
        let installations = self.hosts[host].propagation.installations();
        let count = installations
            .filter(|(_, known)| known.version == version)
            .count();
        count == self.hosts.len()
    }
}
