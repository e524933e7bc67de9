//! Seeded simulation of leaders and engines with message delays, losses, freezes and restarts.

#![allow(dead_code)]

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatdrum_orders::{
    Action, Adapter, Answer, Event, Input, Leadership, Order, OrderId, Output, Reconciler, Record,
    Report, Role, Settings,
};
use kumquatdrum_types::{BootId, EndpointId, Moment, Version};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub const STEP_MS: u64 = 20;
pub const ANNOUNCE_MS: u64 = 200;
pub const DELIVERY_TIMEOUT_MS: u64 = 300;
pub const LOAD_MS: u64 = 2_000;
pub const LEASE_MS: u64 = 900;
pub const ELECTION_MS: u64 = 1_000;

/// A simulated model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub boot: u64,
    pub service: &'static str,
    pub checks_fencing: bool,
    pub model: Option<String>,
    pub version: String,
    pub adapters: Vec<Adapter>,
    pub loading: Option<(u64, String, String)>,
    pub is_standby: bool,
    pub known_fencing: u64,
    pub down_until: u64,
    pub load_ms: u64,
}

impl Engine {
    pub fn new(service: &'static str, model: &str, checks_fencing: bool) -> Self {
        Self {
            boot: 1,
            service,
            checks_fencing,
            model: Some(model.to_owned()),
            version: "1".to_owned(),
            adapters: Vec::new(),
            loading: None,
            is_standby: false,
            known_fencing: 0,
            down_until: 0,
            load_ms: LOAD_MS,
        }
    }

    pub fn is_serving(&self, now: u64, model: &str) -> bool {
        let is_up = now >= self.down_until && self.loading.is_none() && !self.is_standby;
        is_up && self.model.as_deref() == Some(model)
    }

    fn finish_load(&mut self, now: u64) {
        if let Some((_, model, version)) = self.loading.take_if(|(at, ..)| *at <= now) {
            self.model = Some(model);
            self.version = version;
        }
    }

    fn report(&self) -> Report {
        Report {
            boot: BootId(self.boot),
            model: self.model.as_deref().map(Into::into),
            version: Some(self.version.clone()),
            adapters: self.adapters.clone(),
            role: match self.loading {
                Some(_) => Role::Loading,
                None if self.is_standby => Role::Standby,
                None => Role::Serving,
            },
        }
    }

    /// Carries the order out unless a check refuses it.
    fn handle_order(&mut self, now: u64, order: &Order) -> Answer {
        if self.checks_fencing && order.boot.0 != self.boot {
            let reason = "boot mismatch".to_owned();
            return Answer::Refused { reason };
        }
        if self.checks_fencing && order.id.fencing < self.known_fencing {
            let current = self.known_fencing;
            return Answer::Fenced { current };
        }
        self.known_fencing = self.known_fencing.max(order.id.fencing);
        match &order.action {
            Action::Fence => {}
            Action::LoadModel { model, version } => {
                self.adapters.clear();
                self.loading = Some((now + self.load_ms, model.to_string(), version.clone()));
            }
            Action::LoadAdapter(adapter) => {
                self.adapters.retain(|held| held.name != adapter.name);
                self.adapters.push(adapter.clone());
            }
            Action::UnloadAdapter { name } => self.adapters.retain(|held| held.name != *name),
            Action::ChangeRole { role } => self.is_standby = *role == Role::Standby,
        }
        Answer::Accepted
    }
}

/// A host that can lead, with its own clock offset and rate.
pub struct Leader {
    pub reconciler: Reconciler,
    pub rate_permille: u64,
    pub clock_offset: u64,
    pub frozen_until: u64,
    pub term: Option<u64>,
    pub renews_lease: bool,
    pub lease_until: Option<Moment>,
    pub freeze_at_next_load: Option<u64>,
    pub froze_at: Option<u64>,
}

impl Leader {
    pub fn now(&self, now: u64) -> Moment {
        Moment {
            micros: (self.clock_offset + now) * self.rate_permille,
        }
    }
}

/// A scheduled event; the index is that of the leader.
enum Packet {
    Unsent(usize, Order),
    Order(usize, Order, bool),
    Answer(usize, OrderId, Answer),
    Probe(usize, EndpointId),
    Report(usize, EndpointId, Option<Report>),
}

/// An order that an engine accepted.
#[derive(Debug, Clone)]
pub struct Effect {
    pub at: u64,
    pub endpoint: EndpointId,
    pub order: Order,
    /// Number of other engines that served the model; `None` if the order took down no replica.
    pub remaining: Option<usize>,
}

/// Fault rates, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost_orders: u64,
    pub lost_answers: u64,
    pub lost_probes: u64,
    /// Restarts per million steps of each engine.
    pub restarts_per_million: u64,
}

pub struct Simulation {
    pub now: u64,
    pub random: Pcg64,
    pub engines: IndexMap<EndpointId, Engine>,
    pub leaders: Vec<Leader>,
    pub faults: Faults,
    pub effects: Vec<Effect>,
    pub records: Vec<Record>,
    pub sent: Vec<(u64, Order)>,
    /// A leader and an engine that its orders never reach.
    pub partition: Option<(usize, EndpointId)>,
    packets: Vec<(u64, Packet)>,
}

impl Simulation {
    pub fn new(seed: u64, engines: IndexMap<EndpointId, Engine>, declaration: &str) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let leaders = (0..2)
            .map(|_| Leader {
                reconciler: Reconciler::new(Settings::default()),
                rate_permille: 955 + random.next_u64() % 91,
                clock_offset: random.next_u64() % 100_000,
                frozen_until: 0,
                term: None,
                renews_lease: true,
                lease_until: None,
                freeze_at_next_load: None,
                froze_at: None,
            })
            .collect();
        let mut simulation = Self {
            now: 0,
            random,
            engines,
            leaders,
            faults: Faults::default(),
            effects: Vec::new(),
            records: Vec::new(),
            sent: Vec::new(),
            partition: None,
            packets: Vec::new(),
        };
        simulation.declare(1, declaration);
        simulation
    }

    pub fn declare(&mut self, version: u64, declaration: &str) {
        let declaration = kumquatdrum_declaration::parse(declaration).expect("a declaration");
        let declaration = Arc::new(declaration);
        for leader in 0..self.leaders.len() {
            let input = Input::Declared(Version(version), Arc::clone(&declaration));
            self.step_leader(leader, input);
        }
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn roll(&mut self, permille: u64) -> bool {
        self.random_below(1_000) < permille
    }

    fn schedule(&mut self, delay: u64, packet: Packet) {
        self.packets.push((self.now + delay, packet));
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.restart_engines();
        for engine in self.engines.values_mut() {
            engine.finish_load(self.now);
        }
        self.deliver();
        for index in 0..self.leaders.len() {
            if !self.is_frozen(index) {
                self.run_leader(index);
            }
        }
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.now < self.leaders[index].frozen_until
    }

    fn restart_engines(&mut self) {
        for index in 0..self.engines.len() {
            if self.random_below(1_000_000) < self.faults.restarts_per_million {
                let engine = &mut self.engines[index];
                let mut next = Engine::new(engine.service, "formula", engine.checks_fencing);
                next.boot = engine.boot + 1;
                next.down_until = self.now + 500;
                *engine = next;
            }
        }
    }

    /// Renews the lease and passes leadership and live engines to the reconciler.
    fn run_leader(&mut self, index: usize) {
        let leader = &mut self.leaders[index];
        let leader_now = leader.now(self.now);
        if leader.renews_lease && leader.term.is_some() {
            leader.lease_until = Some(leader_now + std::time::Duration::from_millis(LEASE_MS));
        }
        let leadership = leader.term.map(|term| Leadership {
            term,
            lease_until: leader.lease_until.filter(|until| *until > leader_now),
        });
        self.step_leader(index, Input::Leadership(leadership));
        if !self.now.is_multiple_of(ANNOUNCE_MS) {
            return;
        }
        let live: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| self.now >= engine.down_until)
            .map(|(id, engine)| (id.clone(), engine.boot, engine.service))
            .collect();
        for (endpoint, boot, service) in live {
            let input = Input::Announced {
                endpoint,
                boot: BootId(boot),
                service: service.into(),
            };
            self.step_leader(index, input);
        }
    }

    fn step_leader(&mut self, index: usize, input: Input) {
        let leader_now = self.leaders[index].now(self.now);
        for output in self.leaders[index].reconciler.step(leader_now, input) {
            match output {
                Output::Send(order) => self.queue_order(index, order),
                Output::Probe(id) => self.schedule(0, Packet::Probe(index, id)),
                Output::Audit(record) => self.records.push(record),
                Output::Wake(_) => {}
            }
        }
    }

    /// Queues an order for sending; a scheduled freeze starts here, before the last lease check.
    fn queue_order(&mut self, index: usize, order: Order) {
        let is_load = matches!(order.action, Action::LoadModel { .. });
        let leader = &mut self.leaders[index];
        if let Some(frozen) = leader.freeze_at_next_load.take_if(|_| is_load) {
            leader.frozen_until = self.now + frozen;
            leader.froze_at = Some(self.now);
        }
        let delay = self.random_below(30);
        self.schedule(delay, Packet::Unsent(index, order));
    }

    fn deliver(&mut self) {
        loop {
            let now = self.now;
            let frozen: Vec<_> = (0..self.leaders.len())
                .map(|index| self.is_frozen(index))
                .collect();
            let due = self.packets.iter().position(|(at, packet)| {
                *at <= now
                    && match packet {
                        Packet::Unsent(index, _)
                        | Packet::Answer(index, ..)
                        | Packet::Report(index, ..) => !frozen[*index],
                        Packet::Order(..) | Packet::Probe(..) => true,
                    }
            });
            let Some(due) = due else { return };
            let (_, packet) = self.packets.remove(due);
            self.deliver_packet(packet);
        }
    }

    fn deliver_packet(&mut self, packet: Packet) {
        match packet {
            Packet::Unsent(index, order) => self.send(index, order),
            Packet::Order(index, order, is_answered) => {
                self.deliver_order(index, &order, is_answered);
            }
            Packet::Answer(index, id, answer) => {
                self.step_leader(index, Input::Answered(id, answer));
            }
            Packet::Probe(index, id) => self.deliver_probe(index, id),
            Packet::Report(index, id, report) => {
                self.step_leader(index, Input::Reported(id, report));
            }
        }
    }

    /// Makes the last lease check and sends the order.
    fn send(&mut self, index: usize, order: Order) {
        if !order.can_be_sent(self.leaders[index].now(self.now)) {
            return self.step_leader(index, Input::Answered(order.id, Answer::NotSent));
        }
        self.sent.push((self.now, order.clone()));
        let is_partitioned = self.partition == Some((index, order.endpoint.clone()));
        let is_lost = is_partitioned || self.roll(self.faults.lost_orders);
        let is_answered = !is_lost && !self.roll(self.faults.lost_answers);
        let delay = self.random_below(DELIVERY_TIMEOUT_MS - STEP_MS);
        if !is_answered {
            let reason = "timeout".to_owned();
            let answer = Answer::Lost { reason };
            self.schedule(DELIVERY_TIMEOUT_MS, Packet::Answer(index, order.id, answer));
        }
        if !is_lost {
            self.schedule(delay, Packet::Order(index, order, is_answered));
        }
    }

    fn deliver_order(&mut self, index: usize, order: &Order, is_answered: bool) {
        let now = self.now;
        let id = order.endpoint.clone();
        let served_model = self.engines[&id].model.clone();
        let served_model = served_model.filter(|model| self.engines[&id].is_serving(now, model));
        let is_load = matches!(order.action, Action::LoadModel { .. });
        let others = self.engines.iter().filter(|(other, _)| **other != id);
        let remaining = served_model.filter(|_| is_load).map(|model| {
            let serving = others.filter(|(_, engine)| engine.is_serving(now, &model));
            serving.count()
        });
        let engine = &mut self.engines[&id];
        let answer = if now < engine.down_until {
            let reason = "refused".to_owned();
            Answer::Lost { reason }
        } else {
            engine.handle_order(now, order)
        };
        if answer == Answer::Accepted {
            self.effects.push(Effect {
                at: now,
                endpoint: id,
                order: order.clone(),
                remaining,
            });
        }
        if is_answered {
            self.schedule(STEP_MS, Packet::Answer(index, order.id, answer));
        }
    }

    fn deliver_probe(&mut self, index: usize, id: EndpointId) {
        let engine = &self.engines[&id];
        let is_up = self.now >= engine.down_until;
        let report = is_up.then(|| engine.report());
        let is_lost = self.roll(self.faults.lost_probes);
        let delay = self.random_below(50);
        self.schedule(
            delay,
            Packet::Report(index, id, report.filter(|_| !is_lost)),
        );
    }

    pub fn count_step_downs(&self) -> usize {
        let is_step_down = |record: &&Record| matches!(record.event, Event::SteppedDown(_));
        self.records.iter().filter(is_step_down).count()
    }
}

/// Returns a declaration of two models and of all `engines`.
pub fn declaration(version: &str, engines: &IndexMap<EndpointId, Engine>) -> String {
    let endpoints = engines.iter().map(|(id, engine)| {
        let (service, checks_fencing) = (engine.service, engine.checks_fencing);
        format!(
            r#"{{"name": "{id}", "service": "{service}", "data_centre": "tartu",
                "checks_fencing": {checks_fencing}}}"#
        )
    });
    let endpoints: Vec<_> = endpoints.collect();
    let service = |name: &str, model: &str| {
        format!(
            r#"{{"name": "{name}", "kind": {{"model": {{"model": "{model}"}}}},
                "deadline_ms": 1000, "deadline_cap_ms": 1000}}"#
        )
    };
    let model = |name: &str, replicas: u32| {
        format!(
            r#"{{"name": "{name}", "version": "{version}", "memory_bytes_per_token": 1,
                "replicas": {replicas}, "max_prompt_tokens": 100,
                "adapters": [{{"name": "nails", "version": "{version}"}}]}}"#
        )
    };
    format!(
        r#"{{"services": [{}, {}], "models": [{}, {}], "endpoints": [{}]}}"#,
        service("formula-llm", "formula"),
        service("archive-llm", "archive"),
        model("formula", 4),
        model("archive", 2),
        endpoints.join(", ")
    )
}

/// Returns `count` engines of one service with its model loaded.
pub fn engines(
    count: usize,
    checks_fencing: impl Fn(usize) -> bool,
) -> IndexMap<EndpointId, Engine> {
    (0..count)
        .map(|index| {
            let engine = Engine::new("formula-llm", "formula", checks_fencing(index));
            (EndpointId::new(format!("e{index}")), engine)
        })
        .collect()
}
