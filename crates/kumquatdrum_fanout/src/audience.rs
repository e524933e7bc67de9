//! Whom a host tells of its events.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, HostId, hash};

/// Hosts of a data centre that relay. More of them share the work and are missed less when one is
/// lost; fewer fill their bundles better.
const RELAYS: usize = 8;

/// A host, as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The host.
    pub id: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// It takes callers, was heard lately and is not about to stop.
    pub may_relay: bool,
}

/// The hosts that pass an event on within another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The usual one.
    pub primary: HostId,
    /// The one that gets every other repetition, so that the loss of the first is made good before it
    /// is noticed.
    pub secondary: HostId,
    /// All that are to be told in the data centre, the relays among them.
    pub hosts: Vec<HostId>,
}

/// Whom one host tells of its events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// Hosts that are told by it.
    pub direct: Vec<HostId>,
    /// For each data centre whose hosts are not, who passes events on there.
    pub relays: Vec<Relay>,
}

impl Audience {
    /// The audience of the host `local` among `others`. Hosts of its own data centre are told directly,
    /// and so are those of a data centre in which all would be relays.
    ///
    /// ```
    /// use kumquatdrum_fanout::{Audience, Place};
    ///
    /// let place = |number: u32, data_centre: &str| Place {
    ///     id: format!("entry-{number}").as_str().into(),
    ///     data_centre: data_centre.into(),
    ///     may_relay: true,
    /// };
    /// let near = (1..60).map(|number| place(number, "tartu"));
    /// let far = (60..120).map(|number| place(number, "riga"));
    /// let others: Vec<Place> = near.chain(far).collect();
    /// let audience = Audience::of(&place(0, "tartu"), &others);
    /// assert_eq!(audience.direct.len(), 59);
    /// assert_eq!(audience.relays.len(), 1);
    /// ```
    pub fn of<'a>(local: &Place, others: impl IntoIterator<Item = &'a Place>) -> Self {
        let mut audience = Self::default();
        let mut distant: IndexMap<&DataCentre, Vec<&Place>> = IndexMap::new();
        for other in others {
            if other.data_centre == local.data_centre {
                audience.direct.push(other.id.clone());
            } else {
                distant.entry(&other.data_centre).or_default().push(other);
            }
        }
        for (data_centre, places) in distant {
            match relay(&local.id, data_centre, &places) {
                Some(relay) => audience.relays.push(relay),
                None => audience
                    .direct
                    .extend(places.into_iter().map(|place| place.id.clone())),
            }
        }
        audience
    }
}

/// Who passes the events of a host on in a data centre; nobody where it has few hosts. By rendezvous
/// hashing, so that hosts which know the same live ones agree on who relays, and the loss of one
/// moves its senders alone.
fn relay(from: &HostId, data_centre: &DataCentre, places: &[&Place]) -> Option<Relay> {
    if places.len() <= RELAYS {
        return None;
    }
    let relaying = places.iter().filter(|place| place.may_relay);
    let mut pool: Vec<&HostId> = relaying.map(|place| &place.id).collect();
    if pool.is_empty() {
        // A data centre that was cut off may hear again at any moment.
        pool = places.iter().map(|place| &place.id).collect();
    }
    let by_weight = |name: &str, pool: &mut Vec<&HostId>| {
        pool.sort_by_cached_key(|id| (hash::pair(name, id.as_str()), *id));
    };
    by_weight(data_centre.as_str(), &mut pool);
    pool.truncate(RELAYS);
    by_weight(from.as_str(), &mut pool);
    let first = pool.first().copied()?;
    let second = pool.get(1).copied().unwrap_or(first);
    Some(Relay {
        primary: first.clone(),
        secondary: second.clone(),
        hosts: places.iter().map(|place| place.id.clone()).collect(),
    })
}
