//! Distribution of records: control hosts send them to their share of the hosts, and a host that
//! was missed fetches the record when it learns of a higher revision.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_routes::{Record, distribution};
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use slog::{error, info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::active_setup;
use crate::hosts::Hosts;
use crate::message::{Host, Request};

/// The timeout for sending a record. It allows the largest record to be sent over a slow, busy
/// link.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after which an unacknowledged transfer stops blocking those to other hosts. The largest
/// record takes less over the slowest link.
const BLOCKING_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which a record that was requested but not received is requested again.
const FETCH_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Sends records to other hosts, and tracks the revisions that they report.
pub struct Distributor {
    hosts: Arc<Hosts>,
    client: Arc<Client>,
    active_setup: Arc<active_setup::Store>,
    state: Mutex<State>,
    /// Notified when a transfer may be started.
    wake: Notify,
    logger: slog::Logger,
}

#[derive(Default)]
struct State {
    /// The highest revision reported by any host.
    highest_reported: u64,
    /// The start of the current fetch. There is at most one, since all would return the same
    /// record.
    fetch_started: Option<Instant>,
    queue: distribution::Queue,
    /// The revision and the encoded request of the newest record.
    body: Option<(u64, Bytes)>,
}

impl Distributor {
    /// Creates a distributor.
    pub fn new(
        hosts: Arc<Hosts>,
        client: Arc<Client>,
        active_setup: Arc<active_setup::Store>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            hosts,
            client,
            active_setup,
            state: Mutex::default(),
            wake: Notify::new(),
            logger,
        }
    }

    /// Sends a newly activated record to this host's share of the hosts. The leader first sends it
    /// to all control hosts, since not all of them have a voting replica.
    pub fn distribute(&self, record: &Record, is_leader: bool) {
        self.state.lock().fetch_started = None;
        if !self.hosts.local().is_control {
            return;
        }
        let live = self.hosts.live_hosts();
        let assigned = assigned_hosts(&self.hosts.local().id, &live, is_leader);
        info!(self.logger, "setup_told"; "event" => "setup_told", "revision" => record.revision,
            "hosts" => assigned.len(), "of" => live.len(), "bytes" => record.packed_len());
        self.state.lock().queue.add(assigned);
        self.wake.notify_one();
    }

    /// Queues the active record for a host that requests one newer than `above`. Returns whether
    /// there is one.
    pub fn enqueue(&self, host: &HostId, above: u64) -> bool {
        if self.active_setup.revision() <= above {
            return false;
        }
        let mut state = self.state.lock();
        if !state.queue.is_in_flight(host) {
            state.queue.add([host.clone()]);
            self.wake.notify_one();
        }
        true
    }

    /// Sends records to the queued hosts, until dropped.
    pub async fn run(&self) {
        let mut transfers = FuturesUnordered::new();
        loop {
            while let Some((host, body)) = self.start_next() {
                transfers.push(self.send_record(host, body));
            }
            tokio::select! {
                Some(()) = transfers.next(), if !transfers.is_empty() => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Starts the next transfer and returns its host and request.
    fn start_next(&self) -> Option<(HostId, Bytes)> {
        let current = self.active_setup.current()?;
        let revision = current.record.revision;
        let mut state = self.state.lock();
        let body = match &state.body {
            Some((known, body)) if *known == revision => body.clone(),
            _ => {
                let request = Request::Record(current.record.clone());
                let body = postcard::to_stdvec(&request).map(Bytes::from);
                let log_error = |reason| {
                    error!(self.logger, "record_not_encoded"; "event" => "record_not_encoded",
                        "reason" => %reason);
                };
                body.map_err(log_error).ok()?
            }
        };
        state.body = Some((revision, body.clone()));
        let host = state.queue.start_next(body.len())?;
        Some((host, body))
    }

    async fn send_record(&self, host: HostId, body: Bytes) {
        let call = self.client.ask(&host, Channel::Setup, body, SEND_TIMEOUT);
        let mut call = pin!(call);
        let in_time = timeout(BLOCKING_TIMEOUT, &mut call).await;
        self.state.lock().queue.finish(&host);
        self.wake.notify_one();
        let response = match in_time {
            Ok(response) => response,
            Err(_elapsed) => call.await,
        };
        if let Err(reason) = response {
            warn!(self.logger, "setup_not_told"; "event" => "setup_not_told",
                "peer" => host.as_str(), "reason" => %reason);
        }
    }

    /// Returns the control host that sends records to this host.
    pub fn sender(&self) -> Option<HostId> {
        let control = self.hosts.control_hosts();
        distribution::sender(&self.hosts.local().id, &control).cloned()
    }

    /// Records another host's active revision. Returns whether the caller should fetch a record
    /// now; if that fails, it must call [`Self::fetch_failed`].
    pub fn observe_revision(&self, revision: u64) -> bool {
        let mut state = self.state.lock();
        state.highest_reported = state.highest_reported.max(revision);
        let is_due = state
            .fetch_started
            .is_none_or(|at| at.elapsed() >= FETCH_RETRY_AFTER);
        let should_fetch = revision > self.active_setup.revision() && is_due;
        if should_fetch {
            state.fetch_started = Some(Instant::now());
        }
        should_fetch
    }

    /// Records that no host could send the requested record.
    pub fn fetch_failed(&self) {
        self.state.lock().fetch_started = None;
    }

    /// Returns whether this host has no active setup or another host reports a higher revision.
    pub fn is_behind(&self) -> bool {
        let highest_reported = self.state.lock().highest_reported;
        self.active_setup
            .current()
            .is_none_or(|active| active.record.revision < highest_reported)
    }
}

/// Returns the live hosts that a control host sends new state to, control hosts first: its share, and on
/// the leader all control hosts, since not all of them have a voting replica.
pub fn assigned_hosts(local: &HostId, live: &[Host], is_leader: bool) -> Vec<HostId> {
    let control = live.iter().filter(|host| host.is_control);
    let mut control: Vec<&HostId> = control.map(|host| &host.id).collect();
    control.push(local);
    let is_assigned = |host: &&Host| {
        (host.is_control && is_leader)
            || distribution::sender(&host.id, control.iter().copied()) == Some(local)
    };
    let mut assigned: Vec<&Host> = live.iter().filter(is_assigned).collect();
    assigned.sort_by_key(|host| !host.is_control);
    assigned.into_iter().map(|host| host.id.clone()).collect()
}
