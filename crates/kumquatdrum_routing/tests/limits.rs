//! Workspace limits over nine hosts: the sum stays within the limit despite failures.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatdrum_routing::limits::{
    BINDING_DURATION, Coordinator, DEMAND_INTERVAL, Demand, Grant, Limit, Limiter,
};
use kumquatdrum_types::{BootId, HostId, Moment, WorkspaceName};

const HOSTS: usize = 9;
const STEP: Duration = Duration::from_millis(20);
const LIMIT: f64 = 900.0;
const CONCURRENCY: u32 = 180;
/// The burst that hosts may accumulate, in seconds of the rate.
const SLACK_SECONDS: f64 = 1.0;
const LONGEST_REQUEST: Duration = Duration::from_secs(10);

fn host(index: usize) -> HostId {
    format!("host-{index}").as_str().into()
}

fn workspace() -> WorkspaceName {
    "salon".into()
}

fn limit() -> Limit {
    Limit {
        requests_per_second: Some(LIMIT),
        tokens_per_second: None,
        concurrency: Some(CONCURRENCY),
    }
}

struct Host {
    limiter: Limiter,
    coordinator: Coordinator,
    /// When the host started; the zero of its local clock.
    started_at: Moment,
    is_alive: bool,
    running: Vec<Moment>,
}

enum Message {
    /// The sending host, the receiving host and the demand.
    Demand(usize, usize, Demand),
    /// The receiving host and the grant.
    Grant(usize, Grant),
}

struct Cluster {
    now: Moment,
    boots: u64,
    hosts: Vec<Host>,
    /// The partition of each host; hosts in different partitions cannot reach each other.
    partition: Vec<usize>,
    in_transit: Vec<(Moment, Message)>,
    delay: Duration,
    /// Requests per second offered to each host.
    offered: Vec<f64>,
    request_duration: Duration,
    admitted: BTreeMap<u64, u64>,
    max_running: usize,
}

impl Cluster {
    fn new(offered: &[f64]) -> Self {
        let mut cluster = Self {
            now: Moment::from_millis(1_000_000),
            boots: 0,
            hosts: Vec::new(),
            partition: vec![0; HOSTS],
            in_transit: Vec::new(),
            delay: Duration::from_millis(30),
            offered: offered.to_vec(),
            request_duration: Duration::from_millis(100),
            admitted: BTreeMap::new(),
            max_running: 0,
        };
        for index in 0..HOSTS {
            let started = cluster.start(index);
            cluster.hosts.push(started);
        }
        cluster
    }

    fn start(&mut self, index: usize) -> Host {
        self.boots += 1;
        let mut limiter = Limiter::new(host(index), HOSTS, Moment::ZERO);
        limiter.set_limit(Moment::ZERO, workspace(), limit());
        let mut coordinator =
            Coordinator::new(host(index), BootId(self.boots), HOSTS, LONGEST_REQUEST);
        coordinator.set_limit(workspace(), limit());
        Host {
            limiter,
            coordinator,
            started_at: self.now,
            is_alive: true,
            running: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize) {
        self.hosts[index] = self.start(index);
    }

    fn local_time(&self, index: usize) -> Moment {
        Moment::ZERO + (self.now - self.hosts[index].started_at)
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.hosts[from].is_alive
            && self.hosts[to].is_alive
            && self.partition[from] == self.partition[to]
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        for index in 0..HOSTS {
            if self.hosts[index].is_alive {
                self.host_step(index);
            }
        }
        let running = self.hosts.iter().map(|host| host.running.len()).sum();
        self.max_running = self.max_running.max(running);
    }

    fn host_step(&mut self, index: usize) {
        let (now, local_time) = (self.now, self.local_time(index));
        let host = &mut self.hosts[index];
        for _ in host.running.extract_if(.., |end| *end <= now) {
            host.limiter.finish(local_time, &workspace(), 0, 0);
        }
        let step = local_time.micros / STEP.as_micros() as u64;
        let steps_per_demand = (DEMAND_INTERVAL.as_micros() / STEP.as_micros()) as u64;
        let offered = self.offered[index] * STEP.as_secs_f64();
        let offered_before = (step - 1) as f64 * offered;
        let requests = (step as f64 * offered) as u64 - offered_before as u64;
        for _ in 0..requests {
            if host.limiter.admit(local_time, &workspace(), 0).is_ok() {
                host.running.push(now + self.request_duration);
                *self.admitted.entry(now.micros).or_default() += 1;
            }
        }
        // Hosts send their demands at different times.
        if (step + index as u64).is_multiple_of(steps_per_demand) {
            self.send_demands(index, local_time);
        }
    }

    fn send_demands(&mut self, index: usize, local_time: Moment) {
        let live: Vec<HostId> = (0..HOSTS)
            .filter(|&other| self.can_reach(index, other))
            .map(host)
            .collect();
        for (coordinator, demand) in self.hosts[index].limiter.build_demands(local_time, &live) {
            let to = (0..HOSTS)
                .find(|&other| host(other) == coordinator)
                .expect("known");
            let message = Message::Demand(index, to, demand);
            self.in_transit.push((self.now + self.delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, message) in due {
            match message {
                Message::Demand(from, to, demand) if self.can_reach(from, to) => {
                    let local_time = self.local_time(to);
                    if let Some(grant) = self.hosts[to]
                        .coordinator
                        .handle_demand(local_time, &demand)
                    {
                        self.in_transit
                            .push((now + self.delay, Message::Grant(from, grant)));
                    }
                }
                Message::Grant(to, grant) if self.hosts[to].is_alive => {
                    let local_time = self.local_time(to);
                    self.hosts[to].limiter.apply_grant(local_time, &grant);
                }
                _ => {}
            }
        }
    }

    /// Returns the requests per second admitted since `since`.
    fn rate_since(&self, since: Moment) -> f64 {
        let admitted = self.admitted.range(since.micros + 1..);
        let count: u64 = admitted.map(|(_, count)| count).sum();
        count as f64 / (self.now - since).as_secs_f64()
    }

    /// Checks that no window of one, three or ten seconds exceeds the limit plus the burst.
    fn assert_within_limit(&self) {
        for window in [1.0, 3.0, 10.0] {
            let mut sum = 0;
            let mut in_window = std::collections::VecDeque::new();
            for (&at, &count) in &self.admitted {
                sum += count;
                in_window.push_back((at, count));
                while in_window
                    .front()
                    .is_some_and(|(first, _)| (at - first) as f64 > window * 1e6)
                {
                    sum -= in_window.pop_front().map_or(0, |(_, count)| count);
                }
                let max_count = LIMIT * (window + SLACK_SECONDS);
                assert!(
                    sum as f64 <= max_count,
                    "{sum} requests in {window} s until {at} us, {max_count} allowed"
                );
            }
        }
    }
}

#[test]
fn flooded_hosts_together_admit_the_full_limit_and_no_more() {
    let mut cluster = Cluster::new(&[400.0; HOSTS]);
    cluster.run(20);
    let since = cluster.now;
    cluster.run(20);
    cluster.assert_within_limit();
    let rate = cluster.rate_since(since);
    assert!(rate > LIMIT * 0.9, "{rate} of {LIMIT} requests per second");
}

#[test]
fn a_single_loaded_host_gets_its_floor_and_most_of_the_pool() {
    let mut offered = [0.0; HOSTS];
    offered[4] = 2_000.0;
    let mut cluster = Cluster::new(&offered);
    cluster.run(20);
    let since = cluster.now;
    cluster.run(20);
    cluster.assert_within_limit();
    let rate = cluster.rate_since(since);
    // The floors of the other eight hosts stay unused.
    assert!(rate > LIMIT * 0.65, "{rate} of {LIMIT} requests per second");
}

#[test]
fn a_partition_keeps_the_sum_within_the_limit_while_requests_are_admitted() {
    for partition in [
        [0, 0, 0, 1, 1, 1, 2, 2, 2],
        [0, 0, 0, 0, 0, 0, 1, 1, 1],
        [0, 1, 1, 1, 1, 1, 1, 1, 1],
    ] {
        let mut cluster = Cluster::new(&[400.0; HOSTS]);
        cluster.run(15);
        cluster.partition = partition.to_vec();
        let partitioned_at = cluster.now;
        cluster.run(20);
        assert!(
            cluster.rate_since(partitioned_at) > LIMIT * 0.28,
            "{}",
            cluster.rate_since(partitioned_at)
        );
        cluster.partition = vec![0; HOSTS];
        cluster.run(8);
        let healed_at = cluster.now;
        cluster.run(15);
        cluster.assert_within_limit();
        assert!(
            cluster.rate_since(healed_at) > LIMIT * 0.9,
            "{}",
            cluster.rate_since(healed_at)
        );
    }
}

#[test]
fn crashes_and_restarts_of_each_host_keep_the_sum_within_the_limit() {
    for delay in [30, 400, 1_500] {
        let mut cluster = Cluster::new(&[400.0; HOSTS]);
        cluster.delay = Duration::from_millis(delay);
        cluster.run(12);
        for index in 0..HOSTS {
            cluster.hosts[index].is_alive = false;
            cluster.run(3);
            cluster.restart(index);
            cluster.run(2);
        }
        cluster.assert_within_limit();
    }
}

#[test]
fn flapping_partitions_keep_the_sum_within_the_limit() {
    let mut cluster = Cluster::new(&[400.0; HOSTS]);
    cluster.run(10);
    for round in 0..40 {
        // Splits the hosts into five and four, shifted by one host each round.
        cluster.partition = (0..HOSTS)
            .map(|index| usize::from((index + round) % HOSTS < 4))
            .collect();
        cluster.run(1 + round as u64 % 3);
    }
    cluster.assert_within_limit();
}

#[test]
fn concurrency_over_all_hosts_stays_within_the_limit() {
    let mut cluster = Cluster::new(&[400.0; HOSTS]);
    cluster.request_duration = Duration::from_secs(4);
    cluster.run(30);
    assert!(
        cluster.max_running as u32 <= CONCURRENCY,
        "{}",
        cluster.max_running
    );
    assert!(
        cluster.max_running as u32 > CONCURRENCY * 8 / 10,
        "{}",
        cluster.max_running
    );
    // The load moves to three hosts, which get the other hosts' shares as they are returned.
    cluster.offered = (0..HOSTS)
        .map(|index| if index < 3 { 400.0 } else { 0.0 })
        .collect();
    cluster.run(20);
    // The three hosts are partitioned; their requests still run when others get the pool.
    cluster.partition = [1, 1, 1, 0, 0, 0, 0, 0, 0].to_vec();
    cluster.offered = vec![400.0; HOSTS];
    cluster.run(20);
    assert!(
        cluster.max_running as u32 <= CONCURRENCY,
        "{}",
        cluster.max_running
    );
}

#[test]
fn a_restarted_host_binds_to_no_coordinator_before_its_old_binding_expires() {
    let mut limiter = Limiter::new(host(0), HOSTS, Moment::ZERO);
    limiter.set_limit(Moment::ZERO, workspace(), limit());
    let mut coordinator = Coordinator::new(host(0), BootId(1), HOSTS, LONGEST_REQUEST);
    coordinator.set_limit(workspace(), limit());
    let mut now = Moment::ZERO;
    while now < Moment::ZERO + BINDING_DURATION {
        for (_, demand) in limiter.build_demands(now, &[host(0)]) {
            assert_eq!(demand.echo, None);
            let grant = coordinator.handle_demand(now, &demand).expect("limited");
            limiter.apply_grant(now, &grant);
        }
        now = now + DEMAND_INTERVAL;
    }
    let (_, demand) = limiter.build_demands(now, &[host(0)]).remove(0);
    assert!(demand.echo.is_some());
}

#[test]
fn a_host_without_grants_falls_back_to_its_floor() {
    let mut offered = [0.0; HOSTS];
    offered[4] = 2_000.0;
    let mut cluster = Cluster::new(&offered);
    cluster.run(15);
    // Grants no longer arrive, while the host considers the others alive.
    cluster.delay = Duration::from_secs(3_600);
    cluster.run(3);
    let since = cluster.now;
    cluster.run(10);
    let floor = limit().floor(HOSTS).requests;
    let rate = cluster.rate_since(since);
    assert!(
        (rate - floor).abs() < floor * 0.1,
        "{rate} requests per second with a floor of {floor}"
    );
}
