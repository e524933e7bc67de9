//! The declared state is reached, at the store's rate, without taking a last replica away.

mod support;

use kumquatdrum_orders::{Action, Event, Settings};
use support::{Engine, Faults, World, declaration, engines};

fn load_times(world: &World) -> Vec<u64> {
    let loads =
        |action: &Action| matches!(action, Action::LoadModel { .. } | Action::LoadAdapter(_));
    let sent = world.sent.iter();
    sent.filter(|(_, order)| loads(&order.action))
        .map(|(at, _)| *at)
        .collect()
}

/// In no window do more loads go than the store's rate gives, but for one under way.
fn assert_rate_kept(world: &World, seed: u64) {
    let interval = 60_000 / u64::from(Settings::default().loads_per_minute);
    let times = load_times(world);
    for (first, start) in times.iter().enumerate() {
        for (count, end) in times[first..].iter().enumerate() {
            // A leader's clock may run 4.5 % fast, and the shell holds an order for 30 ms.
            let most = (end - start + 60) * 1_045 / 1_000 / interval + 1;
            assert!(
                count as u64 <= most,
                "seed {seed}: {count} in {}",
                end - start
            );
        }
    }
}

fn assert_converged(world: &World, version: &str, seed: u64) {
    for (id, engine) in &world.engines {
        assert_eq!(engine.version, version, "seed {seed}: {id}");
        assert!(engine.loading.is_none(), "seed {seed}: {id}");
        assert!(!engine.standby, "seed {seed}: {id}");
        let adapters: Vec<_> = engine
            .adapters
            .iter()
            .map(|a| (&*a.name, &*a.version))
            .collect();
        assert_eq!(adapters, [("nails", version)], "seed {seed}: {id}");
    }
}

#[test]
fn a_new_version_is_loaded_one_at_a_time_at_the_stores_rate() {
    for seed in 0..12 {
        let engines = engines(4, |place| place % 2 == 0);
        let text = declaration("2", &engines);
        let mut world = World::new(seed, engines, &text);
        world.faults = Faults {
            lost_orders: 100,
            lost_answers: 200,
            lost_questions: 100,
            ..Faults::default()
        };
        world.leaders[0].term = Some(1);
        for _ in 0..6_000 {
            world.step();
            let now = world.now;
            let serving = world.engines.values().filter(|e| e.serves(now, "formula"));
            assert!(serving.count() >= 3, "seed {seed}");
        }
        assert_converged(&world, "2", seed);
        assert_rate_kept(&world, seed);
    }
}

#[test]
fn a_slow_load_keeps_the_next_replica_serving() {
    let mut engines = engines(4, |place| place % 2 == 0);
    for engine in engines.values_mut() {
        engine.load_ms = 12_000;
    }
    let text = declaration("2", &engines);
    let mut world = World::new(5, engines, &text);
    world.leaders[0].term = Some(1);
    for _ in 0..6_000 {
        world.step();
        let now = world.now;
        let serving = world.engines.values().filter(|e| e.serves(now, "formula"));
        assert!(serving.count() >= 3, "at {now} ms");
    }
    assert_converged(&world, "2", 5);
}

#[test]
fn the_declared_state_is_reached_after_restarts_and_a_second_declaration() {
    for seed in 0..12 {
        let engines = engines(4, |place| place % 2 == 0);
        let first = declaration("2", &engines);
        let second = declaration("3", &engines);
        let mut world = World::new(seed, engines, &first);
        world.faults = Faults {
            lost_orders: 100,
            lost_answers: 200,
            lost_questions: 100,
            restarts_per_million: 300,
        };
        world.leaders[0].term = Some(1);
        world.run(60_000);
        world.declare(2, &second);
        world.run(30_000);
        world.faults = Faults::default();
        world.run(200_000);
        assert_converged(&world, "3", seed);
        assert_rate_kept(&world, seed);
    }
}

#[test]
fn a_last_replica_is_withheld_until_another_one_serves() {
    let one = engines(1, |_| true);
    let text = declaration("2", &engines(2, |_| true));
    let mut world = World::new(1, one, &text);
    world.leaders[0].term = Some(1);
    world.run(30_000);
    assert!(
        world
            .effects
            .iter()
            .all(|e| e.order.action == Action::Fence)
    );
    let withheld = world.records.iter().filter(|r| r.event == Event::Withheld);
    assert_eq!(withheld.count(), 1);
    let second = Engine::new("formula-llm", "formula", true);
    world.engines.insert("e1".into(), second);
    world.run(60_000);
    assert_converged(&world, "2", 1);
}

#[test]
fn the_model_with_the_fewest_replicas_goes_first() {
    for seed in 0..10 {
        let mut all = engines(3, |_| true);
        for place in 0..2 {
            let mut engine = Engine::new("archive-llm", "archive", true);
            engine.model = None;
            all.insert(format!("a{place}").as_str().into(), engine);
        }
        let text = declaration("2", &all);
        let mut world = World::new(seed, all, &text);
        world.leaders[0].term = Some(1);
        world.run(40_000);
        let loads = world
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
fn standby_engines_are_called_in_while_replicas_are_missing() {
    let mut all = engines(5, |_| true);
    for place in [3, 4] {
        all[place].standby = true;
    }
    for engine in all.values_mut() {
        engine.version = "2".to_owned();
    }
    let text = declaration("2", &all);
    let mut world = World::new(1, all, &text);
    world.leaders[0].term = Some(1);
    world.run(60_000);
    let standby = world.engines.values().filter(|engine| engine.standby);
    assert_eq!(standby.count(), 1, "four replicas are declared");
}
