//! Delivery of events in a simulated cluster of hundreds of hosts.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_fanout::{Batch, Peer, Recipients, Relay, Urgency};
use kumquatdrum_types::{HostId, Moment};

const DATA_CENTRES: [&str; 5] = ["raatuse", "ulikooli", "ringtee", "annelinn", "karlova"];
const START: Moment = Moment::from_millis(1_000);
const MAX_BYTES: usize = 1_200;
const EVENT_BYTES: usize = 45;

fn peers(hosts_per_data_centre: usize) -> Vec<Peer> {
    let of = |data_centre: &'static str| {
        (1..=hosts_per_data_centre).map(move |number| Peer {
            id: HostId::new(format!("{data_centre}-{number}")),
            data_centre: data_centre.into(),
            can_relay: true,
        })
    };
    DATA_CENTRES.into_iter().flat_map(of).collect()
}

fn recipients(local: &Peer, all: &[Peer]) -> Recipients {
    Recipients::select(local, all.iter().filter(|other| other.id != local.id))
}

/// A simulated network of hosts that exchange event datagrams.
struct Network {
    peers: Vec<Peer>,
    lost: IndexSet<HostId>,
    batches: IndexMap<HostId, Batch<u32>>,
    /// Received events by host.
    received: IndexMap<HostId, Vec<u32>>,
    /// The number of datagrams sent by each host.
    sent: IndexMap<HostId, usize>,
    /// The number of datagrams sent between data centres.
    remote_sent: usize,
}

impl Network {
    fn new(hosts_per_data_centre: usize) -> Self {
        Self {
            peers: peers(hosts_per_data_centre),
            lost: IndexSet::new(),
            batches: IndexMap::new(),
            received: IndexMap::new(),
            sent: IndexMap::new(),
            remote_sent: 0,
        }
    }

    fn deliver(&mut self, from: &HostId, to: &HostId, events: &[u32]) -> bool {
        *self.sent.entry(from.clone()).or_default() += 1;
        let peer = |id: &HostId| self.peers.iter().find(|peer| peer.id == *id);
        let data_centre = |id| peer(id).map(|peer| &peer.data_centre);
        self.remote_sent += usize::from(data_centre(from) != data_centre(to));
        if self.lost.contains(to) || self.lost.contains(from) {
            return false;
        }
        self.received.entry(to.clone()).or_default().extend(events);
        true
    }

    fn send(&mut self, now: Moment, from: usize, event: u32, urgency: Urgency, is_repeated: bool) {
        let local = self.peers[from].clone();
        let recipients = recipients(&local, &self.peers);
        for to in &recipients.direct {
            self.deliver(&local.id, to, &[event]);
        }
        for Relay {
            primary, secondary, ..
        } in &recipients.relays
        {
            let relay = if is_repeated { secondary } else { primary };
            if !self.deliver(&local.id, relay, &[event]) {
                continue;
            }
            let batch = self.batches.entry(relay.clone());
            let batch = batch.or_insert_with(|| Batch::new(MAX_BYTES));
            let full = batch.add(now, [event], EVENT_BYTES, urgency);
            self.relay_events(relay, full);
        }
    }

    fn relay_events(&mut self, relay: &HostId, events: Option<Vec<u32>>) {
        let Some(events) = events else {
            return;
        };
        assert!(events.len() * EVENT_BYTES <= MAX_BYTES);
        let peer = self.peers.iter().find(|peer| peer.id == *relay);
        let peer = peer.expect("a known relay").clone();
        let local_hosts = self.peers.iter();
        let local_hosts = local_hosts.filter(|other| other.data_centre == peer.data_centre);
        let local_hosts: Vec<HostId> = local_hosts.map(|other| other.id.clone()).collect();
        for to in local_hosts.iter().filter(|to| **to != peer.id) {
            self.deliver(&peer.id, to, &events);
        }
    }

    fn tick(&mut self, now: Moment) {
        let relays: Vec<HostId> = self.batches.keys().cloned().collect();
        for relay in relays {
            let due = self.batches[&relay].take_due(now);
            self.relay_events(&relay, due);
        }
    }
}

#[test]
fn every_live_host_receives_each_event_once() {
    for hosts_per_data_centre in [1, 3, 8, 9, 59] {
        let mut network = Network::new(hosts_per_data_centre);
        let events = 40;
        for event in 0..events {
            let from = event as usize * 7 % network.peers.len();
            let urgency = match event % 2 {
                0 => Urgency::Urgent,
                _ => Urgency::Usual,
            };
            network.send(START, from, event, urgency, false);
        }
        network.tick(START + Duration::from_secs(1));
        for (number, peer) in network.peers.iter().enumerate() {
            let mut received = network.received.get(&peer.id).cloned().unwrap_or_default();
            received.sort_unstable();
            let is_own = |event: &u32| *event as usize * 7 % network.peers.len() == number;
            let expected: Vec<u32> = (0..events).filter(|event| !is_own(event)).collect();
            assert_eq!(
                received,
                expected,
                "{} with {hosts_per_data_centre} hosts per data centre",
                peer.id.as_str()
            );
        }
    }
}

#[test]
fn datagrams_per_event_do_not_grow_with_hosts_of_other_data_centres() {
    let all = peers(59);
    for local in &all {
        let recipients = recipients(local, &all);
        assert_eq!(recipients.direct.len(), 58);
        assert_eq!(recipients.relays.len(), 4);
    }
}

#[test]
fn senders_are_spread_evenly_over_relays() {
    let all = peers(59);
    let mut senders: IndexMap<HostId, usize> = IndexMap::new();
    for local in &all {
        for relay in recipients(local, &all).relays {
            assert_ne!(relay.primary, relay.secondary);
            *senders.entry(relay.primary).or_default() += 1;
        }
    }
    // There are 8 relays in each of 5 data centres, and 236 senders to each data centre.
    assert_eq!(senders.len(), 40);
    let max_senders = senders.values().max().copied().unwrap_or_default();
    assert!(
        max_senders <= 2 * 236 / 8,
        "{max_senders} senders at one relay"
    );
}

#[test]
fn losing_a_relay_moves_only_its_senders_and_those_of_its_replacement() {
    let mut all = peers(59);
    let before: Vec<Recipients> = all.iter().map(|local| recipients(local, &all)).collect();
    let lost_relay = before[0].relays[0].primary.clone();
    let peer = all.iter_mut().find(|peer| peer.id == lost_relay);
    peer.expect("the relay").can_relay = false;
    let mut known_relays: IndexSet<&HostId> = IndexSet::new();
    for relay in before.iter().flat_map(|recipients| &recipients.relays) {
        known_relays.extend([&relay.primary, &relay.secondary]);
    }
    for (local, before) in all.iter().zip(&before) {
        for (old, new) in before.relays.iter().zip(&recipients(local, &all).relays) {
            // The replacement relay takes a share of all senders; other senders keep their relay.
            let is_new = !known_relays.contains(&new.primary);
            let expected = if old.primary == lost_relay {
                &old.secondary
            } else {
                &old.primary
            };
            assert!(is_new || new.primary == *expected);
        }
    }
}

#[test]
fn a_silent_data_centre_still_receives_events() {
    let mut all = peers(20);
    let silent = |peer: &&mut Peer| peer.data_centre.as_str() == "karlova";
    all.iter_mut()
        .filter(silent)
        .for_each(|peer| peer.can_relay = false);
    assert_eq!(recipients(&all[0], &all).relays.len(), 4);
}

/// A retransmission takes the secondary relay, which covers an undetected loss of the primary.
#[test]
fn a_retransmission_bypasses_a_lost_relay() {
    let mut network = Network::new(59);
    let relays = recipients(&network.peers[0], &network.peers).relays;
    network.lost.insert(relays[2].primary.clone());
    network.send(START, 0, 1, Urgency::Usual, false);
    network.send(START, 0, 1, Urgency::Usual, true);
    network.tick(START + Duration::from_secs(1));
    let others = network.peers.iter().skip(1);
    let mut others = others.filter(|peer| !network.lost.contains(&peer.id));
    assert!(others.all(|peer| network.received.contains_key(&peer.id)));
}

/// Compared with a full mesh, relays cut the traffic between data centres to less than a third and
/// the total to less than half.
#[test]
fn a_relay_batches_the_events_of_short_prompts() {
    let mut network = Network::new(59);
    let mut events = 0;
    for millis in 0..2_000_u64 {
        let now = START + Duration::from_millis(millis);
        // 300 prompts per second, each with a start, a first token and an end.
        if millis % 10 == 0 {
            for _ in 0..9 {
                events += 1;
                let from = events as usize * 31 % network.peers.len();
                network.send(now, from, events, Urgency::Usual, false);
            }
        }
        network.tick(now);
    }
    let sent: usize = network.sent.values().sum();
    let mesh_sent = events as usize * (network.peers.len() - 1);
    assert!(
        sent * 2 < mesh_sent,
        "{sent} datagrams instead of {mesh_sent}"
    );
    let mesh_remote_sent = events as usize * 4 * 59;
    let remote_sent = network.remote_sent;
    assert!(
        remote_sent * 3 < mesh_remote_sent,
        "{remote_sent} datagrams between data centres instead of {mesh_remote_sent}"
    );
}

#[test]
fn a_batch_keeps_order_and_due_time() {
    arbtest::arbtest(|u| {
        let mut batch = Batch::new(200);
        let mut waiting: VecDeque<(u32, Moment)> = VecDeque::new();
        let mut now = START;
        for number in 0..u.int_in_range(0..=60)? {
            now = now + Duration::from_millis(u.int_in_range(0..=40)?);
            let (size, is_urgent) = (u.int_in_range(1..=90)?, u.arbitrary::<bool>()?);
            let (urgency, delay) = if is_urgent {
                (Urgency::Urgent, 4)
            } else {
                (Urgency::Usual, 20)
            };
            let due = batch.take_due(now);
            let full = batch.add(now, [number], size, urgency);
            waiting.push_back((number, now + Duration::from_millis(delay)));
            for event in due.into_iter().chain(full).flatten() {
                let (expected, _) = waiting.pop_front().expect("a waiting event");
                assert_eq!(event, expected);
            }
            let earliest = waiting.iter().map(|(_, due)| *due).min();
            assert_eq!(batch.due(), earliest);
        }
        Ok(())
    })
    .seed(0x1_0000_0258);
}

/// Guards against relays whose work grows with the hosts of their data centre: with 200 of them, a batch
/// for each event was more than a relay's link takes.
#[test]
fn a_relay_sends_a_bounded_number_of_datagrams_at_any_size() {
    for hosts in [17, 60, 200, 400] {
        let mut batch = Batch::new(MAX_BYTES);
        batch.set_recipients(hosts);
        let (mut datagrams, mut longest, mut first) = (0, Duration::ZERO, None);
        // An event each 5 ms, one in five of them urgent.
        for ms in 0..10_000 {
            let now = START + Duration::from_millis(ms);
            let urgency = if ms % 25 == 0 {
                Urgency::Urgent
            } else {
                Urgency::Usual
            };
            let full = match ms % 5 {
                0 => batch.add(now, [ms], EVENT_BYTES, urgency),
                _ => None,
            };
            first = first.or((ms % 5 == 0).then_some(now));
            if full.or(batch.take_due(now)).is_some() {
                datagrams += hosts;
                longest = longest.max(first.take().map_or(Duration::ZERO, |first| now - first));
            }
        }
        println!("{hosts} hosts: {} datagrams/s, {longest:?}", datagrams / 10);
        assert!(datagrams <= 10 * 5_000 + 2 * hosts, "{hosts}: {datagrams}");
        // What urgent events wait for below 60 hosts, and 80 ms at 400.
        let limit = Duration::from_millis(25).max(Duration::from_millis(hosts as u64) / 5 * 2);
        assert!(longest <= limit, "{hosts}: {longest:?}");
    }
}

/// Guards against a host that confirms a message with each of hundreds of hosts itself, and against a
/// relay that does so for its data centre: both took longer than endpoints wait for an acknowledgement.
#[test]
fn confirmed_messages_reach_each_host_by_a_tree_of_bounded_degree() {
    for hosts_per_data_centre in [3, 20, 32, 33, 200, 400] {
        let all = peers(hosts_per_data_centre);
        let local = &all[0];
        let others = all.iter().filter(|other| other.id != local.id);
        let recipients = Recipients::select_groups(local, others);
        let mut reached = recipients.direct.clone();
        for relay in &recipients.relays {
            assert!(relay.hosts.len() <= 32, "{}", relay.hosts.len());
            assert!(relay.hosts.contains(&relay.primary) && relay.hosts.contains(&relay.secondary));
            reached.extend(relay.hosts.iter().cloned());
        }
        let unique: IndexSet<&HostId> = reached.iter().collect();
        assert_eq!(
            (unique.len(), reached.len()),
            (all.len() - 1, all.len() - 1)
        );
        let sent = recipients.direct.len() + recipients.relays.len();
        println!("{} hosts: {sent} sent", all.len());
        assert!(
            sent <= 31 + 5 * hosts_per_data_centre.div_ceil(32).max(8),
            "{sent}"
        );
    }
}
