//! Reservations of several engines: all or none, without deadlocks or leaks.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_routing::gang::{Output, Reply, Reservation, Reservations, split};
use kumquatdrum_types::{AttemptId, EndpointId, Moment};

const MEMORY_TOKENS: u64 = 100;
const NEVER_EXPIRES: Duration = Duration::from_secs(1_000_000);
/// The entropy of one case, in bytes.
const ENTROPY_BYTES: u64 = 16_384;
const CASES: u64 = 150;

fn engine(index: usize) -> EndpointId {
    format!("engine-{index}").as_str().into()
}

fn reservations(engines: &[usize], tokens: u64) -> Vec<Reservation> {
    let reservation = |&index: &usize| Reservation {
        engine: engine(index),
        tokens,
    };
    engines.iter().map(reservation).collect()
}

/// An engine's memory: the size and expiry of each reservation.
#[derive(Debug, Default)]
struct Memory {
    reservations: BTreeMap<AttemptId, (u64, Moment)>,
}

impl Memory {
    fn reserve(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        tokens: u64,
        time_to_live: Duration,
    ) -> Reply {
        self.reservations.retain(|_, (_, end)| now < *end);
        let others = self
            .reservations
            .iter()
            .filter(|(other, _)| *other != attempt);
        let used: u64 = others.map(|(_, (tokens, _))| tokens).sum();
        if used + tokens > MEMORY_TOKENS {
            return Reply::Busy;
        }
        self.reservations
            .insert(attempt.clone(), (tokens, now + time_to_live));
        Reply::Granted
    }
}

enum Message {
    ToEngine(EndpointId, Output),
    FromEngine(AttemptId, EndpointId, Reply),
}

/// Owners and engines on a network that delays, loses and duplicates messages.
struct Cluster {
    now: Moment,
    owners: Vec<Reservations>,
    engines: BTreeMap<EndpointId, Memory>,
    /// The arrival, the owner and the message.
    in_transit: Vec<(Moment, usize, Message)>,
    ready: Vec<(usize, AttemptId)>,
    failed: Vec<AttemptId>,
    can_expire: bool,
}

impl Cluster {
    fn new(owner_count: usize, engines: usize) -> Self {
        Self {
            now: Moment::ZERO,
            owners: (0..owner_count).map(|_| Reservations::default()).collect(),
            engines: (0..engines)
                .map(|index| (engine(index), Memory::default()))
                .collect(),
            in_transit: Vec::new(),
            ready: Vec::new(),
            failed: Vec::new(),
            can_expire: true,
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
                self.in_transit
                    .push((at, owner, Message::ToEngine(to.clone(), output.clone())));
            }
        }
    }

    fn deliver(&mut self, mut delay: impl FnMut() -> Vec<u64>) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, owner, message) in due {
            match message {
                Message::ToEngine(to, output) => {
                    let memory = self.engines.get_mut(&to).expect("a known engine");
                    let can_expire = self.can_expire;
                    let (attempt, reply) = match output {
                        Output::Reserve {
                            attempt,
                            reservation,
                            time_to_live,
                        } => {
                            let time_to_live = if can_expire {
                                time_to_live
                            } else {
                                NEVER_EXPIRES
                            };
                            let reply =
                                memory.reserve(now, &attempt, reservation.tokens, time_to_live);
                            (attempt, reply)
                        }
                        Output::Release { attempt, .. } => {
                            memory.reservations.remove(&attempt);
                            (attempt, Reply::Released)
                        }
                        Output::Ready(_) | Output::Failed(_) => continue,
                    };
                    for millis in delay() {
                        let at = now + Duration::from_millis(millis);
                        let message = Message::FromEngine(attempt.clone(), to.clone(), reply);
                        self.in_transit.push((at, owner, message));
                    }
                }
                Message::FromEngine(attempt, from, reply) => {
                    let outputs = self.owners[owner].handle_reply(now, &attempt, &from, reply);
                    self.send(owner, outputs, &mut delay);
                }
            }
        }
        for owner in 0..self.owners.len() {
            let outputs = self.owners[owner].tick(now);
            self.send(owner, outputs, &mut delay);
        }
        self.now = now + Duration::from_millis(50);
    }
}

#[test]
fn two_owners_do_not_deadlock_over_the_same_engines() {
    // Each needs the whole memory of both engines and lists them in a different order.
    let mut cluster = Cluster::new(2, 2);
    for (owner, engines) in [(0, [0, 1]), (1, [1, 0])] {
        let attempt = AttemptId::new(format!("{owner}:1"));
        let reservations = reservations(&engines, MEMORY_TOKENS);
        let expires = Moment::from_millis(60_000);
        let outputs = cluster.owners[owner].begin(Moment::ZERO, attempt, reservations, expires);
        cluster.send(owner, outputs, || vec![10]);
    }
    let mut completed = 0;
    for _ in 0..600 {
        cluster.deliver(|| vec![10]);
        for (owner, attempt) in std::mem::take(&mut cluster.ready) {
            completed += 1;
            let outputs = cluster.owners[owner].end(cluster.now, &attempt);
            cluster.send(owner, outputs, || vec![10]);
        }
    }
    assert_eq!(completed, 2);
    assert!(cluster.owners.iter().all(Reservations::is_empty));
    assert!(
        cluster
            .engines
            .values()
            .all(|memory| memory.reservations.is_empty())
    );
}

#[test]
fn a_busy_engine_fails_the_attempt_at_its_expiry_and_releases_the_others() {
    let mut cluster = Cluster::new(1, 2);
    let other = AttemptId::new("other");
    let engine_memory = cluster.engines.get_mut(&engine(1)).expect("known");
    engine_memory.reserve(
        Moment::ZERO,
        &other,
        MEMORY_TOKENS,
        Duration::from_secs(600),
    );
    let attempt = AttemptId::new("a:1");
    let expires = Moment::from_millis(5_000);
    let outputs = cluster.owners[0].begin(
        Moment::ZERO,
        attempt.clone(),
        reservations(&[0, 1], 60),
        expires,
    );
    cluster.send(0, outputs, || vec![10]);
    while cluster.now < Moment::from_millis(6_000) {
        cluster.deliver(|| vec![10]);
    }
    assert_eq!(cluster.failed, [attempt]);
    assert!(cluster.ready.is_empty());
    assert!(cluster.engines[&engine(0)].reservations.is_empty());
    assert!(cluster.owners[0].is_empty());
}

#[test]
fn a_reservation_is_renewed_while_the_prompt_runs() {
    let mut cluster = Cluster::new(1, 2);
    let attempt = AttemptId::new("a:1");
    let expires = Moment::from_millis(5_000);
    let outputs = cluster.owners[0].begin(
        Moment::ZERO,
        attempt.clone(),
        reservations(&[0, 1], 60),
        expires,
    );
    cluster.send(0, outputs, || vec![10]);
    while cluster.now < Moment::from_millis(60_000) {
        cluster.deliver(|| vec![10]);
    }
    assert_eq!(cluster.ready, [(0, attempt.clone())]);
    for memory in cluster.engines.values() {
        assert!(memory.reservations[&attempt].1 > cluster.now);
    }
}

#[test]
fn a_prompt_is_split_completely_or_not_at_all() {
    assert_eq!(split(301, &[100, 100, 100]), None);
    let split = split(250, &[200, 100]).expect("fits");
    assert_eq!(split.iter().sum::<u64>(), 250);
    assert!(split[0] <= 200 && split[1] <= 100);
}

#[test]
fn every_reservation_is_released_despite_message_loss_and_crashes() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| check_releases(u, true);
        arbtest(property).seed(ENTROPY_BYTES | case << 32).run();
    }
}

#[test]
fn every_reservation_is_released_without_expiry_if_no_message_is_lost() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| check_releases(u, false);
        arbtest(property).seed(ENTROPY_BYTES | case << 32).run();
    }
}

/// Runs owners and engines with delayed, duplicated and reordered messages, crashes of both and, if
/// `is_lossy`, message loss. Engines expire reservations only if messages can be lost.
fn check_releases(u: &mut Unstructured<'_>, is_lossy: bool) -> Result<()> {
    let (owner_count, engines) = (3, 4);
    let mut cluster = Cluster::new(owner_count, engines);
    cluster.can_expire = is_lossy;
    let mut started = Vec::new();
    for step in 0..400 {
        // A tenth of the messages is lost if `is_lossy`, and a tenth is duplicated.
        let mut delays = Vec::new();
        for _ in 0..8 {
            delays.push(match u.int_in_range(0..=9)? {
                0 if is_lossy => vec![],
                1 => vec![u.int_in_range(1..=2_000)?, u.int_in_range(1..=4_000)?],
                _ => vec![u.int_in_range(1..=1_000)?],
            });
        }
        let mut delays = delays.into_iter().cycle();
        let mut delay = move || delays.next().unwrap_or_default();
        let owner = u.int_in_range(0..=owner_count - 1)?;
        match u.int_in_range(0..=29)? {
            0..=2 => {
                let attempt = AttemptId::new(format!("{owner}:{step}"));
                let first = u.int_in_range(0..=engines - 2)?;
                let count = u.int_in_range(2..=engines - first)?;
                let chosen: Vec<usize> = (first..first + count).collect();
                let expires = cluster.now + Duration::from_millis(u.int_in_range(500..=8_000)?);
                let tokens = u.int_in_range(20..=MEMORY_TOKENS)?;
                let reservations = reservations(&chosen, tokens);
                started.push((owner, attempt.clone()));
                let outputs =
                    cluster.owners[owner].begin(cluster.now, attempt, reservations, expires);
                cluster.send(owner, outputs, &mut delay);
            }
            3 | 4 if !started.is_empty() => {
                let (owner, attempt) = started[u.int_in_range(0..=started.len() - 1)?].clone();
                let outputs = cluster.owners[owner].end(cluster.now, &attempt);
                cluster.send(owner, outputs, &mut delay);
            }
            5 => {
                // An engine crashes, loses its memory, and all owners are informed.
                let failed_engine = engine(u.int_in_range(0..=engines - 1)?);
                cluster
                    .engines
                    .insert(failed_engine.clone(), Memory::default());
                for owner in 0..owner_count {
                    let outputs = cluster.owners[owner].remove_engine(cluster.now, &failed_engine);
                    cluster.send(owner, outputs, &mut delay);
                }
            }
            6 => {
                // An owner crashes, and another one releases its reservations.
                cluster.owners[owner] = Reservations::default();
                cluster.in_transit.retain(|(_, to, message)| {
                    *to != owner || matches!(message, Message::ToEngine(..))
                });
                let successor = (owner + 1) % owner_count;
                // Includes attempts of earlier incarnations, which engines may have granted since.
                let orphans = started.iter().filter(|(starter, _)| *starter == owner);
                for (_, attempt) in orphans.cloned().collect::<Vec<_>>() {
                    for index in 0..engines {
                        let to = engine(index);
                        let outputs =
                            cluster.owners[successor].release_orphan(cluster.now, &attempt, &to);
                        cluster.send(successor, outputs, &mut delay);
                    }
                }
            }
            _ => {}
        }
        cluster.deliver(&mut delay);
    }
    // All attempts end, and the remaining messages are delivered.
    for (owner, attempt) in started {
        let outputs = cluster.owners[owner].end(cluster.now, &attempt);
        cluster.send(owner, outputs, || vec![10]);
    }
    for _ in 0..400 {
        cluster.deliver(|| vec![10]);
    }
    assert!(
        cluster.owners.iter().all(Reservations::is_empty),
        "{:?}",
        cluster.owners
    );
    let now = cluster.now;
    for memory in cluster.engines.values() {
        let mut reservations = memory.reservations.values();
        assert!(
            reservations.all(|(_, end)| *end <= now),
            "{memory:?} at {now:?}"
        );
    }
    // An attempt fails at most once.
    let mut failed = cluster.failed.clone();
    failed.sort();
    failed.dedup();
    assert_eq!(failed.len(), cluster.failed.len());
    Ok(())
}
