//! Simulated membership cluster with endpoints that renew their announcements.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_membership::{Change, Input, Liveness, Member, Membership, Message, Output};
use kumquatdrum_types::endpoint::{self, Engine};
use kumquatdrum_types::{
    Announcement, BootId, DataCentre, EndpointId, HostId, Load, ModelName, Moment, ServiceName,
};

use crate::network::{Delivery, Faults, Network};

pub const TICK: Duration = Duration::from_millis(40);

pub struct Daemon {
    pub membership: Membership,
    pub member: Member,
    pub is_up: bool,
    pub frozen_until: Moment,
    /// All outputs other than messages, with their times.
    pub events: Vec<(Moment, Output)>,
}

/// Endpoint that renews its announcement every second.
pub struct Endpoint {
    pub announcement: Announcement,
    /// Host that receives its announcements.
    pub receiver: HostId,
    pub is_up: bool,
    due: Moment,
}

pub struct Cluster {
    pub network: Network,
    pub daemons: IndexMap<HostId, Daemon>,
    pub endpoints: IndexMap<EndpointId, Endpoint>,
    pub largest_push: usize,
    next_tick: Moment,
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn member(data_centre: &str, index: usize, boot: u64) -> Member {
    Member {
        host: HostId::new(format!("{data_centre}-{index:02}")),
        data_centre: DataCentre::new(data_centre),
        address: ([127, 0, 0, 1], 4_000 + index as u16).into(),
        boot: BootId(boot),
    }
}

pub fn announcement(endpoint: &str, data_centre: &str) -> Announcement {
    Announcement {
        endpoint: EndpointId::new(endpoint),
        boot: BootId(1),
        sequence: 1,
        service: ServiceName::new("formula-llm"),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: DataCentre::new(data_centre),
        kind: endpoint::Kind::Engine(Engine {
            model: ModelName::new("formula"),
            memory_tokens: 500_000,
            batch_limit: 64,
            prefill_tokens_per_second: 0,
            load: None,
        }),
        leaving: false,
    }
}

impl Cluster {
    /// Creates a cluster with `hosts` hosts in each data centre.
    pub fn new(seed: u64, faults: Faults, data_centres: &[&str], hosts: usize) -> Self {
        let mut cluster = Self {
            network: Network::new(seed, faults),
            daemons: IndexMap::new(),
            endpoints: IndexMap::new(),
            largest_push: 0,
            next_tick: Moment::ZERO,
        };
        for data_centre in data_centres {
            for index in 0..hosts {
                let member = member(data_centre, index, 0);
                cluster.add(member);
            }
        }
        let all: Vec<HostId> = cluster.daemons.keys().cloned().collect();
        for host in all {
            cluster.restart(&host);
        }
        cluster
    }

    fn add(&mut self, member: Member) {
        let daemon = Daemon {
            membership: Membership::new(member.clone(), []),
            member: member.clone(),
            is_up: true,
            frozen_until: Moment::ZERO,
            events: Vec::new(),
        };
        self.daemons.insert(member.host, daemon);
    }

    /// Restarts a daemon with all hosts in its settings.
    pub fn restart(&mut self, host: &HostId) {
        let others: Vec<Member> = self
            .daemons
            .values()
            .filter(|daemon| daemon.member.host != *host)
            .map(|daemon| Member {
                boot: BootId(0),
                ..daemon.member.clone()
            })
            .collect();
        self.start(host, others);
    }

    /// Starts a new incarnation of a daemon with the given hosts in its settings.
    pub fn start(&mut self, host: &HostId, others: Vec<Member>) {
        let daemon = &mut self.daemons[host];
        daemon.member.boot.0 += 1;
        daemon.membership = Membership::new(daemon.member.clone(), others);
        daemon.is_up = true;
    }

    /// Adds a host that is missing from the settings of all others.
    pub fn add_unlisted_host(&mut self, member: Member, known: Member) {
        let host = member.host.clone();
        self.add(member);
        self.start(&host, vec![known]);
    }

    /// Stops a daemon and drops its in-flight messages.
    pub fn kill(&mut self, host: &HostId) {
        self.daemons[host].is_up = false;
        self.network.drop_in_flight(host);
    }

    pub fn host(&self, index: usize) -> HostId {
        self.daemons.get_index(index).unwrap().0.clone()
    }

    pub fn hosts_of(&self, data_centre: &str) -> Vec<HostId> {
        self.daemons
            .values()
            .filter(|daemon| daemon.member.data_centre.as_str() == data_centre)
            .map(|daemon| daemon.member.host.clone())
            .collect()
    }

    /// Cuts a data centre off from all others.
    pub fn cut_off(&mut self, data_centre: &str) {
        let inside = self.hosts_of(data_centre);
        let all: Vec<HostId> = self.daemons.keys().cloned().collect();
        for outer in all.iter().filter(|host| !inside.contains(host)) {
            for inner in &inside {
                self.network.cut(inner, outer);
                self.network.cut(outer, inner);
            }
        }
    }

    /// Adds an endpoint that announces itself to a host.
    pub fn add_endpoint(&mut self, announcement: Announcement, receiver: &HostId) {
        let jitter = self.network.pick(0, 999);
        let endpoint = Endpoint {
            receiver: receiver.clone(),
            is_up: true,
            due: self.network.now + Duration::from_millis(jitter),
            announcement,
        };
        let id = endpoint.announcement.endpoint.clone();
        self.endpoints.insert(id, endpoint);
    }

    pub fn announce(&mut self, host: &HostId, announcement: Announcement) {
        self.input(host, Input::Announce(announcement));
    }

    pub fn input(&mut self, host: &HostId, input: Input) {
        let now = self.network.now;
        let daemon = &mut self.daemons[host];
        if !daemon.is_up {
            return;
        }
        let mut out = Vec::new();
        daemon.membership.step(now, input, &mut out);
        let boot = daemon.member.boot;
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let body = postcard::to_stdvec(&message).unwrap();
                    if matches!(message, Message::Push(_)) {
                        self.largest_push = self.largest_push.max(body.len());
                    }
                    self.network.send(Delivery {
                        from: host.clone(),
                        boot,
                        to,
                        body,
                    });
                }
                other => self.daemons[host].events.push((now, other)),
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds or the time has passed. Returns whether it holds.
    pub fn run_until(&mut self, time: Duration, mut is_done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.network.now + time;
        while self.network.now < end {
            if is_done(self) {
                return true;
            }
            while let Some(delivery) = self.network.next(self.next_tick) {
                self.deliver(delivery);
                if is_done(self) {
                    return true;
                }
            }
            self.network.now = self.next_tick;
            self.next_tick = self.next_tick + TICK;
            self.renew_endpoints();
            self.tick();
        }
        is_done(self)
    }

    fn deliver(&mut self, delivery: Delivery) {
        // Messages to a frozen daemon are lost, which is stricter than waiting in its sockets.
        if self.daemons[&delivery.to].frozen_until > self.network.now {
            return;
        }
        let message = postcard::from_bytes(&delivery.body).unwrap();
        let input = Input::Peer {
            from: delivery.from,
            boot: delivery.boot,
            message,
        };
        self.input(&delivery.to, input);
    }

    fn tick(&mut self) {
        let now = self.network.now;
        let awake: Vec<HostId> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.frozen_until <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in awake {
            self.input(&host, Input::Tick);
        }
    }

    fn renew_endpoints(&mut self) {
        let now = self.network.now;
        let mut renewals = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.is_up && endpoint.due <= now {
                endpoint.due = now + seconds(1);
                endpoint.announcement.sequence += 1;
                renew_load(&mut endpoint.announcement);
                renewals.push((endpoint.receiver.clone(), endpoint.announcement.clone()));
            }
        }
        for (receiver, announcement) in renewals {
            self.announce(&receiver, announcement);
        }
    }

    /// Returns the liveness of an endpoint on a host.
    pub fn liveness(&self, host: &HostId, endpoint: &str) -> Option<Liveness> {
        let record = self.daemons[host].membership.endpoint(&endpoint.into())?;
        Some(record.liveness)
    }

    /// Returns whether a host would dispatch new work to an endpoint.
    pub fn accepts_work(&self, host: &HostId, endpoint: &str) -> bool {
        let record = self.daemons[host].membership.endpoint(&endpoint.into());
        record.is_some_and(|record| {
            record.liveness == Liveness::Alive && !record.announcement.leaving
        })
    }

    /// Returns the changes of an endpoint that a host emitted.
    pub fn changes(&self, host: &HostId, endpoint: &str) -> Vec<Change> {
        let events = self.daemons[host].events.iter();
        events
            .filter_map(|(_, event)| match event {
                Output::Endpoint { id, change } if id.as_str() == endpoint => Some(change.clone()),
                _ => None,
            })
            .collect()
    }

    pub fn has_acked(&self, host: &HostId, sequence: u64) -> bool {
        self.daemons[host].events.iter().any(|(_, event)| {
            matches!(event, Output::AckAnnounce { sequence: acked, .. } if *acked == sequence)
        })
    }
}

/// Sets a new load that keeps the `seen` counters.
fn renew_load(announcement: &mut Announcement) {
    let number = announcement.sequence;
    if let endpoint::Kind::Engine(engine) = &mut announcement.kind {
        engine.load = Some(Load {
            sequence: number,
            running: 30 + (number % 20) as u32,
            waiting: (number % 7) as u32,
            prefill_tokens: 40_000 + number * 37 % 10_000,
            memory_used_tokens: 300_000 + number * 101 % 90_000,
            seen: engine.load.take().map_or(Vec::new(), |load| load.seen),
        });
    }
}
