//! Distribution of a record while a data centre is cut off, in virtual time.

#[path = "support/cut.rs"]
mod cut;

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_routes::distribution::{self, Queue};
use kumquatdrum_routes::fetch::{ASK_TIMEOUT, Answer, Schedule};
use kumquatdrum_types::{DataCentre, HostId, Moment, hash};

use self::cut::{Cut, Delivery, Open, Place};

const RECORD_BYTES: usize = 20_000;
const OLD: u64 = 1;
const NEW: u64 = 2;
const LATENCY: Duration = Duration::from_millis(5);
const PUSH_TIMEOUT: Duration = Duration::from_millis(400);
const NEAR_HELLO_INTERVAL: Duration = Duration::from_millis(500);
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
const END: Moment = Moment::from_millis(4_000);
const LONGEST_ALLOWED: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
enum Event {
    Push(usize, usize),
    PushEnded(usize, usize),
    Record(usize),
    Announced(usize, usize),
    Hello(usize, usize, Duration),
    Reported(usize, usize),
    Ask(usize, usize),
    Answered(usize, usize, Answer),
    AnswerExpired(usize, usize),
    Wake(usize),
}

/// The hosts of a site, control hosts first, and who sends to whom.
struct Plan {
    control: usize,
    ids: IndexSet<HostId>,
    data_centres: Vec<DataCentre>,
    senders: Vec<HostId>,
    announcers: Vec<HostId>,
    /// The other control hosts by the hash of each with the host.
    others: Vec<Vec<HostId>>,
}

struct Site<'a> {
    plan: &'a Plan,
    cut: Cut,
    /// Whether the control hosts that are cut off have the new record.
    reaches_control: bool,
    events: BTreeMap<(Moment, usize), Event>,
    count: usize,
    queues: Vec<Queue>,
    schedules: Vec<Schedule>,
    received_at: Vec<Option<Moment>>,
    requests: usize,
    copies: usize,
    notices: usize,
}

impl Plan {
    /// Creates a plan whose control hosts are in all but the last data centre.
    fn new(control: usize, hosts: usize, data_centres: usize) -> Self {
        let place = |host: usize| host % (data_centres - usize::from(host < control));
        let ids: IndexSet<HostId> = (0..hosts)
            .map(|host| HostId::new(format!("host-{host}")))
            .collect();
        let data_centres: Vec<DataCentre> = (0..hosts)
            .map(|host| DataCentre::new(format!("dc-{}", place(host))))
            .collect();
        let senders_of = || ids.iter().zip(&data_centres).take(control);
        let sender = |id| distribution::sender(id, senders_of().map(|(id, _)| id)).cloned();
        let announcer = |id| distribution::announcer(id, senders_of()).cloned();
        let others = |host: &HostId| {
            let mut others: Vec<HostId> = ids.iter().take(control).cloned().collect();
            others.retain(|id| id != host);
            others.sort_by_key(|id| hash::pair(host.as_str(), id.as_str()));
            others
        };
        Self {
            control,
            senders: ids.iter().filter_map(sender).collect(),
            announcers: ids.iter().filter_map(announcer).collect(),
            others: ids.iter().map(others).collect(),
            ids,
            data_centres,
        }
    }

    fn index(&self, id: &HostId) -> usize {
        self.ids.get_index_of(id).expect("a host")
    }
}

impl<'a> Site<'a> {
    /// Creates a site of hosts that have the old record. The first data centre is cut off.
    fn new(plan: &'a Plan, cut: Cut, reaches_control: bool) -> Self {
        let schedule = |_| {
            let mut schedule = Schedule::default();
            schedule.receive(OLD);
            schedule
        };
        let hosts = plan.ids.len();
        Self {
            plan,
            cut,
            reaches_control,
            events: BTreeMap::new(),
            count: 0,
            queues: (0..plan.control).map(|_| Queue::default()).collect(),
            schedules: (0..hosts).map(schedule).collect(),
            received_at: vec![None; hosts],
            requests: 0,
            copies: 0,
            notices: 0,
        }
    }

    fn is_cut_off(&self, host: usize) -> bool {
        self.plan.data_centres[host] == self.plan.data_centres[0]
    }

    fn place(&self, host: usize) -> Place {
        Place {
            is_cut_off: self.is_cut_off(host),
            is_control: host < self.plan.control,
        }
    }

    fn call(&self, from: usize, to: usize) -> Delivery {
        self.cut.call(self.place(from), self.place(to))
    }

    fn at(&mut self, moment: Moment, event: Event) {
        self.count += 1;
        self.events.insert((moment, self.count), event);
    }

    fn has_new(&self, host: usize) -> bool {
        self.received_at[host].is_some()
    }

    fn start(&mut self) {
        for host in 0..self.plan.ids.len() {
            self.start_hellos(host);
        }
        for control in 0..self.plan.control {
            if !self.is_cut_off(control) || self.reaches_control {
                self.receive(Moment::ZERO, control);
            }
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > END {
                break;
            }
            self.handle(now, event);
        }
    }

    /// Starts hellos to three control hosts, two of them near by if there are as many. Their phases
    /// are the worst ones: the last hello was sent just before the record.
    fn start_hellos(&mut self, host: usize) {
        let plan = self.plan;
        let contacts = plan.others[host].iter().map(|id| plan.index(id));
        let is_near = |other: &usize| plan.data_centres[*other] == plan.data_centres[host];
        let near: Vec<usize> = contacts.clone().filter(is_near).take(2).collect();
        let remote = contacts.filter(|other| !is_near(other));
        let remote: Vec<usize> = remote.take(3 - near.len()).collect();
        for contact in near {
            let interval = NEAR_HELLO_INTERVAL;
            self.at(
                Moment::ZERO + interval,
                Event::Hello(host, contact, interval),
            );
        }
        for contact in remote {
            let interval = HELLO_INTERVAL;
            self.at(
                Moment::ZERO + interval,
                Event::Hello(host, contact, interval),
            );
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Push(from, to) => self.push(now, from, to),
            Event::PushEnded(from, to) => {
                let id = self.plan.ids[to].clone();
                self.queues[from].finish(&id);
                self.start_pushes(now, from);
            }
            Event::Record(to) => self.receive(now, to),
            Event::Announced(from, to) | Event::Reported(from, to) => self.observe(now, from, to),
            Event::Hello(from, to, interval) => {
                self.at(now + interval, Event::Hello(from, to, interval));
                if self.call(from, to) == Delivery::Answered && self.has_new(to) {
                    self.at(now + LATENCY * 2, Event::Reported(to, from));
                }
            }
            Event::Ask(from, to) => self.ask(now, from, to),
            Event::Answered(from, to, answer) => {
                let id = self.plan.ids[to].clone();
                self.schedules[from].finish(now, &id, answer);
                if answer == Answer::Record(NEW) {
                    let asker = self.plan.ids[from].clone();
                    self.queues[to].finish_answer(&asker, NEW);
                    self.receive(now, from);
                }
                self.wake(now, from);
            }
            Event::AnswerExpired(from, to) => {
                let asker = self.plan.ids[to].clone();
                self.queues[from].finish_answer(&asker, NEW);
            }
            Event::Wake(host) => self.wake(now, host),
        }
    }

    fn receive(&mut self, now: Moment, host: usize) {
        self.schedules[host].receive(NEW);
        if self.has_new(host) {
            return;
        }
        self.received_at[host] = Some(now);
        if host < self.plan.control {
            self.distribute(now, host);
        }
    }

    fn distribute(&mut self, now: Moment, from: usize) {
        let (plan, local) = (self.plan, &self.plan.ids[from]);
        let others = (0..plan.ids.len()).filter(|host| *host != from);
        let assigned = others.clone().filter(|host| plan.senders[*host] == *local);
        let assigned = assigned.map(|host| plan.ids[host].clone());
        let announced = others.filter(|host| plan.announcers[*host] == *local);
        self.queues[from].add(assigned);
        for host in announced {
            self.notices += 1;
            if matches!(
                self.call(from, host),
                Delivery::Answered | Delivery::Unanswered
            ) {
                self.at(now + LATENCY, Event::Announced(from, host));
            }
        }
        self.start_pushes(now, from);
    }

    fn start_pushes(&mut self, now: Moment, from: usize) {
        while let Some(id) = self.queues[from].start_next(RECORD_BYTES) {
            let to = self.plan.index(&id);
            self.at(now, Event::Push(from, to));
        }
    }

    fn push(&mut self, now: Moment, from: usize, to: usize) {
        self.copies += 1;
        let delivery = self.call(from, to);
        if matches!(delivery, Delivery::Answered | Delivery::Unanswered) {
            self.at(now + LATENCY, Event::Record(to));
        }
        let ended = match delivery {
            Delivery::Answered | Delivery::Refused | Delivery::Reset => LATENCY * 2,
            Delivery::Unanswered | Delivery::Lost => PUSH_TIMEOUT,
        };
        self.at(now + ended, Event::PushEnded(from, to));
    }

    fn observe(&mut self, now: Moment, from: usize, host: usize) {
        let id = self.plan.ids[from].clone();
        self.schedules[host].observe(now, &id, NEW);
        self.wake(now, host);
    }

    /// Sends the requests of a host that are due, and wakes it when the next one is.
    fn wake(&mut self, now: Moment, host: usize) {
        let plan = self.plan;
        let control = &plan.others[host];
        let sender = distribution::sender(&plan.ids[host], control);
        while let Some(id) = self.schedules[host].next(now, sender, control) {
            self.requests += 1;
            self.at(now, Event::Ask(host, plan.index(&id)));
        }
        if let Some(due) = self.schedules[host].next_due() {
            self.at(due.max(now + Duration::from_millis(1)), Event::Wake(host));
        }
    }

    fn ask(&mut self, now: Moment, from: usize, to: usize) {
        let delivery = self.call(from, to);
        let asker = self.plan.ids[from].clone();
        let mut answer = Answer::Missing;
        if delivery.arrives() && self.has_new(to) {
            let is_started = self.queues[to].start_answer(&asker, NEW, RECORD_BYTES);
            answer = if is_started {
                Answer::Record(NEW)
            } else {
                Answer::Busy
            };
            if is_started {
                self.at(now + PUSH_TIMEOUT, Event::AnswerExpired(to, from));
            }
            self.copies += usize::from(answer == Answer::Record(NEW));
        }
        let (after, answer) = match delivery {
            Delivery::Answered => (LATENCY * 2, answer),
            Delivery::Refused | Delivery::Reset => (LATENCY * 2, Answer::Missing),
            Delivery::Unanswered | Delivery::Lost => (ASK_TIMEOUT, Answer::Missing),
        };
        self.at(now + after, Event::Answered(from, to, answer));
    }

    /// Returns how long a host outside the cut held the old revision.
    fn longest(&self) -> Duration {
        let in_touch = (0..self.plan.ids.len()).filter(|host| !self.is_cut_off(*host));
        let times = in_touch.map(|host| self.received_at[host].unwrap_or(Moment::NEVER));
        times.max().expect("a host outside the cut") - Moment::ZERO
    }
}

/// Guards against hosts that count a queued record as delivered, or ask one host again and again.
#[test]
fn hosts_in_touch_get_a_record_within_a_second_of_any_cut() {
    for (control, hosts, data_centres) in [(3, 6, 3), (6, 60, 4), (25, 1_009, 6)] {
        let (mut longest, mut copies, mut requests) = (Duration::ZERO, 0, 0);
        let plan = Plan::new(control, hosts, data_centres);
        let cuts = Cut::all().into_iter();
        for (cut, reaches_control) in cuts.flat_map(|cut| [(cut, true), (cut, false)]) {
            let mut site = Site::new(&plan, cut, reaches_control);
            site.start();
            assert!(
                site.longest() <= LONGEST_ALLOWED,
                "{hosts} hosts, {cut:?}, {reaches_control}: {:?}",
                site.longest()
            );
            assert!(
                site.notices <= hosts,
                "{} notices to {hosts} hosts",
                site.notices
            );
            // Where all connections live on, the cut changes nothing.
            if cut.open == Open::All && reaches_control {
                let sent = (site.copies, site.requests);
                assert_eq!(sent, (hosts, 0), "{hosts} hosts without a cut");
            }
            longest = longest.max(site.longest());
            copies = copies.max(site.copies);
            requests = requests.max(site.requests);
        }
        println!("{hosts} hosts: {longest:?}, {copies} copies, {requests} requests at most");
        // A copy that isn't confirmed is sent again, but not by each control host.
        assert!(copies <= 3 * hosts, "{copies} copies to {hosts} hosts");
    }
}
