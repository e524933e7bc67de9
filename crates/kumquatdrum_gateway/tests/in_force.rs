//! Putting a setup in force beside everything else that a host does.
//!
//! What callers saw: with 16,000 routes no operator could read the setup back or have a change
//! acknowledged for seconds on end. A leader stepped down for want of a quorum half a second after
//! each record it took. A trial build that logged the age of each voter's last answer showed all of
//! them equally old (811 ms each, 880, 1,312), so it was not their links: the leader's own loop had
//! stood still, as it read the operator's text, packed and unpacked it and made look-ups of it between
//! two heartbeats, on a sixth of a core.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use kumquatdrum_gateway::Protocol;
use kumquatdrum_gateway::in_force::Store;
use kumquatdrum_gateway::protocol::{Ask, Note, Operation, Ordered, Reply};
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::{Record, Setup};
use kumquatdrum_types::{EndpointId, Finding};
use parking_lot::Mutex;

/// Ends a test whose runtime stands still.
const PATIENCE: Duration = Duration::from_secs(20);

/// Reads a setup for as long as it is not told to end.
struct Slow {
    end: Mutex<Receiver<()>>,
    stood_still: Arc<AtomicBool>,
}

impl Slow {
    fn new() -> (Self, Sender<()>, Arc<AtomicBool>) {
        let (sender, end) = channel();
        let stood_still = Arc::new(AtomicBool::new(false));
        let slow = Self {
            end: Mutex::new(end),
            stood_still: stood_still.clone(),
        };
        (slow, sender, stood_still)
    }
}

impl Protocol for Slow {
    fn setup(&self, _: &[u8]) -> Result<Setup, Vec<Finding>> {
        let ended = self.end.lock().recv_timeout(PATIENCE);
        self.stood_still.store(ended.is_err(), Ordering::Relaxed);
        Ok(Setup::default())
    }

    fn operation(&self, _: &Method, _: &str) -> Operation {
        Operation::Unknown
    }

    fn is_health(&self, _: &Method, _: &str) -> bool {
        false
    }

    fn announcement(&self, _: &EndpointId, _: &[u8]) -> Result<Announcement, Finding> {
        Err(Finding::new("", "not read here"))
    }

    fn farewell(&self, _: &[u8]) -> Option<u64> {
        None
    }

    fn ask(&self, _: &HeaderMap) -> Ask {
        Ask::default()
    }

    fn annotate(&self, _: &mut HeaderMap, _: &Note<'_>) {}

    fn reply(&self, _: StatusCode, _: &HeaderMap) -> Reply {
        Reply::default()
    }

    fn reserve(&self, _: &EndpointId, _: &str, _: u64, _: Duration) -> Request<Full<Bytes>> {
        Request::default()
    }

    fn release(&self, _: &EndpointId, _: &str) -> Request<Full<Bytes>> {
        Request::default()
    }

    fn ordered(&self, _: StatusCode) -> Ordered {
        Ordered::Refused
    }
}

fn record(revision: u64) -> Record {
    Record::new(revision, b"a setup").expect("a short text")
}

fn logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

#[tokio::test]
async fn a_host_goes_on_while_it_reads_a_setup() {
    let (slow, end, stood_still) = Slow::new();
    let store = Arc::new(Store::new(Arc::new(slow), logger()));
    store.offer(&record(1), "log", true);
    let taking = store.clone();
    let taken = tokio::spawn(async move { taking.next().await });
    // Whatever else a host has to do, a heartbeat for one, has its turn before the reading ends.
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    end.send(()).expect("the reading waits");
    let (in_force, leads) = taken.await.expect("a record in force");
    assert!(!stood_still.load(Ordering::Relaxed));
    assert!(leads);
    assert_eq!((in_force.record.revision, store.revision()), (1, 1));
}

#[tokio::test]
async fn what_is_overtaken_while_another_is_read_is_not_read_itself() {
    let (slow, end, _) = Slow::new();
    let store = Arc::new(Store::new(Arc::new(slow), logger()));
    for revision in [2, 5, 4, 9, 9, 1] {
        store.offer(&record(revision), "log", false);
    }
    end.send(()).expect("one reading");
    let (in_force, _) = store.next().await;
    assert_eq!(in_force.record.revision, 9);
    // What is older than what is in force is not offered any more.
    store.offer(&record(8), "another host", false);
    store.offer(&record(10), "another host", false);
    end.send(()).expect("one reading more");
    assert_eq!(store.next().await.0.record.revision, 10);
}
