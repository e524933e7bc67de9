//! The queue: load shedding, deadlines, priorities, fair shares and freedom from starvation.

mod support;

use std::time::Duration;

use kumquatdrum_routing::limits::{Limit, Limiter};
use kumquatdrum_routing::{Progress, Usage};
use kumquatdrum_types::{Moment, Refusal};
use support::{STEP_SECONDS, Simulation, build_request, dispatches, refusals, router, seconds};

#[test]
fn a_request_without_endpoints_is_refused_at_once() {
    let mut router = router("a", 0, 1);
    let outputs = router.submit(Moment::ZERO, build_request("r", 1_000, seconds(10.0)));
    assert_eq!(refusals(&outputs)[0].reason, Refusal::NoEndpoint);
    assert!(refusals(&outputs)[0].retry_after.is_some());
}

#[test]
fn a_prompt_larger_than_all_engines_is_refused_without_retry() {
    let mut router = router("a", 2, 1);
    let outputs = router.submit(Moment::ZERO, build_request("r", 900_000, seconds(600.0)));
    assert_eq!(refusals(&outputs)[0].reason, Refusal::PromptTooLong);
    assert_eq!(refusals(&outputs)[0].retry_after, None);
}

#[test]
fn a_prompt_larger_than_one_engine_is_dispatched_to_several_in_name_order() {
    let mut router = router("a", 6, 1);
    let outputs = router.submit(Moment::ZERO, build_request("r", 1_000_000, seconds(600.0)));
    let endpoints = &dispatches(&outputs)[0].endpoints;
    assert_eq!(endpoints.len(), 3);
    assert!(endpoints.is_sorted());
}

#[test]
fn the_only_engine_with_enough_memory_is_found() {
    for large in 0..12 {
        let mut router = router("a", 0, 1);
        for index in 0..12 {
            let mut announced = support::announcement(index, 1, 1, None);
            if let kumquatdrum_types::endpoint::Kind::Engine(engine) = &mut announced.kind {
                engine.memory_tokens = if index == large { 400_000 } else { 50_000 };
            }
            let _ = router.announce(Moment::ZERO, &announced);
        }
        let outputs = router.submit(Moment::ZERO, build_request("r", 300_000, seconds(600.0)));
        assert_eq!(
            dispatches(&outputs)[0].endpoints,
            [support::endpoint(large)]
        );
    }
}

#[test]
fn a_long_prompt_avoids_excluded_endpoints() {
    for excluded in 0..2 {
        let mut router = router("a", 2, 1);
        let mut request = build_request("r", 300_000, seconds(600.0));
        request.excluded = vec![support::endpoint(excluded)];
        let outputs = router.submit(Moment::ZERO, request);
        assert_eq!(
            dispatches(&outputs)[0].endpoints,
            [support::endpoint(1 - excluded)]
        );
    }
}

#[test]
fn a_spanning_prompt_gets_distinct_engines_from_a_large_pool() {
    for seed in 0..50 {
        let mut router = router("a", 90, seed);
        let outputs = router.submit(Moment::ZERO, build_request("r", 1_000_000, seconds(600.0)));
        let mut endpoints = dispatches(&outputs)[0].endpoints.clone();
        endpoints.dedup();
        assert_eq!(endpoints.len(), 3, "seed {seed}");
    }
}

#[test]
fn a_request_after_its_deadline_is_refused_at_once() {
    let mut router = router("a", 2, 1);
    let outputs = router.submit(seconds(5.0), build_request("r", 1_000, seconds(4.0)));
    assert_eq!(
        refusals(&outputs)[0].reason,
        Refusal::DeadlineBeforeDispatch
    );
}

#[test]
fn waiting_requests_are_refused_when_they_can_no_longer_start_in_time() {
    let mut router = router("a", 1, 1);
    let mut waiting = Vec::new();
    for number in 0..20 {
        let outputs = router.submit(
            Moment::ZERO,
            build_request(format!("r{number}"), 100_000, seconds(30.0)),
        );
        if outputs.is_empty() {
            waiting.push(number);
        }
    }
    assert!(!waiting.is_empty());
    // The shortest expected prefill of such a prompt is two and a half seconds.
    let wake = router.next_tick();
    assert!(wake < seconds(30.0));
    let refused = router.tick(seconds(28.5));
    assert_eq!(refusals(&refused).len(), waiting.len());
    assert_eq!(router.queued(), 0);
}

#[test]
fn overload_is_refused_on_arrival_with_a_retry_time() {
    let mut simulation = Simulation::new(2);
    let mut refusals_at = Vec::new();
    for tick in 0..1_000 {
        let now = seconds(f64::from(tick) * STEP_SECONDS);
        for index in 0..2 {
            let request = build_request(
                format!("{tick}-{index}"),
                8_000,
                now + Duration::from_secs(5),
            );
            let before = simulation.refused.len();
            let outputs = simulation.router.submit(now, request);
            let refused = refusals(&outputs);
            refusals_at.extend(refused.iter().map(|refuse| (now, refuse.retry_after)));
            assert!(refused.iter().all(|refuse| refuse.retry_after.is_some()));
            assert_eq!(before, simulation.refused.len());
        }
        // Each engine finishes a request every 0.4 s.
        if tick % 20 == 0 {
            let oldest = 1 + u64::try_from(tick).expect("small") / 10;
            for attempt in oldest..oldest + 2 {
                let _ = simulation.router.record_progress(
                    now,
                    attempt,
                    Progress::Finished(Usage::default()),
                );
            }
        }
    }
    // At twenty times the capacity, most requests are refused on arrival and few remain queued.
    assert!(refusals_at.len() > 1_000, "{} refusals", refusals_at.len());
    assert!(
        simulation.router.queued() < 200,
        "{} queued",
        simulation.router.queued()
    );
}

#[test]
fn higher_levels_are_dispatched_first_and_lower_ones_eventually() {
    let mut router = router("a", 1, 1);
    // Saturate the engine.
    for number in 0..4 {
        let _ = router.submit(
            Moment::ZERO,
            build_request(format!("w{number}"), 200_000, seconds(900.0)),
        );
    }
    let queued_before = router.queued();
    let mut low = build_request("low", 200_000, seconds(900.0));
    low.priority.level = 0;
    let mut high = build_request("high", 200_000, seconds(900.0));
    high.priority.level = 3;
    let _ = router.submit(seconds(0.1), low);
    let _ = router.submit(seconds(0.2), high);
    assert_eq!(router.queued(), queued_before + 2);
    let mut order = Vec::new();
    let mut now = seconds(0.3);
    let mut attempts = vec![1];
    while order.len() < queued_before + 2 && now < seconds(300.0) {
        now = now + Duration::from_millis(500);
        let mut outputs = Vec::new();
        for attempt in std::mem::take(&mut attempts) {
            outputs.extend(router.record_progress(
                now,
                attempt,
                Progress::Finished(Usage::default()),
            ));
        }
        outputs.extend(router.tick(now));
        for dispatch in dispatches(&outputs) {
            order.push(dispatch.request.as_str().to_owned());
            attempts.push(dispatch.attempt);
        }
    }
    assert_eq!(order.first().map(String::as_str), Some("high"));
    assert!(order.contains(&"low".to_owned()));
}

#[test]
fn a_constant_load_of_a_higher_level_does_not_starve_a_lower_one() {
    let mut router = router("a", 1, 1);
    let mut now = Moment::ZERO;
    let mut attempts = Vec::new();
    let mut low_dispatched_at = None;
    let mut low = build_request("low", 100_000, seconds(600.0));
    low.priority.level = 0;
    for round in 0..200 {
        now = seconds(f64::from(round) * 0.5);
        let mut high = build_request(format!("high{round}"), 100_000, seconds(600.0));
        high.priority.level = 5;
        let mut outputs = router.submit(now, high);
        if round == 4 {
            outputs.extend(router.submit(now, low.clone()));
        }
        if round % 2 == 1 {
            for attempt in std::mem::take(&mut attempts) {
                let ended = Progress::Finished(Usage::default());
                outputs.extend(router.record_progress(now, attempt, ended));
            }
        }
        for dispatch in dispatches(&outputs) {
            attempts.push(dispatch.attempt);
            if dispatch.request.as_str() == "low" {
                low_dispatched_at = Some(now);
            }
        }
    }
    assert!(low_dispatched_at.is_some(), "not dispatched by {now:?}");
    // Five levels of two seconds each, plus the requests queued before.
    assert!(
        low_dispatched_at < Some(seconds(30.0)),
        "{low_dispatched_at:?}"
    );
}

/// Returns the 95th percentile of a light workspace's time to first token while a busy one with a
/// token limit offers this many requests per step.
fn light_workspace_p95_seconds(busy_requests_per_step: u32, busy_tokens_per_second: f64) -> f64 {
    let mut simulation = Simulation::new(8);
    let mut limiter = Limiter::new("a".into(), 1, Moment::ZERO);
    let limit = Limit {
        tokens_per_second: Some(busy_tokens_per_second / kumquatdrum_routing::limits::FLOOR_SHARE),
        ..Limit::default()
    };
    limiter.set_limit(Moment::ZERO, "busy".into(), limit);
    let mut submitted_at = std::collections::HashMap::new();
    for tick in 0..1_500 {
        let now = seconds(f64::from(tick) * STEP_SECONDS);
        for index in 0..busy_requests_per_step {
            let mut request = build_request(
                format!("b{tick}-{index}"),
                1_500,
                now + Duration::from_secs(5),
            );
            request.workspace = "busy".into();
            if limiter.admit(now, &request.workspace, 1_600).is_ok() {
                simulation.submit(now, request);
            }
        }
        if tick % 10 == 0 {
            let request =
                build_request(format!("light{tick}"), 2_000, now + Duration::from_secs(5));
            submitted_at.insert(format!("light{tick}"), now);
            simulation.submit(now, request);
        }
        simulation.step(now);
        if tick % 25 == 0 {
            simulation.report(now);
        }
    }
    let light = simulation
        .first_tokens
        .iter()
        .filter(|(name, _)| name.starts_with("light"));
    let mut times: Vec<f64> = light
        .map(|(name, at)| (*at - submitted_at[name]).as_secs_f64())
        .collect();
    assert!(
        times.len() > 140,
        "{} of 150 light requests ran",
        times.len()
    );
    times.sort_by(f64::total_cmp);
    times[times.len() * 95 / 100]
}

#[test]
fn a_limited_flood_delays_another_workspace_by_at_most_a_fifth() {
    // The limit is 40% of the engines' capacity; the flood offers more than twice all of it.
    let baseline = light_workspace_p95_seconds(1, 60_000.0);
    let flooded = light_workspace_p95_seconds(10, 60_000.0);
    assert!(
        flooded <= baseline * 1.2,
        "{flooded} s with a flood, {baseline} s without"
    );
}

#[test]
fn an_unlimited_flood_does_not_starve_another_workspace() {
    let baseline = light_workspace_p95_seconds(1, 60_000.0);
    let flooded = light_workspace_p95_seconds(10, f64::INFINITY);
    // Without a limit, requests wait for the engines' backlog, but not for the whole queue.
    assert!(
        flooded <= baseline * 3.0,
        "{flooded} s with a flood, {baseline} s without"
    );
}

#[test]
fn waiting_workspaces_share_by_weight() {
    let mut router = router("a", 1, 1);
    for number in 0..30 {
        for (workspace, weight) in [("one", 1), ("three", 3)] {
            let name = format!("{workspace}-{number}");
            let mut request = build_request(name, 100_000, seconds(10_000.0));
            request.workspace = workspace.into();
            request.weight = weight;
            let _ = router.submit(Moment::ZERO, request);
        }
    }
    let mut order = Vec::new();
    let mut attempt = 1;
    for round in 1..25 {
        let now = seconds(f64::from(round) * 20.0);
        let outputs = router.record_progress(now, attempt, Progress::Finished(Usage::default()));
        for dispatch in dispatches(&outputs) {
            order.push(dispatch.request.as_str().to_owned());
            attempt = dispatch.attempt;
        }
    }
    let first = &order[..20.min(order.len())];
    let heavier = first
        .iter()
        .filter(|name| name.starts_with("three"))
        .count();
    assert!((13..=17).contains(&heavier), "{heavier} of {}", first.len());
}

#[test]
fn the_longest_prompt_starts_within_its_deadline_under_a_flood_of_short_ones() {
    for workspaces in [1, 10] {
        longest_prompt_starts_with_workspaces(workspaces);
    }
}

fn longest_prompt_starts_with_workspaces(workspaces: u32) {
    let mut simulation = Simulation::new(4);
    let long = build_request("long", 390_000, seconds(120.0));
    for tick in 0..6_000 {
        let now = seconds(f64::from(tick) * STEP_SECONDS);
        // More than the four engines can process.
        let mut request = build_request(format!("s{tick}"), 2_000, now + Duration::from_secs(8));
        request.workspace = format!("w{}", tick % workspaces).as_str().into();
        simulation.submit(now, request);
        if tick == 500 {
            simulation.submit(now, long.clone());
        }
        simulation.step(now);
        if tick % 25 == 0 {
            simulation.report(now);
        }
    }
    let found = simulation
        .first_tokens
        .iter()
        .find(|(name, _)| name == "long");
    let at = found.map(|(_, at)| *at);
    assert!(at.is_some(), "no first token in two minutes");
    assert!(at < Some(seconds(120.0)), "{at:?}");
    // Short requests were served throughout.
    assert!(
        simulation.first_tokens.len() > 3_000,
        "{}",
        simulation.first_tokens.len()
    );
}

#[test]
fn overtaking_a_long_prompt_does_not_raise_the_estimated_rate() {
    let mut router = Simulation::new(1).router;
    let _ = router.submit(Moment::ZERO, build_request("long", 300_000, seconds(600.0)));
    let before = router
        .pool()
        .rates
        .prefill(kumquatdrum_routing::Size::Short);
    for number in 0..100 {
        let now = seconds(f64::from(number) * 0.5);
        let outputs = router.submit(
            now,
            build_request(format!("s{number}"), 2_000, seconds(600.0)),
        );
        for dispatch in dispatches(&outputs) {
            let first = now + Duration::from_millis(100);
            let _ = router.record_progress(first, dispatch.attempt, Progress::FirstToken);
        }
    }
    let after = router
        .pool()
        .rates
        .prefill(kumquatdrum_routing::Size::Short);
    assert!(
        after < before * 1.1,
        "{after} tokens per second, {before} before"
    );
}

#[test]
fn a_queue_without_departures_gives_no_wait_estimate() {
    let mut router = router("a", 1, 1);
    for number in 0..6 {
        let now = seconds(f64::from(number) * 2.0);
        let outputs = router.submit(
            now,
            build_request(format!("r{number}"), 300_000, seconds(600.0)),
        );
        assert!(refusals(&outputs).is_empty(), "{outputs:?}");
    }
    assert!(router.queued() > 0);
}
