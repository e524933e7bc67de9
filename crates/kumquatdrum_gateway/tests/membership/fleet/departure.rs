//! An endpoint that leaves and a data centre that is evacuated, and the hosts that don't know it.

use kumquatdrum_registry::{Announcement, Update};
use kumquatdrum_types::HostId;

use super::cut::Delivery;
use super::{Event, Fleet, Node, moment};

impl Fleet {
    /// The endpoint leaves at a control host, which tells the hosts that it can connect to.
    pub fn leave(&mut self, at: usize) {
        let registry = &mut self.nodes[at].registry;
        let update = registry.leave(moment(self.at_ms), &endpoint().id, None);
        self.notify(at, update, 0);
    }

    /// A control host tells the hosts that it can connect to of new evacuations.
    pub fn evacuate(&mut self, at: usize, version: u64) {
        self.nodes[at].evacuations = version;
        self.notify(at, None, version);
    }

    fn notify(&mut self, from: usize, update: Option<Update>, evacuations: u64) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if self.call(from, to).arrives() {
                let at = self.at_ms + self.latency();
                self.push(at, Event::Notice(to, update.clone(), evacuations));
            }
        }
    }

    /// Returns the running hosts that can exchange hellos with a host's side of the cut.
    fn in_touch(&self, with: usize) -> impl Iterator<Item = &Node> {
        let nodes = self.nodes.iter().enumerate();
        let in_touch = nodes.filter(move |(number, node)| {
            node.is_up && self.call(*number, with) == Delivery::Answered
        });
        in_touch.map(|(_, node)| node)
    }

    /// Returns the hosts in touch with a host that don't know that the endpoint has left.
    pub fn unaware_of_departure(&self, with: usize) -> Vec<&HostId> {
        let now = moment(self.at_ms);
        let unaware = self.in_touch(with);
        let unaware = unaware.filter(|node| node.registry.departures_since(now, 0).is_empty());
        unaware.map(|node| &node.host.id).collect()
    }

    /// Returns the hosts in touch with a host that know older evacuations than these.
    pub fn unaware_of_evacuations(&self, with: usize, version: u64) -> Vec<&HostId> {
        let unaware = self.in_touch(with);
        let unaware = unaware.filter(|node| node.evacuations < version);
        unaware.map(|node| &node.host.id).collect()
    }
}

pub(super) fn endpoint() -> Announcement {
    Announcement {
        id: "engine".into(),
        started: 1,
        sequence: 1,
        service: "llm".into(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: "dc-0".into(),
        slots: 1,
        leaving: false,
        warming_ms: 0,
    }
}
