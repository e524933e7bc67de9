//! Placement of replicas across data centres.

use indexmap::IndexMap;
use kumquatdrum_types::DataCentre;

use crate::{Member, ReplicaId};

/// Returns whether the replicas are evenly distributed across the data centres.
///
/// The counts of any two of `data_centres` may differ by at most one, and no data centre outside
/// the list may hold a replica.
///
/// ```
/// use kumquatdrum_consensus::{Member, placement};
/// use kumquatdrum_types::DataCentre;
///
/// let centres = ["ikeja", "marina", "lekki"].map(DataCentre::from);
/// let balanced = ["ikeja", "marina", "lekki"].map(|centre| Member::new(centre, 1, centre));
/// let unbalanced = ["ikeja", "ikeja", "lekki"].map(|centre| Member::new(centre, 1, centre));
/// assert!(placement::is_balanced(&balanced, &centres));
/// assert!(!placement::is_balanced(&unbalanced, &centres));
/// ```
pub fn is_balanced(replicas: &[Member], data_centres: &[DataCentre]) -> bool {
    let counts = count_by_data_centre(replicas);
    let count_in = |centre: &DataCentre| counts.get(centre).copied().unwrap_or(0);
    let most = data_centres.iter().map(count_in).max().unwrap_or(0);
    let least = data_centres.iter().map(count_in).min().unwrap_or(0);
    let are_known = counts.keys().all(|centre| data_centres.contains(centre));
    are_known && most - least <= 1
}

/// Returns the spare that should replace a lost replica.
///
/// Prefers the data centre with the fewest remaining voters, then the data centre of the lost
/// replica, then the first of `spares`. Spares on the host of a remaining voter are skipped.
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
    let remaining: Vec<Member> = voters.iter().filter(|v| &v.id != lost).cloned().collect();
    let lost_centre = voters
        .iter()
        .find(|v| &v.id == lost)
        .map(|v| &v.data_centre);
    let counts = count_by_data_centre(&remaining);
    let is_free = |spare: &&Member| !remaining.iter().any(|v| v.id.host == spare.id.host);
    spares.iter().filter(is_free).min_by_key(|spare| {
        let count = counts.get(&spare.data_centre).copied().unwrap_or(0);
        let is_elsewhere = lost_centre != Some(&spare.data_centre);
        (count, is_elsewhere)
    })
}

/// Returns the spare that should become a further voter: the first one of the data centre with the
/// fewest voters.
///
/// ```
/// use kumquatdrum_consensus::{Member, placement};
/// let voters = ["ikeja", "marina"].map(|centre| Member::new(centre, 1, centre));
/// let spares = ["ikeja", "lekki"].map(|centre| Member::new(format!("{centre}-2"), 1, centre));
/// let chosen = placement::choose_addition(&voters, &spares).unwrap();
/// assert_eq!(chosen.id.host.as_str(), "lekki-2");
/// ```
pub fn choose_addition<'a>(voters: &[Member], spares: &'a [Member]) -> Option<&'a Member> {
    let counts = count_by_data_centre(voters);
    let count = |spare: &&Member| counts.get(&spare.data_centre).copied().unwrap_or(0);
    spares.iter().min_by_key(count)
}

/// Returns a voter and a spare in another data centre that should vote in its place, if that evens out the
/// data centres: one has two voters more than the other. The given leader stays.
///
/// ```
/// use kumquatdrum_consensus::{Member, placement};
/// let voters = ["ikeja-1", "ikeja-2", "marina-1"].map(|host| Member::new(host, 1, &host[..5]));
/// let spares = [Member::new("lekki-1", 1, "lekki")];
/// let (from, to) = placement::choose_move(&voters, &voters[0].id, &spares).unwrap();
/// assert_eq!((from.id.host.as_str(), to.id.host.as_str()), ("ikeja-2", "lekki-1"));
/// ```
pub fn choose_move<'a>(
    voters: &'a [Member],
    leader: &ReplicaId,
    spares: &'a [Member],
) -> Option<(&'a Member, &'a Member)> {
    let to = choose_addition(voters, spares)?;
    let counts = count_by_data_centre(voters);
    let count = |member: &Member| counts.get(&member.data_centre).copied().unwrap_or(0);
    let movable = voters.iter().filter(|voter| voter.id != *leader);
    let from = movable.max_by_key(|voter| count(voter))?;
    (count(from) >= count(to) + 2).then_some((from, to))
}

fn count_by_data_centre(replicas: &[Member]) -> IndexMap<DataCentre, usize> {
    let mut counts = IndexMap::new();
    for member in replicas {
        *counts.entry(member.data_centre.clone()).or_insert(0) += 1;
    }
    counts
}
