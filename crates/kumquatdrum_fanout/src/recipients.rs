//! Selection of the hosts that receive a host's events.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, HostId, hash};

/// The number of relays in a data centre. More relays spread the load, and the loss of one is
/// noticed less; fewer fill their batches better.
const RELAYS_PER_DATA_CENTRE: usize = 8;

/// The maximum number of hosts that one relay sends to with [`Recipients::select_groups`].
const MAX_GROUP_HOSTS: usize = 32;

/// Another host as a potential recipient.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host's id.
    pub id: HostId,
    /// The data centre that the host runs in.
    pub data_centre: DataCentre,
    /// Whether the host accepts callers, is live and is not stopping.
    pub can_relay: bool,
}

/// The relays that forward events within another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The relay for first transmissions.
    pub primary: HostId,
    /// The relay for every other retransmission, which covers an undetected loss of the primary.
    pub secondary: HostId,
    /// All recipients in the data centre, including the relays.
    pub hosts: Vec<HostId>,
}

/// The recipients of one host's events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Hosts that receive events directly.
    pub direct: Vec<HostId>,
    /// The relays of each data centre whose hosts receive events indirectly.
    pub relays: Vec<Relay>,
}

impl Recipients {
    /// Selects the recipients of the host `local` among `others`. Hosts of its own data centre are
    /// direct recipients, and so are those of a data centre that has no more hosts than relays.
    ///
    /// ```
    /// use kumquatdrum_fanout::{Peer, Recipients};
    ///
    /// let peer = |number: u32, data_centre: &str| Peer {
    ///     id: format!("entry-{number}").as_str().into(),
    ///     data_centre: data_centre.into(),
    ///     can_relay: true,
    /// };
    /// let near = (1..60).map(|number| peer(number, "tartu"));
    /// let far = (60..120).map(|number| peer(number, "riga"));
    /// let others: Vec<Peer> = near.chain(far).collect();
    /// let recipients = Recipients::select(&peer(0, "tartu"), &others);
    /// assert_eq!(recipients.direct.len(), 59);
    /// assert_eq!(recipients.relays.len(), 1);
    /// ```
    pub fn select<'a>(local: &Peer, others: impl IntoIterator<Item = &'a Peer>) -> Self {
        let mut recipients = Self::default();
        for (data_centre, peers) in by_data_centre(others) {
            if *data_centre == local.data_centre {
                recipients.add_direct(&peers);
            } else {
                recipients.add_relay(&local.id, data_centre, &peers);
            }
        }
        recipients
    }

    /// Selects the recipients such that the host sends to few hosts, and each relay to few hosts as well:
    /// the hosts of a data centre are split into groups with a relay each, also those of the local one
    /// if they are more than a group. For messages that each host acknowledges.
    ///
    /// ```
    /// use kumquatdrum_fanout::{Peer, Recipients};
    ///
    /// let peer = |number: u32| Peer {
    ///     id: format!("entry-{number}").as_str().into(),
    ///     data_centre: "tartu".into(),
    ///     can_relay: true,
    /// };
    /// let others: Vec<Peer> = (1..200).map(peer).collect();
    /// let recipients = Recipients::select_groups(&peer(0), &others);
    /// assert_eq!(recipients.relays.len(), 7);
    /// assert!(recipients.relays.iter().all(|relay| relay.hosts.len() <= 32));
    /// ```
    pub fn select_groups<'a>(local: &Peer, others: impl IntoIterator<Item = &'a Peer>) -> Self {
        let mut recipients = Self::default();
        for (data_centre, mut peers) in by_data_centre(others) {
            let is_local = *data_centre == local.data_centre;
            let groups = peers.len().div_ceil(MAX_GROUP_HOSTS);
            if is_local && groups == 1 {
                recipients.add_direct(&peers);
                continue;
            }
            // Senders split the hosts differently, so that none relays for all of them.
            peers.sort_by_cached_key(|peer| hash::pair(local.id.as_str(), peer.id.as_str()));
            for group in peers.chunks(peers.len().div_ceil(groups)) {
                recipients.add_relay(&local.id, data_centre, group);
            }
        }
        recipients
    }

    fn add_direct(&mut self, peers: &[&Peer]) {
        let hosts = peers.iter().map(|peer| peer.id.clone());
        self.direct.extend(hosts);
    }

    /// Adds hosts of a data centre with a relay, or as direct recipients if they are few.
    fn add_relay(&mut self, from: &HostId, data_centre: &DataCentre, peers: &[&Peer]) {
        match select_relay(from, data_centre, peers) {
            Some(relay) => self.relays.push(relay),
            None => self.add_direct(peers),
        }
    }
}

fn by_data_centre<'a>(
    peers: impl IntoIterator<Item = &'a Peer>,
) -> IndexMap<&'a DataCentre, Vec<&'a Peer>> {
    let mut by_data_centre: IndexMap<&DataCentre, Vec<&Peer>> = IndexMap::new();
    for peer in peers {
        let peers = by_data_centre.entry(&peer.data_centre).or_default();
        peers.push(peer);
    }
    by_data_centre
}

/// Selects the relays for a host's events in a data centre; `None` if it has too few hosts.
/// Rendezvous hashing makes hosts with the same view agree on the relays, and the loss of a relay
/// reassigns only its senders.
fn select_relay(from: &HostId, data_centre: &DataCentre, peers: &[&Peer]) -> Option<Relay> {
    if peers.len() <= RELAYS_PER_DATA_CENTRE {
        return None;
    }
    let relaying = peers.iter().filter(|peer| peer.can_relay);
    let mut candidates: Vec<&HostId> = relaying.map(|peer| &peer.id).collect();
    if candidates.is_empty() {
        // No host seems to be live, perhaps because of a partition, which may heal at any time.
        candidates = peers.iter().map(|peer| &peer.id).collect();
    }
    let by_weight = |name: &str, candidates: &mut Vec<&HostId>| {
        candidates.sort_by_cached_key(|id| (hash::pair(name, id.as_str()), *id));
    };
    by_weight(data_centre.as_str(), &mut candidates);
    candidates.truncate(RELAYS_PER_DATA_CENTRE);
    by_weight(from.as_str(), &mut candidates);
    let first = candidates.first().copied()?;
    let second = candidates.get(1).copied().unwrap_or(first);
    Some(Relay {
        primary: first.clone(),
        secondary: second.clone(),
        hosts: peers.iter().map(|peer| peer.id.clone()).collect(),
    })
}
