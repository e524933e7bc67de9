//! Randomised cuts in one direction of pairs of hosts, with restarts, changes and leaving endpoints.
//!
//! `SOAK_SEEDS=0..50 cargo test --package kumquatdrum --test gateway cut_soak` runs more seeds.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use reqwest::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::endpoint_soak::{DEFAULT_SEEDS, seeds};
use crate::leaving::check_drained;
use crate::links::Links;

/// Rounds of a seed, each with its own cuts.
const ROUNDS: u64 = 3;
/// The time in which an operator or endpoint that asks one control host after the other is answered.
const ACCEPT_LIMIT: Duration = Duration::from_secs(12);
/// The time in which an accepted setup is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time in which a host that was restarted is ready, or knows a new endpoint.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(40);

struct Soak {
    seed: u64,
    random: Pcg32,
    cluster: Cluster,
    links: Links,
}

/// Guards against news that a host can only send to those that it can connect to.
#[tokio::test]
async fn cut_soak() {
    for seed in seeds(DEFAULT_SEEDS) {
        let (cluster, links) = Cluster::with_links(145 + (seed % 5) as u16).await;
        let random = Pcg32::seed_from_u64(seed);
        let mut soak = Soak {
            seed,
            random,
            cluster,
            links,
        };
        soak.run().await;
    }
}

impl Soak {
    fn draw(&mut self, below: usize) -> usize {
        self.random.next_u32() as usize % below
    }

    async fn run(&mut self) {
        self.cluster.apply(&config(1)).await;
        let staying = Endpoint::start("i-staying", Behaviour::CompleteBody).await;
        self.cluster.announce(&staying, "plain", "ready", 1).await;
        for host in CONTROL_HOSTS..HOSTS {
            self.cluster.wait_until_ready(host, &staying).await;
        }
        for round in 0..ROUNDS {
            self.play_round(round).await;
        }
    }

    async fn play_round(&mut self, round: u64) {
        self.cut_pairs();
        if self.draw(2) == 0 {
            self.restart().await;
        }
        let revision = round + 2;
        self.apply(revision).await;
        let leaving = format!("i-{}-{round}", self.seed);
        let leaving = Endpoint::start(&leaving, Behaviour::CompleteBody).await;
        let announcement = json!({
            "service": "plain", "address": leaving.address.to_string(), "zone": "zone-0",
            "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1,
        });
        let path = format!("/-/Instances.Heartbeat/{}", leaving.id);
        self.call(&path, &announcement).await;
        self.wait("an endpoint is known", CATCH_UP_LIMIT, async |soak| {
            (CONTROL_HOSTS..HOSTS).all(|host| soak.cluster.knows(host, &leaving))
        })
        .await;
        let path = format!("/-/Instances.Leave/{}", leaving.id);
        self.call(&path, &json!({"born": 1})).await;
        let context = format!("seed {}", self.seed);
        check_drained(&self.cluster, &leaving, Instant::now(), &context).await;
        for host in 0..HOSTS {
            self.links.join(host).await;
        }
    }

    /// Cuts one direction of about half of the pairs of hosts. Each host still reaches a control host: one
    /// that reaches none isn't in touch.
    fn cut_pairs(&mut self) {
        let mut reached = [CONTROL_HOSTS; HOSTS];
        for one in 0..HOSTS {
            for other in 0..one {
                let (from, to) = match self.draw(4) {
                    0 => (one, other),
                    1 => (other, one),
                    _ => continue,
                };
                if from < CONTROL_HOSTS || to >= CONTROL_HOSTS || reached[from] > 1 {
                    reached[from] -= usize::from(to < CONTROL_HOSTS);
                    self.links.cut(from, [to]);
                }
            }
        }
    }

    async fn restart(&mut self) {
        let host = self.draw(HOSTS);
        self.cluster.kill(host);
        self.cluster.start_host(host, false);
        if host >= CONTROL_HOSTS {
            let what = "a restarted host is ready";
            self.wait(what, CATCH_UP_LIMIT, async |soak| {
                soak.cluster.is_ready(host).await
            })
            .await;
        }
    }

    /// Applies a setup and checks that it is in force on the hosts that take callers.
    async fn apply(&mut self, revision: u64) {
        self.call("/-/Config.Replace", &config(revision)).await;
        self.wait("a setup is in force", APPLY_LIMIT, async |soak| {
            for host in CONTROL_HOSTS..HOSTS {
                let known = soak.cluster.metric(host, "kumquatdrum_gateway_revision");
                if known.await != revision {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Sends a call to one control host after the other until one acknowledges it.
    async fn call(&mut self, path: &str, body: &serde_json::Value) {
        let first = self.draw(CONTROL_HOSTS);
        let asked = Instant::now();
        for attempt in 0.. {
            let control = (first + attempt) % CONTROL_HOSTS;
            let answer = self.cluster.call_control(control, path, Some(body)).await;
            if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            self.check(asked.elapsed() < ACCEPT_LIMIT, path);
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait(&self, what: &str, limit: Duration, is_done: impl AsyncFn(&Self) -> bool) {
        let started = Instant::now();
        while !is_done(self).await {
            self.check(started.elapsed() < limit, what);
            sleep(POLL_INTERVAL).await;
        }
    }

    fn check(&self, holds: bool, what: &str) {
        let logs = || self.cluster.read_logs();
        assert!(holds, "seed {}: {what}\n{}", self.seed, logs());
    }
}
