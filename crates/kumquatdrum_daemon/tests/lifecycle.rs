//! Seeded simulation of request life cycles with losses, delays and engine restarts: the ending
//! reported to the caller must match the attempts that the engines ran.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_daemon::lifecycle::{Ending, Input, Lifecycle, Output, Policy, Timing};
use kumquatdrum_types::exchange::{Fault, Stage, Status, Target};
use kumquatdrum_types::{AttemptId, BootId, EndpointId, Moment, Refusal};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 3_000;
const TOKENS: u64 = 4;
const DEADLINE: Moment = Moment::from_millis(20_000);
const STEP: Duration = Duration::from_millis(50);
const ENGINES: u64 = 3;

/// State of one attempt at its engine.
struct Attempt {
    id: AttemptId,
    engine: usize,
    /// Time at which the dispatch reaches the engine; `None` if it is lost.
    arrives_at: Option<Moment>,
    /// Whether the engine must not start the attempt, because of a cancel or a restart.
    is_blocked: bool,
    /// Incarnation of the engine that started the attempt.
    started: Option<BootId>,
    tokens: u64,
    is_cancelled: bool,
    /// Whether the current connection delivers events.
    is_connected: bool,
    is_accepted: bool,
    delivered: u64,
}

struct Simulation {
    random: Pcg64Mcg,
    now: Moment,
    boots: Vec<u64>,
    frozen_until: Vec<Moment>,
    attempts: Vec<Attempt>,
    runs: u32,
    inputs: Vec<(Moment, Input)>,
    placements: u32,
    abandoned: Vec<AttemptId>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::new(u128::from(seed) << 64 | 0xcafe_f00d),
            now: Moment::ZERO,
            boots: vec![1; ENGINES as usize],
            frozen_until: vec![Moment::ZERO; ENGINES as usize],
            attempts: Vec::new(),
            runs: 0,
            inputs: Vec::new(),
            placements: 0,
            abandoned: Vec::new(),
        }
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.random.next_u64() % 100 < percent
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    fn random_time(&mut self, max_millis: u64) -> Moment {
        let wait = self.random_below(max_millis);
        self.now + Duration::from_millis(wait)
    }

    fn schedule(&mut self, max_millis: u64, input: Input) {
        let at = self.random_time(max_millis);
        self.inputs.push((at, input));
    }

    fn execute(&mut self, output: &Output) {
        match output {
            Output::Place { excluded } => self.place(excluded),
            Output::Retry { excluded } => {
                if self.chance(10) {
                    self.schedule(1, Input::RetryDenied);
                } else {
                    self.place(excluded);
                }
            }
            Output::Claim => {
                let is_claimed = !self.chance(10);
                let refused = Input::ClaimRefused(Refusal::ClaimUnavailable, None);
                self.schedule(50, if is_claimed { Input::Claimed } else { refused });
            }
            Output::Dispatch(target, id) => self.dispatch(target, id),
            Output::Probe(target, id) => self.handle_probe(target, id, false),
            Output::Cancel(target, id) => self.handle_probe(target, id, true),
            Output::Resume(_, id, from) => self.resume(id, *from),
            Output::Abandon(_, id) => self.abandoned.push(id.clone()),
            Output::Withdraw | Output::End(_) => {}
        }
    }

    fn place(&mut self, excluded: &[EndpointId]) {
        let engine = self.random_below(ENGINES) as usize;
        let endpoint = EndpointId::new(format!("e{engine}"));
        if excluded.contains(&endpoint) || self.chance(3) {
            let refused = Input::Refused(Refusal::Overloaded, Some(Duration::from_secs(1)));
            return self.schedule(100, refused);
        }
        self.placements += 1;
        let target = Target {
            endpoint,
            boot: BootId(self.boots[engine]),
            address: "127.0.0.1:1".parse().expect("an address"),
        };
        let id = AttemptId::new(format!("a.{}", self.placements));
        self.schedule(100, Input::Placed(target, id));
    }

    fn dispatch(&mut self, target: &Target, id: &AttemptId) {
        let engine: usize = target.endpoint.as_str()[1..].parse().expect("a number");
        let roll = self.random_below(100);
        let arrives_at = match roll {
            // No connection: nothing was sent.
            0..=7 => {
                self.schedule(100, Input::Fault(Fault::NotSent));
                None
            }
            // The dispatch is lost.
            8..=12 => None,
            // The dispatch is stuck on a silent connection and arrives much later.
            13..=20 => Some(self.random_time(15_000)),
            _ => Some(self.random_time(100)),
        };
        let is_connected = roll > 25;
        self.attempts.push(Attempt {
            id: id.clone(),
            engine,
            arrives_at,
            is_blocked: false,
            started: None,
            tokens: 0,
            is_cancelled: false,
            is_connected,
            is_accepted: false,
            delivered: 0,
        });
    }

    fn attempt(&mut self, id: &AttemptId) -> &mut Attempt {
        let found = self.attempts.iter_mut().find(|attempt| attempt.id == *id);
        found.expect("the attempt was dispatched")
    }

    fn status(&mut self, id: &AttemptId) -> Status {
        let boots = self.boots.clone();
        let attempt = self.attempt(id);
        let boot = BootId(boots[attempt.engine]);
        let state = match attempt.started {
            Some(started_boot) if started_boot == boot && attempt.is_cancelled => Stage::Cancelled,
            Some(started_boot) if started_boot == boot && attempt.tokens == TOKENS => {
                Stage::Finished
            }
            Some(started_boot) if started_boot == boot => Stage::Running,
            _ => Stage::NeverSeen,
        };
        Status {
            boot,
            state,
            tokens: attempt.tokens,
            started: attempt.started == Some(boot),
        }
    }

    fn handle_probe(&mut self, _: &Target, id: &AttemptId, is_cancel: bool) {
        let engine = self.attempt(id).engine;
        if self.frozen_until[engine] > self.now || self.chance(10) {
            return self.schedule(1_000, Input::Unreachable);
        }
        let status = self.status(id);
        if is_cancel {
            let attempt = self.attempt(id);
            attempt.is_blocked = true;
            attempt.is_cancelled |= attempt.tokens < TOKENS;
            // The confirmation is lost.
            if self.chance(20) {
                return self.schedule(1_000, Input::Unreachable);
            }
            return self.schedule(50, Input::Cancelled(status));
        }
        self.schedule(50, Input::Probed(status));
    }

    fn resume(&mut self, id: &AttemptId, from: u64) {
        let is_connected = !self.chance(10);
        let attempt = self.attempt(id);
        attempt.is_connected = is_connected;
        attempt.delivered = from;
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        if self.chance(1) {
            let engine = self.random_below(ENGINES) as usize;
            self.boots[engine] += 1;
            for attempt in self
                .attempts
                .iter_mut()
                .filter(|attempt| attempt.engine == engine)
            {
                attempt.is_blocked |= attempt.arrives_at.is_none_or(|at| at <= self.now);
            }
        }
        if self.chance(1) {
            let engine = self.random_below(ENGINES) as usize;
            self.frozen_until[engine] = self.random_time(8_000);
        }
        for index in 0..self.attempts.len() {
            self.step_attempt(index);
        }
    }

    fn step_attempt(&mut self, index: usize) {
        let (now, engine) = (self.now, self.attempts[index].engine);
        let boot = BootId(self.boots[engine]);
        let is_frozen = self.frozen_until[engine] > now;
        let attempt = &mut self.attempts[index];
        let has_arrived = attempt.arrives_at.is_some_and(|at| at <= now);
        if is_frozen || !has_arrived {
            return;
        }
        if attempt.started.is_none() && !attempt.is_blocked {
            attempt.started = Some(boot);
            self.runs += 1;
        }
        let attempt = &mut self.attempts[index];
        if attempt.started != Some(boot) {
            let is_broken = attempt.is_connected;
            attempt.is_connected = false;
            if is_broken {
                self.schedule(1, Input::Fault(Fault::Broken));
            }
            return;
        }
        if !attempt.is_cancelled {
            attempt.tokens = (attempt.tokens + 1).min(TOKENS);
        }
        self.send_event(index);
    }

    fn send_event(&mut self, index: usize) {
        if !self.attempts[index].is_connected {
            return;
        }
        if self.chance(4) {
            self.attempts[index].is_connected = false;
            // The connection breaks either visibly or silently.
            if self.chance(50) {
                self.schedule(1, Input::Fault(Fault::Broken));
            }
            return;
        }
        let attempt = &mut self.attempts[index];
        if !attempt.is_accepted {
            attempt.is_accepted = true;
            self.schedule(1, Input::Accepted);
        } else if attempt.delivered < attempt.tokens {
            attempt.delivered += 1;
            let delivered = attempt.delivered;
            self.schedule(1, Input::Progress(delivered));
        } else if attempt.delivered == TOKENS {
            attempt.is_connected = false;
            self.schedule(1, Input::Finished);
        }
    }

    fn take_due(&mut self) -> Vec<Input> {
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

fn policy(seed: u64) -> Policy {
    Policy {
        deadline: DEADLINE,
        is_idempotent: seed.is_multiple_of(2),
        has_key: seed.is_multiple_of(3),
        is_resumable: true,
        is_streamed: !seed.is_multiple_of(5),
        max_attempts: 3,
    }
}

/// Runs a life cycle past its end, until all messages have arrived.
fn run(seed: u64) -> (Policy, Simulation, Ending) {
    let policy = policy(seed);
    let mut simulation = Simulation::new(seed);
    let mut lifecycle = Lifecycle::new(policy.clone(), Timing::default());
    let mut ending = None;
    let mut outputs = lifecycle.start();
    while simulation.now < DEADLINE + Duration::from_secs(30) {
        for output in outputs.drain(..) {
            simulation.execute(&output);
            if let Output::End(end) = output {
                assert!(ending.is_none(), "seed {seed}: two endings");
                assert!(
                    simulation.now <= DEADLINE + STEP,
                    "seed {seed}: ended after the deadline"
                );
                ending = Some(end);
            }
        }
        simulation.step();
        let mut inputs = simulation.take_due();
        if lifecycle.next_tick() <= simulation.now {
            inputs.push(Input::Tick);
        }
        for input in inputs {
            outputs.extend(lifecycle.step(simulation.now, input));
        }
    }
    let ending = ending.unwrap_or_else(|| panic!("seed {seed}: no ending"));
    (policy, simulation, ending)
}

#[test]
fn the_reported_ending_matches_the_attempts_that_ran() {
    let mut endings = [0_u32; 4];
    for seed in 0..SEEDS {
        let (policy, simulation, ending) = run(seed);
        let runs = simulation.runs;
        assert!(
            policy.is_idempotent || runs <= 1,
            "seed {seed}: ran {runs} times"
        );
        match ending {
            Ending::NotRun { .. } => {
                assert_eq!(runs, 0, "seed {seed}: reported as not run but ran");
                endings[0] += 1;
            }
            Ending::Finished => {
                assert!(runs >= 1, "seed {seed}: reported as finished but never ran");
                endings[1] += 1;
            }
            Ending::Failed(_) => endings[2] += 1,
            Ending::Unknown(_) => endings[3] += 1,
            Ending::CallerGone => panic!("seed {seed}: the caller never disconnects"),
        }
    }
    assert!(
        endings.iter().all(|count| *count > 20),
        "each ending must occur in more than 20 runs: {endings:?}"
    );
}

#[test]
fn a_disconnect_cancels_an_attempt_without_an_idempotency_key() {
    let policy = Policy {
        has_key: false,
        ..policy(0)
    };
    let mut lifecycle = Lifecycle::new(policy, Timing::default());
    let target = Target {
        endpoint: EndpointId::new("e0"),
        boot: BootId(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    let id = AttemptId::new("a.1");
    lifecycle.step(Moment::ZERO, Input::Placed(target.clone(), id.clone()));
    let outputs = lifecycle.step(Moment::from_millis(5), Input::CallerGone);
    let expected = [Output::Abandon(target, id), Output::End(Ending::CallerGone)];
    assert_eq!(outputs, expected);
}

#[test]
fn an_endpoint_error_ends_a_request_that_is_not_idempotent() {
    let policy = Policy {
        is_idempotent: false,
        ..policy(1)
    };
    let mut lifecycle = Lifecycle::new(policy, Timing::default());
    let target = Target {
        endpoint: EndpointId::new("e0"),
        boot: BootId(1),
        address: "127.0.0.1:1".parse().expect("an address"),
    };
    lifecycle.step(Moment::ZERO, Input::Placed(target, AttemptId::new("a.1")));
    let fault = Fault::Rejected {
        status: 500,
        body: Bytes::new(),
    };
    let outputs = lifecycle.step(Moment::from_millis(5), Input::Fault(fault));
    assert!(matches!(
        outputs.as_slice(),
        [Output::End(Ending::Failed(_))]
    ));
}
