//! Engines converge to the declaration within the weight store's rate, and a model never loses its
//! last replica.

mod support;

use kumquatdrum_orders::{Action, Event, Settings};
use support::{Engine, Faults, Simulation, declaration, engines};

fn load_times(simulation: &Simulation) -> Vec<u64> {
    let loads =
        |action: &Action| matches!(action, Action::LoadModel { .. } | Action::LoadAdapter(_));
    let sent = simulation.sent.iter();
    sent.filter(|(_, order)| loads(&order.action))
        .map(|(at, _)| *at)
        .collect()
}

/// Asserts that the loads after the first of any window exceed the weight store's rate by at most
/// one.
fn assert_rate_limited(simulation: &Simulation, seed: u64) {
    let interval = 60_000 / u64::from(Settings::default().loads_per_minute);
    let times = load_times(simulation);
    for (first, start) in times.iter().enumerate() {
        for (count, end) in times[first..].iter().enumerate() {
            // A leader's clock runs up to 4.5 % fast, and an order waits up to 30 ms to be sent.
            let max_count = (end - start + 60) * 1_045 / 1_000 / interval + 1;
            assert!(
                count as u64 <= max_count,
                "seed {seed}: {count} loads after the first in {} ms",
                end - start
            );
        }
    }
}

fn assert_converged(simulation: &Simulation, version: &str, seed: u64) {
    for (id, engine) in &simulation.engines {
        assert_eq!(engine.version, version, "seed {seed}: {id}");
        assert!(engine.loading.is_none(), "seed {seed}: {id}");
        assert!(!engine.is_standby, "seed {seed}: {id}");
        let adapters: Vec<_> = engine
            .adapters
            .iter()
            .map(|a| (&*a.name, &*a.version))
            .collect();
        assert_eq!(adapters, [("nails", version)], "seed {seed}: {id}");
    }
}

#[test]
fn a_new_version_is_loaded_by_one_engine_at_a_time_within_the_stores_rate_limit() {
    for seed in 0..12 {
        let engines = engines(4, |index| index % 2 == 0);
        let text = declaration("2", &engines);
        let mut simulation = Simulation::new(seed, engines, &text);
        simulation.faults = Faults {
            lost_orders: 100,
            lost_answers: 200,
            lost_probes: 100,
            ..Faults::default()
        };
        simulation.leaders[0].term = Some(1);
        for _ in 0..6_000 {
            simulation.step();
            let now = simulation.now;
            let serving = simulation
                .engines
                .values()
                .filter(|e| e.is_serving(now, "formula"));
            assert!(serving.count() >= 3, "seed {seed}");
        }
        assert_converged(&simulation, "2", seed);
        assert_rate_limited(&simulation, seed);
    }
}

#[test]
fn no_second_replica_is_taken_down_during_a_slow_load() {
    let mut engines = engines(4, |index| index % 2 == 0);
    for engine in engines.values_mut() {
        engine.load_ms = 12_000;
    }
    let text = declaration("2", &engines);
    let mut simulation = Simulation::new(5, engines, &text);
    simulation.leaders[0].term = Some(1);
    for _ in 0..6_000 {
        simulation.step();
        let now = simulation.now;
        let serving = simulation
            .engines
            .values()
            .filter(|e| e.is_serving(now, "formula"));
        assert!(serving.count() >= 3, "at {now} ms");
    }
    assert_converged(&simulation, "2", 5);
}

#[test]
fn the_declared_state_is_reached_after_restarts_and_a_second_declaration() {
    for seed in 0..12 {
        let engines = engines(4, |index| index % 2 == 0);
        let first = declaration("2", &engines);
        let second = declaration("3", &engines);
        let mut simulation = Simulation::new(seed, engines, &first);
        simulation.faults = Faults {
            lost_orders: 100,
            lost_answers: 200,
            lost_probes: 100,
            restarts_per_million: 300,
        };
        simulation.leaders[0].term = Some(1);
        simulation.run(60_000);
        simulation.declare(2, &second);
        simulation.run(30_000);
        simulation.faults = Faults::default();
        simulation.run(200_000);
        assert_converged(&simulation, "3", seed);
        assert_rate_limited(&simulation, seed);
    }
}

#[test]
fn a_load_on_the_last_replica_is_withheld_until_another_one_serves() {
    let one = engines(1, |_| true);
    let text = declaration("2", &engines(2, |_| true));
    let mut simulation = Simulation::new(1, one, &text);
    simulation.leaders[0].term = Some(1);
    simulation.run(30_000);
    assert!(
        simulation
            .effects
            .iter()
            .all(|e| e.order.action == Action::Fence)
    );
    let withheld = simulation
        .records
        .iter()
        .filter(|r| r.event == Event::Withheld);
    assert_eq!(withheld.count(), 1);
    let second = Engine::new("formula-llm", "formula", true);
    simulation.engines.insert("e1".into(), second);
    simulation.run(60_000);
    assert_converged(&simulation, "2", 1);
}

#[test]
fn the_model_with_the_lowest_share_of_serving_replicas_is_loaded_first() {
    for seed in 0..10 {
        let mut all = engines(3, |_| true);
        for index in 0..2 {
            let mut engine = Engine::new("archive-llm", "archive", true);
            engine.model = None;
            all.insert(format!("a{index}").as_str().into(), engine);
        }
        let text = declaration("2", &all);
        let mut simulation = Simulation::new(seed, all, &text);
        simulation.leaders[0].term = Some(1);
        simulation.run(40_000);
        let loads = simulation
            .effects
            .iter()
            .filter_map(|effect| match &effect.order.action {
                Action::LoadModel { model, .. } => Some(model.as_str()),
                _ => None,
            });
        let order: Vec<_> = loads.take(2).collect();
        assert_eq!(order, ["archive", "archive"], "seed {seed}");
    }
}

#[test]
fn standby_engines_are_activated_while_replicas_are_missing() {
    let mut all = engines(5, |_| true);
    for index in [3, 4] {
        all[index].is_standby = true;
    }
    for engine in all.values_mut() {
        engine.version = "2".to_owned();
    }
    let text = declaration("2", &all);
    let mut simulation = Simulation::new(1, all, &text);
    simulation.leaders[0].term = Some(1);
    simulation.run(60_000);
    let standby = simulation
        .engines
        .values()
        .filter(|engine| engine.is_standby);
    assert_eq!(standby.count(), 1, "four replicas are declared");
}
