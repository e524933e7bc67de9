//! The cache of evacuations on disk, under writes whose callers no longer wait for them.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use kumquatdrum_disk::Blob;
use kumquatdrum_gateway::evacuation_cache::{Cache, FILE_NAME};
use kumquatdrum_gateway::evacuations::Store;
use kumquatdrum_routes::Evacuations;
use kumquatdrum_routes::evacuation::Change;
use kumquatdrum_types::DataCentre;
use slog::{Discard, Logger, o};
use tokio::task::yield_now;

const ROUNDS: u64 = 100;

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn folder() -> PathBuf {
    let name = format!("evacuation-cache-{}", std::process::id());
    std::env::temp_dir().join(name)
}

/// Guards against two writes of the file at the same time, which leave it corrupt or with an older
/// version than the one reported as stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_that_is_no_longer_awaited_does_not_overlap_the_next_one() {
    let folder = folder();
    let cache = Cache::new(Some(Blob::new(&folder, FILE_NAME)), logger());
    let store = Arc::new(Store::new(logger()));
    let mut state = Evacuations::default();
    for round in 0..ROUNDS {
        for _ in 0..2 {
            // Many data centres make the file large, so that writes take long enough to overlap.
            for number in 0..200 {
                let data_centre = DataCentre::new(format!("data-centre-{number}"));
                let change = Change {
                    base: state.base(&data_centre),
                    is_active: !state.is_active(&data_centre),
                    data_centre,
                    by: "127.0.0.1".to_owned(),
                    at_ms: round,
                };
                state.apply(&change);
            }
            store.adopt(&state, "test");
            let abandoned = cache.store(&store);
            tokio::select! {
                biased;
                _ = abandoned => {}
                () = yield_now() => {}
            }
        }
        let version = store.current().version();
        assert!(cache.store(&store).await, "the state was not stored");
        // A write that started before the last one must have ended as well.
        let file = Blob::new(&folder, FILE_NAME);
        let bytes = file.read().expect("an intact file").expect("a file");
        let loaded: Evacuations = postcard::from_bytes(&bytes).expect("evacuations");
        assert_eq!(loaded.version(), version, "round {round}");
        assert_eq!(cache.load().await.version(), version);
    }
    fs::remove_dir_all(folder).expect("the folder can be removed");
}
