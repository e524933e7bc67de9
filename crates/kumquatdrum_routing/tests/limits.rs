//! Limits over nine hosts: the sum stays within the limit, whatever fails.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatdrum_routing::limits::{
    BINDING, Coordinator, DEMAND_INTERVAL, Demand, Grant, Limit, Limiter,
};
use kumquatdrum_types::{BootId, HostId, Moment, WorkspaceName};

const HOSTS: usize = 9;
const STEP: Duration = Duration::from_millis(20);
const LIMIT: f64 = 900.0;
const CONCURRENCY: u32 = 180;
/// Slack of the rate: what may be saved up in one second.
const SLACK_SECONDS: f64 = 1.0;
const LONGEST: Duration = Duration::from_secs(10);

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
    holder: Limiter,
    steward: Coordinator,
    /// Its own clock's zero, in the world's time; it is set back with each start.
    zero: Moment,
    is_alive: bool,
    running: Vec<Moment>,
}

enum Message {
    Demand(usize, usize, Demand),
    Grant(usize, Grant),
}

struct World {
    now: Moment,
    boots: u64,
    hosts: Vec<Host>,
    /// Hosts with different numbers can't reach each other.
    side: Vec<usize>,
    flying: Vec<(Moment, Message)>,
    delay: Duration,
    /// Requests that each host is offered in a step, and how long they run.
    offered: Vec<f64>,
    lasting: Duration,
    admitted: BTreeMap<u64, u64>,
    most_running: usize,
}

impl World {
    fn new(offered: &[f64]) -> Self {
        let mut world = Self {
            now: Moment::from_millis(1_000_000),
            boots: 0,
            hosts: Vec::new(),
            side: vec![0; HOSTS],
            flying: Vec::new(),
            delay: Duration::from_millis(30),
            offered: offered.to_vec(),
            lasting: Duration::from_millis(100),
            admitted: BTreeMap::new(),
            most_running: 0,
        };
        for index in 0..HOSTS {
            let started = world.start(index);
            world.hosts.push(started);
        }
        world
    }

    fn start(&mut self, index: usize) -> Host {
        self.boots += 1;
        let mut holder = Limiter::new(host(index), HOSTS, Moment::ZERO);
        holder.set_limit(Moment::ZERO, workspace(), limit());
        let mut steward = Coordinator::new(host(index), BootId(self.boots), HOSTS, LONGEST);
        steward.set_limit(workspace(), limit());
        Host {
            holder,
            steward,
            zero: self.now,
            is_alive: true,
            running: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize) {
        self.hosts[index] = self.start(index);
    }

    fn local(&self, index: usize) -> Moment {
        Moment::ZERO + (self.now - self.hosts[index].zero)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.hosts[from].is_alive && self.hosts[to].is_alive && self.side[from] == self.side[to]
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
        self.most_running = self.most_running.max(running);
    }

    fn host_step(&mut self, index: usize) {
        let (now, local) = (self.now, self.local(index));
        let host = &mut self.hosts[index];
        for _ in host.running.extract_if(.., |end| *end <= now) {
            host.holder.finish(local, &workspace(), 0, 0);
        }
        // Each host is at another point of its interval.
        let count = local.micros / STEP.as_micros() as u64;
        let every = (DEMAND_INTERVAL.as_micros() / STEP.as_micros()) as u64;
        let offered = self.offered[index] * STEP.as_secs_f64();
        let before = (count - 1) as f64 * offered;
        let offers = (count as f64 * offered) as u64 - before as u64;
        for _ in 0..offers {
            if host.holder.admit(local, &workspace(), 0).is_ok() {
                host.running.push(now + self.lasting);
                *self.admitted.entry(now.micros).or_default() += 1;
            }
        }
        if (count + index as u64).is_multiple_of(every) {
            self.demand(index, local);
        }
    }

    fn demand(&mut self, index: usize, local: Moment) {
        let live: Vec<HostId> = (0..HOSTS)
            .filter(|&other| self.reaches(index, other))
            .map(host)
            .collect();
        for (steward, demand) in self.hosts[index].holder.build_demands(local, &live) {
            let to = (0..HOSTS)
                .find(|&other| host(other) == steward)
                .expect("known");
            let message = Message::Demand(index, to, demand);
            self.flying.push((self.now + self.delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.flying.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Demand(from, to, demand) if self.reaches(from, to) => {
                    let local = self.local(to);
                    if let Some(grant) = self.hosts[to].steward.handle_demand(local, &demand) {
                        self.flying
                            .push((now + self.delay, Message::Grant(from, grant)));
                    }
                }
                Message::Grant(to, grant) if self.hosts[to].is_alive => {
                    let local = self.local(to);
                    self.hosts[to].holder.apply_grant(local, &grant);
                }
                _ => {}
            }
        }
    }

    /// Admitted requests a second since a moment.
    fn rate_since(&self, since: Moment) -> f64 {
        let admitted = self.admitted.range(since.micros + 1..);
        let count: u64 = admitted.map(|(_, count)| count).sum();
        count as f64 / (self.now - since).as_secs_f64()
    }

    /// No window of one, three or ten seconds holds more than the limit and the slack.
    fn check(&self) {
        for window in [1.0, 3.0, 10.0] {
            let mut sum = 0;
            let mut inside = std::collections::VecDeque::new();
            for (&at, &count) in &self.admitted {
                sum += count;
                inside.push_back((at, count));
                while inside
                    .front()
                    .is_some_and(|(first, _)| (at - first) as f64 > window * 1e6)
                {
                    sum -= inside.pop_front().map_or(0, |(_, count)| count);
                }
                let most = LIMIT * (window + SLACK_SECONDS);
                assert!(
                    sum as f64 <= most,
                    "{sum} in {window} s up to {at}, {most} allowed"
                );
            }
        }
    }
}

#[test]
fn all_hosts_flooded_get_the_whole_limit_and_no_more() {
    let mut world = World::new(&[400.0; HOSTS]);
    world.run(20);
    let since = world.now;
    world.run(20);
    world.check();
    let rate = world.rate_since(since);
    assert!(rate > LIMIT * 0.9, "{rate} of {LIMIT}");
}

#[test]
fn one_hot_host_gets_its_floor_and_most_of_the_pool() {
    let mut offered = [0.0; HOSTS];
    offered[4] = 2_000.0;
    let mut world = World::new(&offered);
    world.run(20);
    let since = world.now;
    world.run(20);
    world.check();
    let rate = world.rate_since(since);
    // The floors of the other eight are not lent.
    assert!(rate > LIMIT * 0.65, "{rate} of {LIMIT}");
}

#[test]
fn a_partition_keeps_the_sum_within_the_limit_and_each_side_serves() {
    for side in [
        [0, 0, 0, 1, 1, 1, 2, 2, 2],
        [0, 0, 0, 0, 0, 0, 1, 1, 1],
        [0, 1, 1, 1, 1, 1, 1, 1, 1],
    ] {
        let mut world = World::new(&[400.0; HOSTS]);
        world.run(15);
        world.side = side.to_vec();
        let cut = world.now;
        world.run(20);
        assert!(
            world.rate_since(cut) > LIMIT * 0.28,
            "{}",
            world.rate_since(cut)
        );
        world.side = vec![0; HOSTS];
        world.run(8);
        let healed = world.now;
        world.run(15);
        world.check();
        assert!(
            world.rate_since(healed) > LIMIT * 0.9,
            "{}",
            world.rate_since(healed)
        );
    }
}

#[test]
fn deaths_and_restarts_of_every_host_in_turn_keep_the_sum_within_the_limit() {
    for delay in [30, 400, 1_500] {
        let mut world = World::new(&[400.0; HOSTS]);
        world.delay = Duration::from_millis(delay);
        world.run(12);
        for index in 0..HOSTS {
            world.hosts[index].is_alive = false;
            world.run(3);
            world.restart(index);
            world.run(2);
        }
        world.check();
    }
}

#[test]
fn flapping_partitions_never_let_two_stewards_grant() {
    let mut world = World::new(&[400.0; HOSTS]);
    world.run(10);
    for round in 0..40 {
        // Two majorities that overlap in one host, and take turns.
        world.side = (0..HOSTS)
            .map(|index| usize::from((index + round) % HOSTS < 4))
            .collect();
        world.run(1 + round as u64 % 3);
    }
    world.check();
}

#[test]
fn concurrency_over_all_hosts_keeps_to_the_limit() {
    let mut world = World::new(&[400.0; HOSTS]);
    world.lasting = Duration::from_secs(4);
    world.run(30);
    assert!(
        world.most_running as u32 <= CONCURRENCY,
        "{}",
        world.most_running
    );
    assert!(
        world.most_running as u32 > CONCURRENCY * 8 / 10,
        "{}",
        world.most_running
    );
    // The load moves to three hosts, which get the others' part only as that comes back.
    world.offered = (0..HOSTS)
        .map(|index| if index < 3 { 400.0 } else { 0.0 })
        .collect();
    world.run(20);
    // These three are cut off; what they admitted still runs when the others get the pool.
    world.side = [1, 1, 1, 0, 0, 0, 0, 0, 0].to_vec();
    world.offered = vec![400.0; HOSTS];
    world.run(20);
    assert!(
        world.most_running as u32 <= CONCURRENCY,
        "{}",
        world.most_running
    );
}

#[test]
fn a_restarted_host_binds_to_no_steward_before_its_old_binding_is_over() {
    let mut holder = Limiter::new(host(0), HOSTS, Moment::ZERO);
    holder.set_limit(Moment::ZERO, workspace(), limit());
    let mut steward = Coordinator::new(host(0), BootId(1), HOSTS, LONGEST);
    steward.set_limit(workspace(), limit());
    let mut now = Moment::ZERO;
    while now < Moment::ZERO + BINDING {
        for (_, demand) in holder.build_demands(now, &[host(0)]) {
            assert_eq!(demand.echo, None);
            let grant = steward.handle_demand(now, &demand).expect("limited");
            holder.apply_grant(now, &grant);
        }
        now = now + DEMAND_INTERVAL;
    }
    let (_, demand) = holder.build_demands(now, &[host(0)]).remove(0);
    assert!(demand.echo.is_some());
}

#[test]
fn a_host_that_hears_nothing_falls_back_to_its_floor() {
    let mut offered = [0.0; HOSTS];
    offered[4] = 2_000.0;
    let mut world = World::new(&offered);
    world.run(15);
    // The answers stop, though the host thinks the others alive.
    world.delay = Duration::from_secs(3_600);
    world.run(3);
    let since = world.now;
    world.run(10);
    let floor = limit().floor(HOSTS).requests;
    let rate = world.rate_since(since);
    assert!((rate - floor).abs() < floor * 0.1, "{rate} against {floor}");
}
