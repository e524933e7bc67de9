//! A leader that freezes right before it sends, and is woken long after.

mod support;

use kumquatdrum_orders::{Action, Adapter};
use support::{ELECTION_MS, Faults, World, declaration, engines};

/// Runs a leader into a freeze between its decision and its last check, elects a successor as
/// early as the consensus allows, and wakes the first one after `frozen_ms`.
fn freeze_and_wake(
    seed: u64,
    count: usize,
    checks: impl Fn(usize) -> bool,
    transfer: bool,
    successor_ms: u64,
) -> World {
    let engines = engines(count, checks);
    let text = declaration("2", &engines);
    let mut world = World::new(seed, engines, &text);
    world.faults = Faults {
        lost_answers: 100,
        ..Faults::default()
    };
    let before = world.below(12_000);
    // Some freezes are shorter than an election, some a little longer, some very long.
    let frozen = [200, 1_100, 2_500, 6_000, 20_000][world.below(5) as usize];
    let frozen = frozen + world.below(frozen);
    world.leaders[0].term = Some(7);
    world.run(before);
    world.leaders[0].freeze_at_next_load = Some(frozen);
    while world.leaders[0].froze_at.is_none() {
        world.step();
        assert!(world.now < 120_000, "seed {seed}: it never orders a load");
    }
    world.leaders[0].renews = false;
    // Something that the successor can mend without the weight store, so at once.
    let (_, last) = world.engines.last_mut().expect("some engines");
    "2".clone_into(&mut last.version);
    last.loading = None;
    last.adapters = ["nails", "surplus"].map(adapter).to_vec();
    let voter_rate = 955 + world.below(91);
    // A transfer gives the lease up at once; otherwise a voter's timeout ends first.
    let election = if transfer {
        0
    } else {
        ELECTION_MS * 1_000 / voter_rate
    };
    world.run(election);
    world.leaders[1].term = Some(8);
    world.run(successor_ms);
    world
}

fn adapter(name: &str) -> Adapter {
    Adapter {
        name: name.to_owned(),
        version: "2".to_owned(),
    }
}

/// Per engine, no order of the old holder after the successor's first one.
fn old_orders_after_new(world: &World) -> usize {
    let late = |place: usize| {
        let effect = &world.effects[place];
        let mut before = world.effects[..place].iter();
        effect.order.id.fencing == 7
            && before.any(|other| other.order.id.fencing == 8 && other.endpoint == effect.endpoint)
    };
    (0..world.effects.len())
        .filter(|place| late(*place))
        .count()
}

fn successors(world: &World) -> usize {
    let effects = world.effects.iter();
    effects
        .filter(|effect| effect.order.id.fencing == 8)
        .count()
}

#[test]
fn engines_that_check_refuse_a_woken_leader_and_it_steps_down() {
    let mut stepped_down = 0;
    for seed in 0..40 {
        let world = freeze_and_wake(seed, 4, |_| true, seed % 2 == 0, 26_000);
        assert_eq!(old_orders_after_new(&world), 0, "seed {seed}");
        assert!(successors(&world) > 0, "seed {seed}");
        stepped_down += world.stepped_down();
    }
    assert!(stepped_down > 10, "{stepped_down}");
}

#[test]
fn engines_that_do_not_check_get_nothing_from_a_woken_leader() {
    for seed in 0..40 {
        let world = freeze_and_wake(seed, 4, |_| false, seed % 2 == 0, 26_000);
        assert!(successors(&world) > 0, "seed {seed}");
        let first = world.effects.iter().position(|e| e.order.id.fencing == 8);
        let after = &world.effects[first.expect("the successor ordered")..];
        let late = after.iter().filter(|effect| effect.order.id.fencing == 7);
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}

#[test]
fn mixed_engines_never_lose_their_last_replica_over_a_takeover() {
    for seed in 0..40 {
        let world = freeze_and_wake(seed, 2, |place| place % 2 == 0, seed % 3 == 0, 45_000);
        assert_eq!(old_orders_after_new(&world), 0, "seed {seed}");
        for effect in &world.effects {
            assert_ne!(effect.remaining, Some(0), "seed {seed}: {effect:?}");
        }
        for engine in world.engines.values() {
            assert_eq!(engine.version, "2", "seed {seed}");
        }
    }
}

/// An engine that has not heard of the successor may still obey the old holder at any moment, so
/// it does not count as the replica that remains.
#[test]
fn an_engine_without_the_new_fencing_number_is_no_replica_to_rely_on() {
    let engines = engines(2, |place| place == 0);
    let text = declaration("2", &engines);
    let mut world = World::new(3, engines, &text);
    world.leaders[0].term = Some(7);
    world.leaders[0].freeze_at_next_load = Some(30_000);
    while world.leaders[0].froze_at.is_none() {
        world.step();
    }
    world.leaders[0].renews = false;
    // Only the other engine needs a load, and this one would be what remains.
    let first = &mut world.engines[0];
    "2".clone_into(&mut first.version);
    first.adapters = vec![adapter("nails")];
    world.cut = Some((1, "e0".into()));
    world.run(2 * ELECTION_MS);
    world.leaders[1].term = Some(8);
    world.run(20_000);
    let loads = |action: &Action| matches!(action, Action::LoadModel { .. });
    assert!(
        !world
            .effects
            .iter()
            .any(|effect| loads(&effect.order.action))
    );
    let tried = world.sent.iter().filter(|(_, order)| order.id.fencing == 8);
    assert!(tried.count() <= 6, "tried again at 1, 2, 4, 8 s");
    world.cut = None;
    world.run(120_000);
    assert!(
        world
            .effects
            .iter()
            .all(|effect| effect.remaining != Some(0))
    );
    assert!(world.engines.values().all(|engine| engine.version == "2"));
}
