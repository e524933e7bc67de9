//! How a record reaches other hosts: control hosts tell their share of them, and a host that was
//! missed asks to be told once it hears of a higher revision.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_routes::{Record, spread};
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use slog::{error, info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::hosts::Hosts;
use crate::in_force;
use crate::message::{Host, Question};

/// How long a record may take to come: the largest, packed, over the slowest link that carries
/// callers, with as much again for what else is on it.
const TOLD_LIMIT: Duration = Duration::from_secs(2);
/// A host that has not confirmed a record for so long does not hold up the others: more than the
/// largest takes over the slowest link.
const HELD_UP: Duration = Duration::from_millis(400);
/// How long a promised record may take before another host is asked for it.
const PROMISED: Duration = Duration::from_millis(800);

/// What this host has told others of records, and heard from them.
pub struct Spread {
    hosts: Arc<Hosts>,
    client: Arc<Client>,
    in_force: Arc<in_force::Store>,
    state: Mutex<State>,
    /// There may be somebody to tell.
    wake: Notify,
    logger: slog::Logger,
}

#[derive(Default)]
struct State {
    /// The highest revision that any host was heard to go by.
    heard: u64,
    /// Since when a record has been asked for or is promised: one at a time, as all would be the
    /// same.
    asked: Option<Instant>,
    round: spread::Round,
    /// The newest record, as it travels.
    body: Option<(u64, Bytes)>,
}

impl Spread {
    /// Nothing was told or heard yet.
    pub fn new(
        hosts: Arc<Hosts>,
        client: Arc<Client>,
        in_force: Arc<in_force::Store>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            hosts,
            client,
            in_force,
            state: Mutex::default(),
            wake: Notify::new(),
            logger,
        }
    }

    /// Tells a record that has just come in force here to the hosts of this host's share. The
    /// leader also tells the other control hosts, first of all, as not all of them have a replica
    /// that votes.
    pub fn tell(&self, record: &Record, leads: bool) {
        self.state.lock().asked = None;
        let local = self.hosts.local();
        if !local.control {
            return;
        }
        let live = self.hosts.live();
        let control = live.iter().filter(|host| host.control);
        let mut control: Vec<&HostId> = control.map(|host| &host.id).collect();
        control.push(&local.id);
        let is_mine = |host: &&Host| {
            (host.control && leads)
                || spread::sender(&host.id, control.iter().copied()) == Some(&local.id)
        };
        let mut mine: Vec<&Host> = live.iter().filter(is_mine).collect();
        mine.sort_by_key(|host| !host.control);
        info!(self.logger, "setup_told"; "event" => "setup_told", "revision" => record.revision,
            "hosts" => mine.len(), "of" => live.len(), "bytes" => record.packed_len());
        let mine = mine.into_iter().map(|host| host.id.clone());
        self.state.lock().round.add(mine);
        self.wake.notify_one();
    }

    /// Another host asks to be told, where this one goes by more than it does; returns whether it
    /// will be.
    pub fn add(&self, host: &HostId, above: u64) -> bool {
        if self.in_force.revision() <= above {
            return false;
        }
        let mut state = self.state.lock();
        if !state.round.is_telling(host) {
            state.round.add([host.clone()]);
            self.wake.notify_one();
        }
        true
    }

    /// Tells hosts in their turn, until dropped.
    pub async fn run(&self) {
        let mut telling = FuturesUnordered::new();
        loop {
            while let Some((host, body)) = self.next() {
                telling.push(self.tell_one(host, body));
            }
            tokio::select! {
                Some(()) = telling.next(), if !telling.is_empty() => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// The next host to be told, and what.
    fn next(&self) -> Option<(HostId, Bytes)> {
        let current = self.in_force.current()?;
        let revision = current.record.revision;
        let mut state = self.state.lock();
        let body = match &state.body {
            Some((known, body)) if *known == revision => body.clone(),
            _ => {
                let question = Question::Record(current.record.clone());
                let body = postcard::to_stdvec(&question).map(Bytes::from);
                let unencoded = |reason| {
                    error!(self.logger, "record_not_encoded"; "event" => "record_not_encoded",
                        "reason" => %reason);
                };
                body.map_err(unencoded).ok()?
            }
        };
        state.body = Some((revision, body.clone()));
        let host = state.round.next(body.len())?;
        Some((host, body))
    }

    async fn tell_one(&self, host: HostId, body: Bytes) {
        let call = self.client.ask(&host, Channel::Setup, body, TOLD_LIMIT);
        let mut call = pin!(call);
        let in_time = timeout(HELD_UP, &mut call).await;
        self.state.lock().round.end(&host);
        self.wake.notify_one();
        let answer = match in_time {
            Ok(answer) => answer,
            Err(_held_up) => call.await,
        };
        if let Err(reason) = answer {
            warn!(self.logger, "setup_not_told"; "event" => "setup_not_told",
                "peer" => host.as_str(), "reason" => %reason);
        }
    }

    /// Who tells this host of records.
    pub fn sender(&self) -> Option<HostId> {
        let control = self.hosts.control();
        spread::sender(&self.hosts.local().id, &control).cloned()
    }

    /// Another host goes by a revision. Returns whether a record should be asked for now; the
    /// caller says [`Self::not_fetched`] where nobody will send one.
    pub fn hears(&self, revision: u64) -> bool {
        let mut state = self.state.lock();
        state.heard = state.heard.max(revision);
        let is_due = state.asked.is_none_or(|at| at.elapsed() >= PROMISED);
        let begins = revision > self.in_force.revision() && is_due;
        if begins {
            state.asked = Some(Instant::now());
        }
        begins
    }

    /// Nobody was found to send the record that was asked for.
    pub fn not_fetched(&self) {
        self.state.lock().asked = None;
    }

    /// Whether this host goes by less than it has heard of, or by nothing.
    pub fn is_behind(&self) -> bool {
        let heard = self.state.lock().heard;
        self.in_force
            .current()
            .is_none_or(|known| known.record.revision < heard)
    }
}
