//! Flights against engines that lose, delay and restart, by seed. The engines keep the truth:
//! what a flight tells its caller is held against what really ran.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_daemon::flight::{Ending, Flight, Input, Output, Plan, Timing};
use kumquatdrum_types::exchange::{Fault, Stage, Status, Target};
use kumquatdrum_types::{AttemptId, BootId, EndpointId, Moment, Refusal};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 3_000;
const TOKENS: u64 = 4;
const DEADLINE: Moment = Moment::from_millis(20_000);
const STEP: Duration = Duration::from_millis(50);
const ENGINES: u64 = 3;

/// One attempt as the engine that it was sent to sees it.
struct Copy {
    id: AttemptId,
    engine: usize,
    /// When the request reaches the engine, if ever.
    arrives: Option<Moment>,
    barred: bool,
    /// Started in this life of the engine.
    started: Option<BootId>,
    tokens: u64,
    cancelled: bool,
    /// Whether the current connection carries anything.
    carries: bool,
    accepted: bool,
    delivered: u64,
}

struct World {
    random: Pcg64Mcg,
    now: Moment,
    boots: Vec<u64>,
    frozen_until: Vec<Moment>,
    copies: Vec<Copy>,
    runs: u32,
    inputs: Vec<(Moment, Input)>,
    made: u32,
    abandoned: Vec<AttemptId>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::new(u128::from(seed) << 64 | 0xcafe_f00d),
            now: Moment::ZERO,
            boots: vec![1; ENGINES as usize],
            frozen_until: vec![Moment::ZERO; ENGINES as usize],
            copies: Vec::new(),
            runs: 0,
            inputs: Vec::new(),
            made: 0,
            abandoned: Vec::new(),
        }
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.random.next_u64() % 100 < percent
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    fn later(&mut self, most_millis: u64) -> Moment {
        let wait = self.below(most_millis);
        self.now + Duration::from_millis(wait)
    }

    fn push(&mut self, most_millis: u64, input: Input) {
        let at = self.later(most_millis);
        self.inputs.push((at, input));
    }

    fn carry_out(&mut self, output: &Output) {
        match output {
            Output::Place { excluded } => self.place(excluded),
            Output::Retry { excluded } => {
                if self.chance(10) {
                    self.push(1, Input::RetryDenied);
                } else {
                    self.place(excluded);
                }
            }
            Output::Claim => {
                let claimed = !self.chance(10);
                let refused = Input::ClaimRefused(Refusal::ClaimUnavailable, None);
                self.push(50, if claimed { Input::Claimed } else { refused });
            }
            Output::Dispatch(target, id) => self.dispatch(target, id),
            Output::Probe(target, id) => self.question(target, id, false),
            Output::Cancel(target, id) => self.question(target, id, true),
            Output::Resume(_, id, from) => self.resume(id, *from),
            Output::Abandon(_, id) => self.abandoned.push(id.clone()),
            Output::Withdraw | Output::End(_) => {}
        }
    }

    fn place(&mut self, excluded: &[EndpointId]) {
        let engine = self.below(ENGINES) as usize;
        let endpoint = EndpointId::new(format!("e{engine}"));
        if excluded.contains(&endpoint) || self.chance(3) {
            let refused = Input::Refused(Refusal::Overloaded, Some(Duration::from_secs(1)));
            return self.push(100, refused);
        }
        self.made += 1;
        let target = Target {
            endpoint,
            boot: BootId(self.boots[engine]),
            address: "127.0.0.1:1".parse().expect("an address"),
        };
        let id = AttemptId::new(format!("a.{}", self.made));
        self.push(100, Input::Placed(target, id));
    }

    fn dispatch(&mut self, target: &Target, id: &AttemptId) {
        let engine: usize = target.endpoint.as_str()[1..].parse().expect("a number");
        let fate = self.below(100);
        let arrives = match fate {
            // No connection: nothing was sent.
            0..=7 => {
                self.push(100, Input::Fault(Fault::NotSent));
                None
            }
            // Lost on the way.
            8..=12 => None,
            // Stuck on a silent connection, and delivered long after.
            13..=20 => Some(self.later(15_000)),
            _ => Some(self.later(100)),
        };
        let carries = fate > 25;
        self.copies.push(Copy {
            id: id.clone(),
            engine,
            arrives,
            barred: false,
            started: None,
            tokens: 0,
            cancelled: false,
            carries,
            accepted: false,
            delivered: 0,
        });
    }

    fn copy(&mut self, id: &AttemptId) -> &mut Copy {
        let found = self.copies.iter_mut().find(|copy| copy.id == *id);
        found.expect("only what was dispatched is asked about")
    }

    fn standing(&mut self, id: &AttemptId) -> Status {
        let boots = self.boots.clone();
        let copy = self.copy(id);
        let boot = BootId(boots[copy.engine]);
        let state = match copy.started {
            Some(life) if life == boot && copy.cancelled => Stage::Cancelled,
            Some(life) if life == boot && copy.tokens == TOKENS => Stage::Finished,
            Some(life) if life == boot => Stage::Running,
            _ => Stage::NeverSeen,
        };
        Status {
            boot,
            state,
            tokens: copy.tokens,
            started: copy.started == Some(boot),
        }
    }

    fn question(&mut self, _: &Target, id: &AttemptId, cancels: bool) {
        let engine = self.copy(id).engine;
        if self.frozen_until[engine] > self.now || self.chance(10) {
            return self.push(1_000, Input::Unreachable);
        }
        let standing = self.standing(id);
        if cancels {
            let copy = self.copy(id);
            copy.barred = true;
            copy.cancelled |= copy.tokens < TOKENS;
            // The confirmation can get lost.
            if self.chance(20) {
                return self.push(1_000, Input::Unreachable);
            }
            return self.push(50, Input::Cancelled(standing));
        }
        self.push(50, Input::Status(standing));
    }

    fn resume(&mut self, id: &AttemptId, from: u64) {
        let carries = !self.chance(10);
        let copy = self.copy(id);
        copy.carries = carries;
        copy.delivered = from;
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.chance(1) {
            let engine = self.below(ENGINES) as usize;
            self.boots[engine] += 1;
            for copy in self.copies.iter_mut().filter(|copy| copy.engine == engine) {
                copy.barred |= copy.arrives.is_none_or(|at| at <= self.now);
            }
        }
        if self.chance(1) {
            let engine = self.below(ENGINES) as usize;
            self.frozen_until[engine] = self.later(8_000);
        }
        for place in 0..self.copies.len() {
            self.step_copy(place);
        }
    }

    fn step_copy(&mut self, place: usize) {
        let (now, engine) = (self.now, self.copies[place].engine);
        let boot = BootId(self.boots[engine]);
        let is_frozen = self.frozen_until[engine] > now;
        let copy = &mut self.copies[place];
        let arrived = copy.arrives.is_some_and(|at| at <= now);
        if is_frozen || !arrived {
            return;
        }
        if copy.started.is_none() && !copy.barred {
            copy.started = Some(boot);
            self.runs += 1;
        }
        let copy = &mut self.copies[place];
        if copy.started != Some(boot) {
            let broken = copy.carries;
            copy.carries = false;
            if broken {
                self.push(1, Input::Fault(Fault::Broken));
            }
            return;
        }
        if !copy.cancelled {
            copy.tokens = (copy.tokens + 1).min(TOKENS);
        }
        self.tell(place);
    }

    fn tell(&mut self, place: usize) {
        if !self.copies[place].carries {
            return;
        }
        if self.chance(4) {
            self.copies[place].carries = false;
            // Either the caller of the engine learns of it, or the connection went silent.
            if self.chance(50) {
                self.push(1, Input::Fault(Fault::Broken));
            }
            return;
        }
        let copy = &mut self.copies[place];
        if !copy.accepted {
            copy.accepted = true;
            self.push(1, Input::Accepted);
        } else if copy.delivered < copy.tokens {
            copy.delivered += 1;
            let delivered = copy.delivered;
            self.push(1, Input::Progress(delivered));
        } else if copy.delivered == TOKENS {
            copy.carries = false;
            self.push(1, Input::Finished);
        }
    }

    fn due(&mut self) -> Vec<Input> {
        let now = self.now;
        let mut due = Vec::new();
        self.inputs.retain(|(at, input)| {
            let is_due = *at <= now;
            if is_due {
                due.push(input.clone());
            }
            !is_due
        });
        due
    }
}

fn plan(seed: u64) -> Plan {
    Plan {
        deadline: DEADLINE,
        idempotent: seed.is_multiple_of(2),
        keyed: seed.is_multiple_of(3),
        resumable: true,
        streamed: !seed.is_multiple_of(5),
        attempts: 3,
    }
}

/// Runs a flight to its end and beyond, until everything that was on its way has arrived.
fn run(seed: u64) -> (Plan, World, Ending) {
    let plan = plan(seed);
    let mut world = World::new(seed);
    let mut flight = Flight::new(plan.clone(), Timing::default());
    let mut ending = None;
    let mut outputs = flight.start();
    while world.now < DEADLINE + Duration::from_secs(30) {
        for output in outputs.drain(..) {
            world.carry_out(&output);
            if let Output::End(end) = output {
                assert!(ending.is_none(), "seed {seed}: two endings");
                assert!(
                    world.now <= DEADLINE + STEP,
                    "seed {seed}: past its deadline"
                );
                ending = Some(end);
            }
        }
        world.step();
        let mut inputs = world.due();
        if flight.wake() <= world.now {
            inputs.push(Input::Tick);
        }
        for input in inputs {
            // Events of an exchange that the flight has left behind don't reach it.
            outputs.extend(flight.step(world.now, input));
        }
    }
    let ending = ending.unwrap_or_else(|| panic!("seed {seed}: no ending"));
    (plan, world, ending)
}

#[test]
fn what_the_caller_is_told_is_what_happened() {
    let mut endings = [0_u32; 4];
    for seed in 0..SEEDS {
        let (plan, world, ending) = run(seed);
        let runs = world.runs;
        assert!(
            plan.idempotent || runs <= 1,
            "seed {seed}: run {runs} times"
        );
        match ending {
            Ending::NotRun { .. } => {
                assert_eq!(runs, 0, "seed {seed}: told not run, and it ran");
                endings[0] += 1;
            }
            Ending::Finished => {
                assert!(runs >= 1, "seed {seed}: finished without a run");
                endings[1] += 1;
            }
            Ending::Failed(_) => endings[2] += 1,
            Ending::Unknown(_) => endings[3] += 1,
            Ending::CallerGone => panic!("seed {seed}: nobody left"),
        }
    }
    assert!(
        endings.iter().all(|count| *count > 20),
        "too tame: {endings:?}"
    );
}

#[test]
fn a_caller_that_leaves_ends_an_unkeyed_attempt() {
    let plan = Plan {
        keyed: false,
        ..plan(0)
    };
    let mut flight = Flight::new(plan, Timing::default());
    let target = Target {
        endpoint: EndpointId::new("e0"),
        boot: BootId(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let id = AttemptId::new("a.1");
    flight.step(Moment::ZERO, Input::Placed(target.clone(), id.clone()));
    let outputs = flight.step(Moment::from_millis(5), Input::CallerGone);
    let expected = [Output::Abandon(target, id), Output::End(Ending::CallerGone)];
    assert_eq!(outputs, expected);
}

#[test]
fn an_endpoint_error_of_a_request_that_may_not_be_repeated_is_final() {
    let plan = Plan {
        idempotent: false,
        ..plan(1)
    };
    let mut flight = Flight::new(plan, Timing::default());
    let target = Target {
        endpoint: EndpointId::new("e0"),
        boot: BootId(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    flight.step(Moment::ZERO, Input::Placed(target, AttemptId::new("a.1")));
    let fault = Fault::Rejected {
        status: 500,
        body: Bytes::new(),
    };
    let outputs = flight.step(Moment::from_millis(5), Input::Fault(fault));
    assert!(matches!(
        outputs.as_slice(),
        [Output::End(Ending::Failed(_))]
    ));
}
