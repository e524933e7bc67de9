//! Reservations over several engines: all or none, no deadlock, nothing lost.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_routing::gang::{Output, Reply, Reservation, Reservations, split};
use kumquatdrum_types::{AttemptId, EndpointId, Moment};

const MEMORY: u64 = 100;
/// Longer than any test.
const FOR_EVER: Duration = Duration::from_secs(1_000_000);
/// Bytes of entropy of one case.
const SIZE: u64 = 16_384;
const CASES: u64 = 150;

fn engine(index: usize) -> EndpointId {
    format!("engine-{index}").as_str().into()
}

fn parts(engines: &[usize], tokens: u64) -> Vec<Reservation> {
    let part = |&index: &usize| Reservation {
        engine: engine(index),
        tokens,
    };
    engines.iter().map(part).collect()
}

/// An engine's memory: reservations with their size and end.
#[derive(Debug, Default)]
struct Memory {
    held: BTreeMap<AttemptId, (u64, Moment)>,
}

impl Memory {
    fn reserve(&mut self, now: Moment, attempt: &AttemptId, tokens: u64, life: Duration) -> Reply {
        self.held.retain(|_, (_, end)| now < *end);
        let others = self.held.iter().filter(|(other, _)| *other != attempt);
        let used: u64 = others.map(|(_, (tokens, _))| tokens).sum();
        if used + tokens > MEMORY {
            return Reply::Busy;
        }
        self.held.insert(attempt.clone(), (tokens, now + life));
        Reply::Granted
    }
}

enum Message {
    To(EndpointId, Output),
    From(AttemptId, EndpointId, Reply),
}

/// Owners' tables and engines, with a network that delays, loses and doubles messages.
struct World {
    now: Moment,
    tables: Vec<Reservations>,
    engines: BTreeMap<EndpointId, Memory>,
    flying: Vec<(Moment, usize, Message)>,
    ready: Vec<(usize, AttemptId)>,
    failed: Vec<AttemptId>,
    engines_expire: bool,
}

impl World {
    fn new(owners: usize, engines: usize) -> Self {
        Self {
            now: Moment::ZERO,
            tables: (0..owners).map(|_| Reservations::default()).collect(),
            engines: (0..engines)
                .map(|index| (engine(index), Memory::default()))
                .collect(),
            flying: Vec::new(),
            ready: Vec::new(),
            failed: Vec::new(),
            engines_expire: true,
        }
    }

    fn send(&mut self, owner: usize, outputs: Vec<Output>, mut delay: impl FnMut() -> Vec<u64>) {
        for output in outputs {
            let to = match &output {
                Output::Reserve { reservation, .. } => reservation.engine.clone(),
                Output::Release { engine, .. } => engine.clone(),
                Output::Ready(attempt) => {
                    self.ready.push((owner, attempt.clone()));
                    continue;
                }
                Output::Failed(attempt) => {
                    self.failed.push(attempt.clone());
                    continue;
                }
            };
            for millis in delay() {
                let at = self.now + Duration::from_millis(millis);
                self.flying
                    .push((at, owner, Message::To(to.clone(), output.clone())));
            }
        }
    }

    fn deliver(&mut self, mut delay: impl FnMut() -> Vec<u64>) {
        let now = self.now;
        let due: Vec<_> = self.flying.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, owner, message) in due {
            match message {
                Message::To(to, output) => {
                    let memory = self.engines.get_mut(&to).expect("a known engine");
                    let expires = self.engines_expire;
                    let (attempt, answer) = match output {
                        Output::Reserve {
                            attempt,
                            reservation,
                            time_to_live,
                        } => {
                            let life = if expires { time_to_live } else { FOR_EVER };
                            let answer = memory.reserve(now, &attempt, reservation.tokens, life);
                            (attempt, answer)
                        }
                        Output::Release { attempt, .. } => {
                            memory.held.remove(&attempt);
                            (attempt, Reply::Released)
                        }
                        Output::Ready(_) | Output::Failed(_) => continue,
                    };
                    for millis in delay() {
                        let at = now + Duration::from_millis(millis);
                        let back = Message::From(attempt.clone(), to.clone(), answer);
                        self.flying.push((at, owner, back));
                    }
                }
                Message::From(attempt, from, answer) => {
                    let outputs = self.tables[owner].handle_reply(now, &attempt, &from, answer);
                    self.send(owner, outputs, &mut delay);
                }
            }
        }
        for owner in 0..self.tables.len() {
            let outputs = self.tables[owner].tick(now);
            self.send(owner, outputs, &mut delay);
        }
        self.now = now + Duration::from_millis(50);
    }
}

#[test]
fn two_owners_over_the_same_engines_both_get_through() {
    // Each needs both engines whole, and names them in another order.
    let mut world = World::new(2, 2);
    for (owner, engines) in [(0, [0, 1]), (1, [1, 0])] {
        let attempt = AttemptId::new(format!("{owner}:1"));
        let parts = parts(&engines, MEMORY);
        let expires = Moment::from_millis(60_000);
        let outputs = world.tables[owner].begin(Moment::ZERO, attempt, parts, expires);
        world.send(owner, outputs, || vec![10]);
    }
    let mut done = 0;
    for _ in 0..600 {
        world.deliver(|| vec![10]);
        for (owner, attempt) in std::mem::take(&mut world.ready) {
            done += 1;
            let outputs = world.tables[owner].end(world.now, &attempt);
            world.send(owner, outputs, || vec![10]);
        }
    }
    assert_eq!(done, 2);
    assert!(world.tables.iter().all(Reservations::is_empty));
    assert!(world.engines.values().all(|memory| memory.held.is_empty()));
}

#[test]
fn an_engine_that_stays_busy_makes_it_fail_at_its_expiry_and_frees_the_rest() {
    let mut world = World::new(1, 2);
    let other = AttemptId::new("other");
    let full = world.engines.get_mut(&engine(1)).expect("known");
    full.reserve(Moment::ZERO, &other, MEMORY, Duration::from_secs(600));
    let attempt = AttemptId::new("a:1");
    let expires = Moment::from_millis(5_000);
    let outputs = world.tables[0].begin(Moment::ZERO, attempt.clone(), parts(&[0, 1], 60), expires);
    world.send(0, outputs, || vec![10]);
    while world.now < Moment::from_millis(6_000) {
        world.deliver(|| vec![10]);
    }
    assert_eq!(world.failed, [attempt]);
    assert!(world.ready.is_empty());
    assert!(world.engines[&engine(0)].held.is_empty());
    assert!(world.tables[0].is_empty());
}

#[test]
fn a_held_reservation_is_renewed_for_as_long_as_the_prompt_runs() {
    let mut world = World::new(1, 2);
    let attempt = AttemptId::new("a:1");
    let expires = Moment::from_millis(5_000);
    let outputs = world.tables[0].begin(Moment::ZERO, attempt.clone(), parts(&[0, 1], 60), expires);
    world.send(0, outputs, || vec![10]);
    while world.now < Moment::from_millis(60_000) {
        world.deliver(|| vec![10]);
    }
    assert_eq!(world.ready, [(0, attempt.clone())]);
    for memory in world.engines.values() {
        assert!(memory.held[&attempt].1 > world.now);
    }
}

#[test]
fn prompts_are_split_whole_or_not_at_all() {
    assert_eq!(split(301, &[100, 100, 100]), None);
    let split = split(250, &[200, 100]).expect("fits");
    assert_eq!(split.iter().sum::<u64>(), 250);
    assert!(split[0] <= 200 && split[1] <= 100);
}

#[test]
fn under_loss_and_deaths_every_reservation_is_returned() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| property(u, true);
        arbtest(property).seed(SIZE | case << 32).run();
    }
}

#[test]
fn without_loss_and_without_expiry_at_engines_every_reservation_is_returned() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| property(u, false);
        arbtest(property).seed(SIZE | case << 32).run();
    }
}

/// Owners and engines under late, doubled and crossed messages, deaths of both, and, if so asked,
/// loss. Engines drop what is not renewed only where messages can be lost.
fn property(u: &mut Unstructured<'_>, is_lossy: bool) -> Result<()> {
    let (owners, engines) = (3, 4);
    let mut world = World::new(owners, engines);
    world.engines_expire = is_lossy;
    let mut begun = Vec::new();
    for step in 0..400 {
        // A tenth of the messages is lost, a tenth comes twice, all in any order.
        let mut draws = Vec::new();
        for _ in 0..8 {
            draws.push(match u.int_in_range(0..=9)? {
                0 if is_lossy => vec![],
                1 => vec![u.int_in_range(1..=2_000)?, u.int_in_range(1..=4_000)?],
                _ => vec![u.int_in_range(1..=1_000)?],
            });
        }
        let mut draws = draws.into_iter().cycle();
        let mut delay = move || draws.next().unwrap_or_default();
        let owner = u.int_in_range(0..=owners - 1)?;
        match u.int_in_range(0..=29)? {
            0..=2 => {
                let attempt = AttemptId::new(format!("{owner}:{step}"));
                let first = u.int_in_range(0..=engines - 2)?;
                let count = u.int_in_range(2..=engines - first)?;
                let chosen: Vec<usize> = (first..first + count).collect();
                let expires = world.now + Duration::from_millis(u.int_in_range(500..=8_000)?);
                let tokens = u.int_in_range(20..=MEMORY)?;
                let parts = parts(&chosen, tokens);
                begun.push((owner, attempt.clone()));
                let outputs = world.tables[owner].begin(world.now, attempt, parts, expires);
                world.send(owner, outputs, &mut delay);
            }
            3 | 4 if !begun.is_empty() => {
                let (owner, attempt) = begun[u.int_in_range(0..=begun.len() - 1)?].clone();
                let outputs = world.tables[owner].end(world.now, &attempt);
                world.send(owner, outputs, &mut delay);
            }
            5 => {
                // An engine dies with its memory, and all owners learn of it.
                let dead = engine(u.int_in_range(0..=engines - 1)?);
                world.engines.insert(dead.clone(), Memory::default());
                for owner in 0..owners {
                    let outputs = world.tables[owner].remove_engine(world.now, &dead);
                    world.send(owner, outputs, &mut delay);
                }
            }
            6 => {
                // A daemon dies with its table; another one takes over what it may hold.
                world.tables[owner] = Reservations::default();
                world
                    .flying
                    .retain(|(_, to, message)| *to != owner || matches!(message, Message::To(..)));
                let heir = (owner + 1) % owners;
                // Also what it began in an earlier life: engines may have granted that since.
                let orphans = begun.iter().filter(|(of, _)| *of == owner);
                for (_, attempt) in orphans.cloned().collect::<Vec<_>>() {
                    for index in 0..engines {
                        let to = engine(index);
                        let outputs = world.tables[heir].take_over(world.now, &attempt, &to);
                        world.send(heir, outputs, &mut delay);
                    }
                }
            }
            _ => {}
        }
        world.deliver(&mut delay);
    }
    // A reservation is ready only with all engines, and each ends at most once.
    for (owner, attempt) in begun {
        let outputs = world.tables[owner].end(world.now, &attempt);
        world.send(owner, outputs, || vec![10]);
    }
    for _ in 0..400 {
        world.deliver(|| vec![10]);
    }
    assert!(
        world.tables.iter().all(Reservations::is_empty),
        "{:?}",
        world.tables
    );
    let now = world.now;
    for memory in world.engines.values() {
        let mut held = memory.held.values();
        assert!(held.all(|(_, end)| *end <= now), "{memory:?} at {now:?}");
    }
    let mut failed = world.failed.clone();
    failed.sort();
    failed.dedup();
    assert_eq!(failed.len(), world.failed.len());
    Ok(())
}
