//! Distribution of records: control hosts send them to their share of the hosts and announce the
//! revision to another share, and a host that was missed fetches the record.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_routes::fetch::Answer;
use kumquatdrum_routes::{Record, distribution, fetch};
use kumquatdrum_types::{DataCentre, HostId, Moment};
use parking_lot::Mutex;
use slog::{error, info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::active_setup;
use crate::hosts::Hosts;
use crate::message::{Host, Notice, Request, Response};

/// The timeout for sending a record. It allows the largest record to be sent over a slow, busy
/// link.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after which an unacknowledged transfer stops blocking those to other hosts. The largest
/// record takes less over the slowest link.
pub(crate) const BLOCKING_TIMEOUT: Duration = Duration::from_millis(400);
/// Sends records to other hosts, and tracks the revisions that they report.
pub struct Distributor {
    clock: Clock,
    hosts: Arc<Hosts>,
    client: Arc<Client>,
    active_setup: Arc<active_setup::Store>,
    state: Mutex<State>,
    /// Notified when a transfer may be started.
    wake: Notify,
    /// Notified when a host reports a higher revision, or a wanted record is received.
    fetch_changed: Notify,
    logger: slog::Logger,
}

#[derive(Default)]
struct State {
    /// The highest revision reported by any host.
    highest_reported: u64,
    fetch: fetch::Schedule,
    queue: distribution::Queue,
    /// The revision and the encoded request of the newest record.
    body: Option<(u64, Bytes)>,
}

impl Distributor {
    /// Creates a distributor.
    pub fn new(
        clock: Clock,
        hosts: Arc<Hosts>,
        client: Arc<Client>,
        active_setup: Arc<active_setup::Store>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            clock,
            hosts,
            client,
            active_setup,
            state: Mutex::default(),
            wake: Notify::new(),
            fetch_changed: Notify::new(),
            logger,
        }
    }

    /// Sends a newly activated record to this host's share of the hosts. The leader first sends it
    /// to all control hosts, since not all of them have a voting replica.
    pub fn distribute(&self, record: &Record, is_leader: bool) {
        if !self.hosts.local().is_control {
            return;
        }
        let live = self.hosts.live_hosts();
        let assigned = assigned_hosts(&self.hosts.local().id, &live, is_leader);
        info!(self.logger, "setup_told"; "event" => "setup_told", "revision" => record.revision,
            "hosts" => assigned.len(), "of" => live.len(), "bytes" => record.packed_len());
        self.state.lock().queue.add(assigned);
        self.wake.notify_one();
        let Some(notice) = Notice::Revision(record.revision).encode(&self.logger) else {
            return;
        };
        for host in announced_hosts(&self.hosts.local(), &live) {
            self.client.send(&host, Channel::Setup, notice.clone());
        }
    }

    /// Answers a host that requests a record newer than `above`. A record counts as in flight until
    /// [`Self::finish_answer`].
    pub fn answer_fetch(&self, host: &HostId, above: u64) -> Response {
        let current = self.active_setup.current();
        let Some(current) = current.filter(|current| current.record.revision > above) else {
            return Response::Unavailable;
        };
        let (record, mut state) = (&current.record, self.state.lock());
        let (revision, bytes) = (record.revision, record.packed_len());
        if state.queue.start_answer(host, revision, bytes) {
            Response::Record(record.clone())
        } else {
            Response::Busy
        }
    }

    /// Ends the transfer of an answer.
    pub fn finish_answer(&self, host: &HostId, revision: u64) {
        self.state.lock().queue.finish_answer(host, revision);
        self.wake.notify_one();
    }

    /// Confirms the receipt of an answer.
    pub fn confirm(&self, host: &HostId, revision: u64) {
        if let Some(notice) = Notice::Received(revision).encode(&self.logger) {
            self.client.send(host, Channel::Setup, notice);
        }
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

    /// Records another host's active revision.
    pub fn observe_revision(&self, host: &HostId, revision: u64) {
        let mut state = self.state.lock();
        state.highest_reported = state.highest_reported.max(revision);
        state.fetch.observe(self.clock.now(), host, revision);
        if state.fetch.is_behind() {
            self.fetch_changed.notify_one();
        }
    }

    /// Records that a record was received, from a host or the local log.
    pub fn receive(&self, revision: u64) {
        let mut state = self.state.lock();
        let was_fetching = state.fetch.is_behind();
        state.fetch.receive(revision);
        if was_fetching {
            self.fetch_changed.notify_one();
        }
    }

    /// Returns whether a record is wanted that has not been received.
    pub fn is_fetching(&self) -> bool {
        self.state.lock().fetch.is_behind()
    }

    /// Returns the highest revision received, which may not be active yet.
    pub fn received_revision(&self) -> u64 {
        self.state.lock().fetch.held()
    }

    /// Returns the next host to request a record from, if one is due. The caller must report the
    /// outcome to [`Self::finish_fetch`].
    pub fn next_fetch(&self, now: Moment) -> Option<HostId> {
        let due = self.next_fetch_due()?;
        if now < due {
            return None;
        }
        let control = self.hosts.control_hosts_by_hash();
        let sender = distribution::sender(&self.hosts.local().id, &control);
        self.state.lock().fetch.next(now, sender, &control)
    }

    /// Returns when the next request may be sent, if one is needed.
    pub fn next_fetch_due(&self) -> Option<Moment> {
        self.state.lock().fetch.next_due()
    }

    /// Records the outcome of a request.
    pub fn finish_fetch(&self, now: Moment, host: &HostId, answer: Answer) {
        self.state.lock().fetch.finish(now, host, answer);
    }

    /// Waits until a host reports a higher revision, or a wanted record is received.
    pub async fn wait_for_change(&self) {
        self.fetch_changed.notified().await;
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

/// Returns the live hosts that a control host announces revisions to.
fn announced_hosts(local: &Host, live: &[Host]) -> Vec<HostId> {
    let control = live.iter().filter(|host| host.is_control).chain([local]);
    let control: Vec<(&HostId, &DataCentre)> =
        control.map(|host| (&host.id, &host.data_centre)).collect();
    let is_announced = |host: &&Host| {
        distribution::announcer(&host.id, control.iter().copied()) == Some(&local.id)
    };
    let announced = live.iter().filter(is_announced);
    announced.map(|host| host.id.clone()).collect()
}
