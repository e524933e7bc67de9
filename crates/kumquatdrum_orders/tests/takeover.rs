//! A frozen leader that resumes after its successor's election must not affect engines.

mod support;

use kumquatdrum_orders::{Action, Adapter};
use support::{ELECTION_MS, Faults, Simulation, declaration, engines};

/// Freezes a leader between issuing a load and the last lease check, elects a successor as early
/// as the consensus permits, and resumes the first leader after a random time.
fn freeze_and_resume(
    seed: u64,
    count: usize,
    checks_fencing: impl Fn(usize) -> bool,
    is_transfer: bool,
    successor_ms: u64,
) -> Simulation {
    let engines = engines(count, checks_fencing);
    let text = declaration("2", &engines);
    let mut simulation = Simulation::new(seed, engines, &text);
    simulation.faults = Faults {
        lost_answers: 100,
        ..Faults::default()
    };
    let before = simulation.random_below(12_000);
    // Covers freezes shorter than an election, slightly longer and much longer.
    let frozen_ms = [200, 1_100, 2_500, 6_000, 20_000][simulation.random_below(5) as usize];
    let frozen_ms = frozen_ms + simulation.random_below(frozen_ms);
    simulation.leaders[0].term = Some(7);
    simulation.run(before);
    simulation.leaders[0].freeze_at_next_load = Some(frozen_ms);
    while simulation.leaders[0].froze_at.is_none() {
        simulation.step();
        assert!(simulation.now < 120_000, "seed {seed}: no load was ordered");
    }
    simulation.leaders[0].renews_lease = false;
    // Leaves the successor an adapter to unload, which needs no token of the weight store.
    let (_, last) = simulation.engines.last_mut().expect("some engines");
    "2".clone_into(&mut last.version);
    last.loading = None;
    last.adapters = ["nails", "surplus"].map(adapter).to_vec();
    let voter_rate = 955 + simulation.random_below(91);
    // A transfer releases the lease at once; otherwise a voter's election timeout must pass.
    let election = if is_transfer {
        0
    } else {
        ELECTION_MS * 1_000 / voter_rate
    };
    simulation.run(election);
    simulation.leaders[1].term = Some(8);
    simulation.run(successor_ms);
    simulation
}

fn adapter(name: &str) -> Adapter {
    Adapter {
        name: name.to_owned(),
        version: "2".to_owned(),
    }
}

/// Counts the old leader's orders that took effect at an engine after one of its successor.
fn count_superseded_effects(simulation: &Simulation) -> usize {
    let is_late = |index: usize| {
        let effect = &simulation.effects[index];
        let mut before = simulation.effects[..index].iter();
        effect.order.id.fencing == 7
            && before.any(|other| other.order.id.fencing == 8 && other.endpoint == effect.endpoint)
    };
    (0..simulation.effects.len())
        .filter(|index| is_late(*index))
        .count()
}

fn count_successor_effects(simulation: &Simulation) -> usize {
    let effects = simulation.effects.iter();
    effects
        .filter(|effect| effect.order.id.fencing == 8)
        .count()
}

#[test]
fn engines_that_check_fencing_tokens_refuse_a_resumed_leader_and_it_steps_down() {
    let mut stepped_down = 0;
    for seed in 0..40 {
        let simulation = freeze_and_resume(seed, 4, |_| true, seed % 2 == 0, 26_000);
        assert_eq!(count_superseded_effects(&simulation), 0, "seed {seed}");
        assert!(count_successor_effects(&simulation) > 0, "seed {seed}");
        stepped_down += simulation.count_step_downs();
    }
    assert!(stepped_down > 10, "{stepped_down}");
}

#[test]
fn engines_that_do_not_check_get_nothing_from_a_woken_leader() {
    for seed in 0..40 {
        let simulation = freeze_and_resume(seed, 4, |_| false, seed % 2 == 0, 26_000);
        assert!(count_successor_effects(&simulation) > 0, "seed {seed}");
        let first = simulation
            .effects
            .iter()
            .position(|e| e.order.id.fencing == 8);
        let after = &simulation.effects[first.expect("the successor ordered")..];
        let late = after.iter().filter(|effect| effect.order.id.fencing == 7);
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}

#[test]
fn a_model_on_mixed_engines_never_loses_its_last_replica_during_a_takeover() {
    for seed in 0..40 {
        let simulation = freeze_and_resume(seed, 2, |index| index % 2 == 0, seed % 3 == 0, 45_000);
        assert_eq!(count_superseded_effects(&simulation), 0, "seed {seed}");
        for effect in &simulation.effects {
            assert_ne!(effect.remaining, Some(0), "seed {seed}: {effect:?}");
        }
        for engine in simulation.engines.values() {
            assert_eq!(engine.version, "2", "seed {seed}");
        }
    }
}

/// An engine without the successor's fencing token may still carry out the old leader's orders, so
/// it doesn't count as a remaining replica.
#[test]
fn an_engine_without_the_new_fencing_number_is_no_replica_to_rely_on() {
    let engines = engines(2, |index| index == 0);
    let text = declaration("2", &engines);
    let mut simulation = Simulation::new(3, engines, &text);
    simulation.leaders[0].term = Some(7);
    simulation.leaders[0].freeze_at_next_load = Some(30_000);
    while simulation.leaders[0].froze_at.is_none() {
        simulation.step();
    }
    simulation.leaders[0].renews_lease = false;
    // Only the second engine needs a load; the first would be the remaining replica.
    let first = &mut simulation.engines[0];
    "2".clone_into(&mut first.version);
    first.adapters = vec![adapter("nails")];
    simulation.partition = Some((1, "e0".into()));
    simulation.run(2 * ELECTION_MS);
    simulation.leaders[1].term = Some(8);
    simulation.run(20_000);
    let loads = |action: &Action| matches!(action, Action::LoadModel { .. });
    assert!(
        !simulation
            .effects
            .iter()
            .any(|effect| loads(&effect.order.action))
    );
    let tried = simulation
        .sent
        .iter()
        .filter(|(_, order)| order.id.fencing == 8);
    assert!(tried.count() <= 6, "tried again at 1, 2, 4, 8 s");
    simulation.partition = None;
    simulation.run(120_000);
    assert!(
        simulation
            .effects
            .iter()
            .all(|effect| effect.remaining != Some(0))
    );
    assert!(
        simulation
            .engines
            .values()
            .all(|engine| engine.version == "2")
    );
}
