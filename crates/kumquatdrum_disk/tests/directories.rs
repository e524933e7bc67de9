//! The names of a new data folder and of its file survive a loss of power.

use kumquatdrum_consensus::Incarnation;
use kumquatdrum_disk::{Error, Folder, Store, fake};

/// Three missing directories.
const PATH: &str = "/srv/kumquatdrum/data";
/// The changes that create and sync three directories.
const DIRECTORY_CHANGES: u64 = 6;

fn open(files: &fake::FileSystem, incarnation: u64) -> Result<Folder, Error> {
    Folder::open_in(files, PATH, &"host".into(), Incarnation(incarnation))
}

/// Loses all names that are not synced, or all but one.
fn lose_names(files: &fake::FileSystem, kept: Option<&str>) {
    files.lose_power(
        |name| Some(name) == kept.map(std::path::Path::new),
        512,
        true,
        |_| true,
    );
}

/// Guards against a replica that votes, and whose folder is gone after a loss of power.
#[test]
fn the_names_of_a_new_folder_are_durable_once_it_is_open() {
    for kept in [None, Some("/srv"), Some("/srv/kumquatdrum"), Some(PATH)] {
        let files = fake::FileSystem::new();
        drop(open(&files, 7).unwrap());
        lose_names(&files, kept);
        let folder = open(&files, 8).unwrap();
        assert_eq!(folder.identity().incarnation, Incarnation(7), "{kept:?}");
    }
}

/// Guards against names that only a process that ended early had created, and that no later one syncs.
#[test]
fn names_that_an_earlier_process_created_are_durable_once_the_folder_is_open() {
    for changes in 0..=DIRECTORY_CHANGES {
        for kept in [None, Some("/srv"), Some("/srv/kumquatdrum"), Some(PATH)] {
            let files = fake::FileSystem::new();
            files.fail_after_changes(changes);
            assert!(open(&files, 6).is_err(), "{changes}");
            files.repair();
            drop(open(&files, 7).unwrap());
            lose_names(&files, kept);
            let folder = open(&files, 8).unwrap();
            assert_eq!(
                folder.identity().incarnation,
                Incarnation(7),
                "{changes} {kept:?}"
            );
        }
    }
}
