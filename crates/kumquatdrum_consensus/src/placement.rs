//! How replicas are spread over data centres.

use indexmap::IndexMap;
use kumquatdrum_types::DataCentre;

use crate::{Member, ReplicaId};

/// Whether a replica set is spread as evenly as the data centres allow.
///
/// The counts of any two of `data_centres` differ by one at most, where each holds enough hosts,
/// and no data centre outside the list holds a replica.
///
/// ```
/// use kumquatdrum_consensus::{Member, placement};
/// use kumquatdrum_types::DataCentre;
///
/// let centres = ["ikeja", "marina", "lekki"].map(DataCentre::from);
/// let spread = ["ikeja", "marina", "lekki"].map(|centre| Member::new(centre, 1, centre));
/// let heaped = ["ikeja", "ikeja", "lekki"].map(|centre| Member::new(centre, 1, centre));
/// assert!(placement::is_balanced(&spread, &centres));
/// assert!(!placement::is_balanced(&heaped, &centres));
/// ```
pub fn is_balanced(replicas: &[Member], data_centres: &[DataCentre]) -> bool {
    let counts = counts(replicas);
    let of = |centre: &DataCentre| counts.get(centre).copied().unwrap_or(0);
    let most = data_centres.iter().map(of).max().unwrap_or(0);
    let least = data_centres.iter().map(of).min().unwrap_or(0);
    let known = counts.keys().all(|centre| data_centres.contains(centre));
    known && most - least <= 1
}

/// The spare that should take the place of a lost replica: one of the data centre that holds the
/// fewest of the others, of the lost one's own where that is as good, then the first by name.
///
/// ```
/// use kumquatdrum_consensus::{Member, placement};
/// let voters = ["ikeja", "marina", "lekki"].map(|centre| Member::new(centre, 1, centre));
/// let spares = ["ikeja", "lekki"].map(|centre| Member::new(format!("{centre}-2"), 1, centre));
/// let chosen = placement::choose_replacement(&voters, &voters[2].id, &spares).unwrap();
/// assert_eq!(chosen.id.host.as_str(), "lekki-2");
/// ```
pub fn choose_replacement<'a>(
    voters: &[Member],
    lost: &ReplicaId,
    spares: &'a [Member],
) -> Option<&'a Member> {
    let left: Vec<Member> = voters.iter().filter(|v| &v.id != lost).cloned().collect();
    let home = voters
        .iter()
        .find(|v| &v.id == lost)
        .map(|v| &v.data_centre);
    let counts = counts(&left);
    let free = |spare: &&Member| !left.iter().any(|v| v.id.host == spare.id.host);
    spares.iter().filter(free).min_by_key(|spare| {
        let load = counts.get(&spare.data_centre).copied().unwrap_or(0);
        let elsewhere = home != Some(&spare.data_centre);
        (load, elsewhere, spare.id.clone())
    })
}

fn counts(replicas: &[Member]) -> IndexMap<DataCentre, usize> {
    let mut counts = IndexMap::new();
    for member in replicas {
        *counts.entry(member.data_centre.clone()).or_insert(0) += 1;
    }
    counts
}
