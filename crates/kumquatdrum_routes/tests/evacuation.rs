//! Orders to evacuate data centres: their sequence, repetition, audit, and encoding.

use kumquatdrum_routes::evacuation::{Change, Evacuations, Outcome};
use kumquatdrum_routes::{Entry, Record, Register};
use kumquatdrum_types::DataCentre;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

fn change(data_centre: &str, is_active: bool, base: u64) -> Change {
    Change {
        data_centre: DataCentre::new(data_centre),
        is_active,
        base,
        by: "10.0.0.9".to_owned(),
        at_ms: 1_790_000_000_000,
    }
}

fn order(evacuations: &mut Evacuations, data_centre: &str, is_active: bool) -> Outcome {
    let base = evacuations.base(&DataCentre::new(data_centre));
    evacuations.apply(&change(data_centre, is_active, base))
}

#[test]
fn a_repeated_order_changes_neither_version_nor_audit() {
    let mut evacuations = Evacuations::default();
    assert_eq!(order(&mut evacuations, "a", true), Outcome::Changed);
    assert_eq!(order(&mut evacuations, "a", true), Outcome::Unchanged);
    assert_eq!(evacuations.version(), 1);
    assert_eq!(evacuations.audit().count(), 1);
}

/// Guards against a start that is delayed before its proposal and undoes an end that changed nothing.
#[test]
fn an_order_that_changes_nothing_invalidates_delayed_ones() {
    let mut evacuations = Evacuations::default();
    let delayed = change("a", true, 0);
    assert_eq!(order(&mut evacuations, "a", false), Outcome::Unchanged);
    assert_eq!(evacuations.apply(&delayed), Outcome::Stale);
    assert!(!evacuations.is_active(&DataCentre::new("a")));
}

#[test]
fn the_audit_keeps_the_last_changes() {
    let mut evacuations = Evacuations::default();
    for turn in 0..Evacuations::MAX_AUDIT_ENTRIES + 10 {
        order(&mut evacuations, "a", turn % 2 == 0);
    }
    let versions: Vec<u64> = evacuations.audit().map(|entry| entry.version).collect();
    assert_eq!(versions.len(), Evacuations::MAX_AUDIT_ENTRIES);
    assert_eq!((versions[0], versions.last()), (11, Some(&1_034)));
    assert_eq!(evacuations.without_audit().audit().count(), 0);
}

/// Guards against data that an earlier release has written and this one can't read.
#[test]
fn entries_and_snapshots_of_earlier_releases_are_read() {
    let record = Record::new(300, b"{}").expect("a short text");
    let entry = postcard::to_stdvec(&record).expect("bytes");
    assert_eq!(Entry::decode(&entry), Ok(Entry::Record(record.clone())));
    let snapshot = postcard::to_stdvec(&Some(&record)).expect("bytes");
    let mut register = Register::decode(&snapshot).expect("a register");
    assert_eq!(register.current(), Some(&record));
    assert_eq!(register.evacuations(), &Evacuations::default());
    register.evacuate(&change("a", true, 0));
    let snapshot = register.encode().expect("bytes");
    assert_eq!(Register::decode(&snapshot), Ok(register));
    let empty = postcard::to_stdvec(&None::<Record>).expect("bytes");
    assert_eq!(Register::decode(&empty), Ok(Register::default()));
    let entry = Entry::Evacuation(change("a", true, 7));
    let bytes = entry.encode().expect("bytes");
    assert_eq!((bytes[0], Entry::decode(&bytes)), (0, Ok(entry)));
    assert!(Entry::decode(&[0, 200]).is_err());
}

/// One operator repeats each order until it is acknowledged. Attempts are delayed between their read
/// and their proposal, lost, and repeated. Guards against an acknowledged order that reverts, and
/// against replicas that differ.
#[test]
fn delayed_and_repeated_attempts_never_revert_an_acknowledged_order() {
    let data_centre = DataCentre::new("a");
    for seed in 0..300 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut register = Register::default();
        let mut log: Vec<Vec<u8>> = Vec::new();
        let mut attempts: Vec<Change> = Vec::new();
        let mut ordered = false;
        for _ in 0..12 {
            ordered = random.next_u32().is_multiple_of(2);
            loop {
                let base = register.evacuations().base(&data_centre);
                let attempt = change("a", ordered, base);
                attempts.push(attempt.clone());
                for _ in 0..random.next_u32() % 4 {
                    let late = random.next_u32() as usize % attempts.len();
                    commit(&mut register, &mut log, &attempts[late]);
                }
                let is_lost = random.next_u32().is_multiple_of(2);
                if !is_lost && commit(&mut register, &mut log, &attempt) != Outcome::Stale {
                    break;
                }
            }
            for late in &attempts {
                commit(&mut register, &mut log, late);
                let is_active = register.evacuations().is_active(&data_centre);
                assert_eq!(is_active, ordered, "seed {seed}");
            }
        }
        let mut replica = Register::default();
        for entry in &log {
            match Entry::decode(entry) {
                Ok(Entry::Evacuation(change)) => replica.evacuate(&change),
                other => panic!("{other:?}"),
            };
            let snapshot = replica.encode().expect("bytes");
            replica = Register::decode(&snapshot).expect("a register");
        }
        assert_eq!(replica, register, "seed {seed}");
        assert_eq!(replica.evacuations().is_active(&data_centre), ordered);
    }
}

fn commit(register: &mut Register, log: &mut Vec<Vec<u8>>, change: &Change) -> Outcome {
    let entry = Entry::Evacuation(change.clone());
    log.push(entry.encode().expect("bytes"));
    register.evacuate(change)
}
