//! Each phase of a request meets each planned disruption, and the request gets an answer or a
//! refusal, as [`answer_soak`](crate::answer_soak) judges it.

use std::ops::Range;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::answer_soak::{Call, Log, Setup, summarize};
use crate::caller::{Caller, End, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS};
use crate::endpoint::{Behaviour, Endpoint};
use crate::evacuation::order;

/// The host whose requests meet the disruptions.
const HOST: usize = 3;
/// The time that requests have to reach their phase.
const APPROACH: Duration = Duration::from_millis(700);
/// The time from a disruption to the rest of a request, longer than the lowered idle timeout.
const REST: Duration = Duration::from_millis(900);
/// The pause after each part of the rest.
const PART_PAUSE: Duration = Duration::from_millis(20);
const LOWERED_IDLE_MS: u64 = 500;
const BODY_BYTES: usize = 40_000;
const PROMPT: &str = "Kumquatdrum-Token-Count: 154000,100\r\n";
/// The prompts that fill the engine's memory.
const FILLING: usize = 2;

/// How far a request has come when it meets a disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    HeadPart,
    Head,
    BodyPart,
    /// Whole at the moment of the disruption.
    Whole,
    WaitingForEngine,
    SentToEndpoint,
    ResponseHead,
    Events,
}

impl Phase {
    /// Returns whether an endpoint has the request.
    fn has_begun(self) -> bool {
        matches!(
            self,
            Self::SentToEndpoint | Self::ResponseHead | Self::Events
        )
    }
}

/// A phase, and requests that come to be in it. Paths end as [`Behaviour::ByPath`] reads them.
const PHASES: [(Phase, &[&str]); 8] = [
    (Phase::HeadPart, &["/safe/0-0-0-0", "/model-once/0-2-50-0"]),
    (
        Phase::Head,
        &["/unsafe/0-0-0-0", "/stream/0-2-50-0", "/none/0-0-0-0"],
    ),
    (
        Phase::BodyPart,
        &["/unsafe/0-0-0-0", "/once/0-2-50-0", "/none/0-0-0-0"],
    ),
    (
        Phase::Whole,
        &["/unsafe/100-0-0-0", "/once/100-2-50-0", "/none/0-0-0-0"],
    ),
    (
        Phase::WaitingForEngine,
        &["/model/0-2-50-0", "/model-once/0-2-50-0"],
    ),
    (
        Phase::SentToEndpoint,
        &["/safe/1500-0-0-0", "/unsafe/1500-0-0-0"],
    ),
    (
        Phase::ResponseHead,
        &["/stream/0-1-0-1500", "/once/0-1-0-1500"],
    ),
    (
        Phase::Events,
        &["/stream/0-8-200-0", "/once/0-8-200-0", "/once/0-2-100-2400"],
    ),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    ChangeOther,
    ChangeEngine,
    DropRoutes,
    ReplaceService,
    LowerLimits,
    Reload,
    Stop,
    Leave,
    Evacuation,
}

/// The disruptions that come at once, for each play.
const PLAYS: [&[Disruption]; 13] = [
    &[Disruption::ChangeOther],
    &[Disruption::ChangeEngine],
    &[Disruption::DropRoutes],
    &[Disruption::ReplaceService],
    &[Disruption::LowerLimits],
    &[Disruption::Reload],
    &[Disruption::Leave],
    &[Disruption::Evacuation],
    &[Disruption::Stop],
    &[Disruption::Stop, Disruption::DropRoutes],
    &[Disruption::LowerLimits, Disruption::ReplaceService],
    &[Disruption::Stop, Disruption::Leave],
    &[Disruption::Reload, Disruption::Evacuation],
];

/// A cluster with endpoints whose ids are new in each play.
struct Bench {
    cluster: Cluster,
    endpoints: Vec<Endpoint>,
    version: u64,
    stops: Vec<(usize, Instant)>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_or_a_reload_in_any_phase_costs_no_answer() {
    check_plays(235, 0..6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leave_or_an_evacuation_in_any_phase_costs_no_answer() {
    check_plays(236, 6..8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_in_any_phase_costs_no_answer() {
    check_plays(237, 8..9).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_disruptions_at_once_in_any_phase_cost_no_answer() {
    check_plays(238, 9..13).await;
}

/// Plays disruptions one after the other on a cluster, each against all phases at once.
async fn check_plays(subnet: u16, plays: Range<usize>) {
    let mut bench = Bench {
        cluster: Cluster::start(subnet),
        endpoints: Vec::new(),
        version: 0,
        stops: Vec::new(),
    };
    let mut failures = Vec::new();
    for disruptions in &PLAYS[plays] {
        failures.extend(bench.play(disruptions).await);
    }
    assert!(failures.is_empty(), "{}", summarize(&failures));
}

impl Bench {
    /// Brings requests into all phases, disrupts them, and returns the failures.
    async fn play(&mut self, disruptions: &[Disruption]) -> Vec<String> {
        self.prepare().await;
        let version = self.version;
        // Engines are full for longer than a stop lasts.
        let filling_path = if disruptions.contains(&Disruption::Stop) {
            "/model/0-12-1000-0"
        } else {
            "/model/0-6-400-0"
        };
        let mut filling = JoinSet::new();
        for number in 0..FILLING {
            let attempt = format!("at-{version}-filling-{number}");
            let address = self.cluster.callers(HOST + 1);
            filling.spawn(run(address, Phase::WaitingForEngine, filling_path, attempt));
            sleep(APPROACH / 7).await;
        }
        let mut calls = JoinSet::new();
        for (phase, paths) in PHASES {
            for (number, path) in paths.iter().enumerate() {
                let attempt = format!("at-{version}-{phase:?}-{number}");
                let call = run(self.cluster.callers(HOST), phase, path, attempt);
                calls.spawn(async move { (phase, call.await) });
            }
        }
        sleep(APPROACH).await;
        let disrupted_at = Instant::now();
        for disruption in disruptions {
            self.start(*disruption).await;
        }
        let calls = calls.join_all().await;
        filling.shutdown().await;
        for disruption in disruptions {
            self.end(*disruption).await;
        }
        let log = Log::read(&self.cluster);
        let runs = |attempt: &str| -> usize {
            let runs = |endpoint: &Endpoint| endpoint.record.attempts.lock().get(attempt).copied();
            self.endpoints.iter().filter_map(runs).sum()
        };
        let mut failures = Vec::new();
        for (phase, call) in &calls {
            self.check_phase(*phase, &call.attempt, disrupted_at);
            let verdict = call.check(&log, runs(&call.attempt), &self.stops);
            let is_served =
                matches!(&call.end, Some(End::Answered(answer)) if answer.status == 200);
            match verdict {
                Err(reason) => failures.push(format!("{disruptions:?}: {reason}")),
                Ok(verdict) if phase.has_begun() && !is_served => failures.push(format!(
                    "{disruptions:?}: begun and not served\n  {verdict}: {} {}",
                    call.attempt, call.path
                )),
                Ok(_) => {}
            }
        }
        println!(
            "{disruptions:?}: {} of {} failed",
            failures.len(),
            calls.len()
        );
        failures
    }

    /// Checks that a request was in its phase when the disruptions came.
    fn check_phase(&self, phase: Phase, attempt: &str, disrupted_at: Instant) {
        let has_arrived = self.endpoints.iter().any(|endpoint| {
            let arrivals = endpoint.record.arrivals.lock();
            let mut early = arrivals.iter().filter(|(at, _)| *at < disrupted_at);
            early.any(|(_, arrived)| arrived == attempt)
        });
        assert_eq!(
            has_arrived,
            phase.has_begun(),
            "{attempt} was not in its phase"
        );
    }

    /// Puts the first setup in force again, with new endpoints.
    async fn prepare(&mut self) {
        self.version += 10;
        let cluster = &self.cluster;
        cluster.apply(&Setup::new(self.version).encode()).await;
        for (number, service) in ["plain", "plain", "other", "models"].iter().enumerate() {
            let id = format!("i-{}-{number}", self.version);
            let endpoint = Endpoint::start(&id, Behaviour::ByPath).await;
            cluster.announce(&endpoint, service, "ready", 1).await;
            for host in CONTROL_HOSTS..HOSTS {
                cluster.wait_until_ready(host, &endpoint).await;
            }
            self.endpoints.push(endpoint);
        }
        for host in CONTROL_HOSTS..HOSTS {
            cluster.wait_for_revision(host, self.version).await;
        }
    }

    async fn start(&mut self, disruption: Disruption) {
        let cluster = &self.cluster;
        let setup = Setup::new(self.version + 1);
        let apply = async |setup: Setup| {
            cluster.apply(&setup.encode()).await;
        };
        match disruption {
            Disruption::ChangeOther => {
                let extras = [true; 3];
                apply(Setup { extras, ..setup }).await;
            }
            Disruption::ChangeEngine => apply(Setup { slots: 8, ..setup }).await,
            Disruption::DropRoutes => {
                let has_models = false;
                apply(Setup {
                    has_models,
                    ..setup
                })
                .await;
            }
            Disruption::ReplaceService => {
                let service = "other";
                apply(Setup {
                    version: self.version + 2,
                    service,
                    ..setup
                })
                .await;
            }
            Disruption::LowerLimits => {
                let (idle_ms, body_bytes) = (LOWERED_IDLE_MS, BODY_BYTES / 2);
                apply(Setup {
                    idle_ms,
                    body_bytes,
                    ..setup
                })
                .await;
            }
            Disruption::Reload => cluster.signal(HOST, "-HUP"),
            Disruption::Stop => {
                self.stops.push((HOST, Instant::now()));
                cluster.signal(HOST, "-TERM");
            }
            Disruption::Leave => {
                let path = format!("/-/Instances.Leave/i-{}-0", self.version);
                let left = cluster
                    .call_control(0, &path, Some(&json!({"born": 1})))
                    .await;
                assert!(left.is_some_and(|answer| answer.status().is_success()));
            }
            Disruption::Evacuation => order(cluster, &[0, 1, 2], "Start/zone-0").await,
        }
    }

    /// Undoes what the next play does not.
    async fn end(&mut self, disruption: Disruption) {
        match disruption {
            Disruption::Stop => {
                assert_eq!(self.cluster.wait_for_exit(HOST).await, Some(0));
                self.cluster.start_host(HOST, false);
            }
            Disruption::Evacuation => order(&self.cluster, &[0, 1, 2], "End/zone-0").await,
            _ => {}
        }
        for endpoint in &self.endpoints {
            let path = format!("/-/Instances.Leave/{}", endpoint.id);
            self.cluster
                .call_control(0, &path, Some(&json!({"born": 1})))
                .await;
        }
    }
}

/// Brings a request into a phase on a connection that has served another one, goes on after the
/// disruption, and waits for its end.
async fn run(
    address: std::net::SocketAddr,
    phase: Phase,
    path: &'static str,
    attempt: String,
) -> Call {
    let mut caller = Caller::connect(address).await.expect("a host");
    let first = format!("{attempt}-first");
    let end = caller.call(&Request::new("/safe/0-0-0-0", &first)).await;
    assert_eq!(end.status(), 200, "{end:?}");
    let request = Request {
        body_bytes: BODY_BYTES,
        headers: PROMPT,
        deadline_ms: match phase {
            Phase::WaitingForEngine => 16_000,
            _ => 8_000,
        },
        ..Request::new(path, &attempt)
    };
    let head = request.head().into_bytes();
    let bytes = [head.as_slice(), &request.parts().concat()].concat();
    let sent_before = match phase {
        Phase::HeadPart => head.len() / 2,
        Phase::Head => head.len(),
        Phase::BodyPart => head.len() + BODY_BYTES / 2,
        Phase::Whole => 0,
        _ => bytes.len(),
    };
    let rest = if phase == Phase::Whole {
        Duration::ZERO
    } else {
        REST
    };
    let mut sent = caller.write(&bytes[..sent_before]).await;
    if sent_before < bytes.len() {
        sleep(APPROACH + rest).await;
        // A reset that the first half meets is seen by the second.
        let middle = usize::midpoint(sent_before, bytes.len());
        for part in [&bytes[sent_before..middle], &bytes[middle..]] {
            if sent.is_ok() {
                sent = caller.write(part).await;
                sleep(PART_PAUSE).await;
            }
        }
    }
    let sent_at = Instant::now();
    let end = caller.receive().await;
    Call {
        is_whole: sent.is_ok(),
        limit: Duration::from_millis(request.deadline_ms),
        before: String::new(),
        idle: Duration::ZERO,
        host: HOST,
        path: path.to_owned(),
        way: format!("{phase:?}"),
        sent_at,
        ended_at: Instant::now(),
        end: Some(end),
        is_behind_close: false,
        attempt,
    }
}
