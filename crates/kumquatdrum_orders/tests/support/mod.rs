//! Leaders and engines on a simulated clock, with flights, freezes and losses by a fixed seed.

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
pub const FLIGHT_MS: u64 = 300;
pub const LOAD_MS: u64 = 2_000;
pub const LEASE_MS: u64 = 900;
pub const ELECTION_MS: u64 = 1_000;

/// A model engine as orders see it.
#[derive(Debug, Clone)]
pub struct Engine {
    pub boot: u64,
    pub service: &'static str,
    pub checks: bool,
    pub model: Option<String>,
    pub version: String,
    pub adapters: Vec<Adapter>,
    pub loading: Option<(u64, String, String)>,
    pub standby: bool,
    pub known_fencing: u64,
    pub down_until: u64,
    pub load_ms: u64,
}

impl Engine {
    pub fn new(service: &'static str, model: &str, checks: bool) -> Self {
        Self {
            boot: 1,
            service,
            checks,
            model: Some(model.to_owned()),
            version: "1".to_owned(),
            adapters: Vec::new(),
            loading: None,
            standby: false,
            known_fencing: 0,
            down_until: 0,
            load_ms: LOAD_MS,
        }
    }

    pub fn serves(&self, now: u64, model: &str) -> bool {
        let is_up = now >= self.down_until && self.loading.is_none() && !self.standby;
        is_up && self.model.as_deref() == Some(model)
    }

    fn advance(&mut self, now: u64) {
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
                None if self.standby => Role::Standby,
                None => Role::Serving,
            },
        }
    }

    /// Obeys where its rules let it.
    fn obey(&mut self, now: u64, order: &Order) -> Answer {
        if self.checks && order.boot.0 != self.boot {
            let reason = "another boot".to_owned();
            return Answer::Refused { reason };
        }
        if self.checks && order.id.fencing < self.known_fencing {
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
            Action::ChangeRole { role } => self.standby = *role == Role::Standby,
        }
        Answer::Accepted
    }
}

/// One host that may lead, with a clock that runs at its own rate.
pub struct Leader {
    pub core: Reconciler,
    pub rate_permille: u64,
    pub zero: u64,
    pub frozen_until: u64,
    pub term: Option<u64>,
    pub renews: bool,
    pub lease_until: Option<Moment>,
    pub freeze_at_next_load: Option<u64>,
    pub froze_at: Option<u64>,
}

impl Leader {
    pub fn now(&self, now: u64) -> Moment {
        Moment {
            micros: (self.zero + now) * self.rate_permille,
        }
    }
}

enum Packet {
    Shell(usize, Order),
    Order(usize, Order, bool),
    Answer(usize, OrderId, Answer),
    Ask(usize, EndpointId),
    Report(usize, EndpointId, Option<Report>),
}

/// An order that an engine obeyed.
#[derive(Debug, Clone)]
pub struct Effect {
    pub at: u64,
    pub endpoint: EndpointId,
    pub order: Order,
    /// Engines that still served what it took away; none where it took nothing away.
    pub remaining: Option<usize>,
}

/// What goes wrong, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost_orders: u64,
    pub lost_answers: u64,
    pub lost_questions: u64,
    /// Of a step of any engine.
    pub restarts_per_million: u64,
}

pub struct World {
    pub now: u64,
    pub random: Pcg64,
    pub engines: IndexMap<EndpointId, Engine>,
    pub leaders: Vec<Leader>,
    pub faults: Faults,
    pub effects: Vec<Effect>,
    pub records: Vec<Record>,
    pub sent: Vec<(u64, Order)>,
    /// A leader whose orders to an engine are lost.
    pub cut: Option<(usize, EndpointId)>,
    packets: Vec<(u64, Packet)>,
}

impl World {
    pub fn new(seed: u64, engines: IndexMap<EndpointId, Engine>, declaration: &str) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let leaders = (0..2)
            .map(|_| Leader {
                core: Reconciler::new(Settings::default()),
                rate_permille: 955 + random.next_u64() % 91,
                zero: random.next_u64() % 100_000,
                frozen_until: 0,
                term: None,
                renews: true,
                lease_until: None,
                freeze_at_next_load: None,
                froze_at: None,
            })
            .collect();
        let mut world = Self {
            now: 0,
            random,
            engines,
            leaders,
            faults: Faults::default(),
            effects: Vec::new(),
            records: Vec::new(),
            sent: Vec::new(),
            cut: None,
            packets: Vec::new(),
        };
        world.declare(1, declaration);
        world
    }

    pub fn declare(&mut self, version: u64, declaration: &str) {
        let declaration = kumquatdrum_declaration::parse(declaration).expect("a declaration");
        let declaration = Arc::new(declaration);
        for leader in 0..self.leaders.len() {
            let input = Input::Declared(Version(version), Arc::clone(&declaration));
            self.input(leader, input);
        }
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn happens(&mut self, permille: u64) -> bool {
        self.below(1_000) < permille
    }

    fn later(&mut self, delay: u64, packet: Packet) {
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
        self.restart_some();
        for engine in self.engines.values_mut() {
            engine.advance(self.now);
        }
        self.deliver();
        for place in 0..self.leaders.len() {
            if !self.is_frozen(place) {
                self.lead(place);
            }
        }
    }

    fn is_frozen(&self, place: usize) -> bool {
        self.now < self.leaders[place].frozen_until
    }

    fn restart_some(&mut self) {
        for place in 0..self.engines.len() {
            if self.below(1_000_000) < self.faults.restarts_per_million {
                let engine = &mut self.engines[place];
                let mut next = Engine::new(engine.service, "formula", engine.checks);
                next.boot = engine.boot + 1;
                next.down_until = self.now + 500;
                *engine = next;
            }
        }
    }

    /// Renews the lease, tells the core what lives, and lets it tick.
    fn lead(&mut self, place: usize) {
        let leader = &mut self.leaders[place];
        let own = leader.now(self.now);
        if leader.renews && leader.term.is_some() {
            leader.lease_until = Some(own + std::time::Duration::from_millis(LEASE_MS));
        }
        let leadership = leader.term.map(|term| Leadership {
            term,
            lease_until: leader.lease_until.filter(|until| *until > own),
        });
        self.input(place, Input::Leadership(leadership));
        if !self.now.is_multiple_of(ANNOUNCE_MS) {
            return;
        }
        let living: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| self.now >= engine.down_until)
            .map(|(id, engine)| (id.clone(), engine.boot, engine.service))
            .collect();
        for (endpoint, boot, service) in living {
            let input = Input::Announced {
                endpoint,
                boot: BootId(boot),
                service: service.into(),
            };
            self.input(place, input);
        }
    }

    fn input(&mut self, place: usize, input: Input) {
        let own = self.leaders[place].now(self.now);
        for output in self.leaders[place].core.step(own, input) {
            match output {
                Output::Send(order) => self.hand_over(place, order),
                Output::Probe(id) => self.later(0, Packet::Ask(place, id)),
                Output::Audit(record) => self.records.push(record),
                Output::Wake(_) => {}
            }
        }
    }

    /// The shell takes an order; the process may freeze right here, before the order is sent.
    fn hand_over(&mut self, place: usize, order: Order) {
        let loads = matches!(order.action, Action::LoadModel { .. });
        let leader = &mut self.leaders[place];
        if let Some(frozen) = leader.freeze_at_next_load.take_if(|_| loads) {
            leader.frozen_until = self.now + frozen;
            leader.froze_at = Some(self.now);
        }
        let delay = self.below(30);
        self.later(delay, Packet::Shell(place, order));
    }

    fn deliver(&mut self) {
        loop {
            let now = self.now;
            let frozen: Vec<_> = (0..self.leaders.len())
                .map(|place| self.is_frozen(place))
                .collect();
            let due = self.packets.iter().position(|(at, packet)| {
                *at <= now
                    && match packet {
                        Packet::Shell(place, _)
                        | Packet::Answer(place, ..)
                        | Packet::Report(place, ..) => !frozen[*place],
                        Packet::Order(..) | Packet::Ask(..) => true,
                    }
            });
            let Some(due) = due else { return };
            let (_, packet) = self.packets.remove(due);
            self.take(packet);
        }
    }

    fn take(&mut self, packet: Packet) {
        match packet {
            Packet::Shell(place, order) => self.send(place, order),
            Packet::Order(place, order, answered) => self.arrive(place, &order, answered),
            Packet::Answer(place, id, answer) => self.input(place, Input::Answered(id, answer)),
            Packet::Ask(place, id) => self.asked(place, id),
            Packet::Report(place, id, report) => self.input(place, Input::Reported(id, report)),
        }
    }

    /// The shell's last check, then the flight.
    fn send(&mut self, place: usize, order: Order) {
        if !order.can_be_sent(self.leaders[place].now(self.now)) {
            return self.input(place, Input::Answered(order.id, Answer::NotSent));
        }
        self.sent.push((self.now, order.clone()));
        let is_cut = self.cut == Some((place, order.endpoint.clone()));
        let lost = is_cut || self.happens(self.faults.lost_orders);
        let answered = !lost && !self.happens(self.faults.lost_answers);
        let flight = self.below(FLIGHT_MS - STEP_MS);
        if !answered {
            let reason = "timeout".to_owned();
            let answer = Answer::Lost { reason };
            self.later(FLIGHT_MS, Packet::Answer(place, order.id, answer));
        }
        if !lost {
            self.later(flight, Packet::Order(place, order, answered));
        }
    }

    fn arrive(&mut self, place: usize, order: &Order, answered: bool) {
        let now = self.now;
        let id = order.endpoint.clone();
        let taken = self.engines[&id].model.clone();
        let taken = taken.filter(|model| self.engines[&id].serves(now, model));
        let loads = matches!(order.action, Action::LoadModel { .. });
        let others = self.engines.iter().filter(|(other, _)| **other != id);
        let remaining = taken.filter(|_| loads).map(|model| {
            let serving = others.filter(|(_, engine)| engine.serves(now, &model));
            serving.count()
        });
        let engine = &mut self.engines[&id];
        let answer = if now < engine.down_until {
            let reason = "refused".to_owned();
            Answer::Lost { reason }
        } else {
            engine.obey(now, order)
        };
        if answer == Answer::Accepted {
            self.effects.push(Effect {
                at: now,
                endpoint: id,
                order: order.clone(),
                remaining,
            });
        }
        if answered {
            self.later(STEP_MS, Packet::Answer(place, order.id, answer));
        }
    }

    fn asked(&mut self, place: usize, id: EndpointId) {
        let engine = &self.engines[&id];
        let is_up = self.now >= engine.down_until;
        let report = is_up.then(|| engine.report());
        let lost = self.happens(self.faults.lost_questions);
        let delay = self.below(50);
        self.later(delay, Packet::Report(place, id, report.filter(|_| !lost)));
    }

    pub fn stepped_down(&self) -> usize {
        let is = |record: &&Record| matches!(record.event, Event::SteppedDown(_));
        self.records.iter().filter(is).count()
    }
}

/// A declaration with one model, and all engines declared.
pub fn declaration(version: &str, engines: &IndexMap<EndpointId, Engine>) -> String {
    let endpoints = engines.iter().map(|(id, engine)| {
        let (service, checks) = (engine.service, engine.checks);
        format!(
            r#"{{"name": "{id}", "service": "{service}", "data_centre": "tartu",
                "checks_fencing": {checks}}}"#
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

/// `count` engines of one service with one model loaded.
pub fn engines(count: usize, checks: impl Fn(usize) -> bool) -> IndexMap<EndpointId, Engine> {
    (0..count)
        .map(|place| {
            let engine = Engine::new("formula-llm", "formula", checks(place));
            (EndpointId::new(format!("e{place}")), engine)
        })
        .collect()
}
