//! How a record reaches other hosts: control hosts tell their share of them, and a host that was
//! missed fetches it once it hears of a higher revision.

use std::sync::Arc;

use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_routes::{Record, spread};
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use slog::info;

use crate::hosts::Hosts;
use crate::in_force;
use crate::message::{Host, Notice};

/// What this host has told others of records, and heard from them.
pub struct Spread {
    hosts: Arc<Hosts>,
    client: Arc<Client>,
    in_force: Arc<in_force::Store>,
    state: Mutex<State>,
    logger: slog::Logger,
}

#[derive(Default)]
struct State {
    /// The highest revision that any host was heard to go by.
    heard: u64,
    /// A record is being fetched: one at a time, as all would be the same.
    is_fetching: bool,
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
            logger,
        }
    }

    /// Tells a record that has just come in force here to the hosts of this host's share. The
    /// leader also tells the other control hosts, as not all of them have a replica that votes.
    pub fn tell(&self, record: &Record, leads: bool) {
        let local = self.hosts.local();
        if !local.control {
            return;
        }
        let Some(bytes) = Notice::Record(record.clone()).encode(&self.logger) else {
            return;
        };
        let live = self.hosts.live();
        let control = live.iter().filter(|host| host.control);
        let mut control: Vec<&HostId> = control.map(|host| &host.id).collect();
        control.push(&local.id);
        let is_mine = |host: &&Host| {
            (host.control && leads)
                || spread::sender(&host.id, control.iter().copied()) == Some(&local.id)
        };
        let mine: Vec<&Host> = live.iter().filter(is_mine).collect();
        for host in &mine {
            self.client.send(&host.id, Channel::Setup, bytes.clone());
        }
        info!(self.logger, "setup_told"; "event" => "setup_told", "revision" => record.revision,
            "hosts" => mine.len(), "of" => live.len(), "bytes" => bytes.len());
    }

    /// Another host goes by a revision. Returns whether its record should be fetched now; the
    /// caller then says [`Self::fetched`] in the end.
    pub fn hears(&self, revision: u64) -> bool {
        let mut state = self.state.lock();
        state.heard = state.heard.max(revision);
        let begins = revision > self.in_force.revision() && !state.is_fetching;
        state.is_fetching |= begins;
        begins
    }

    /// A fetch has ended, with a record or without.
    pub fn fetched(&self) {
        self.state.lock().is_fetching = false;
    }

    /// Whether this host goes by less than it has heard of, or by nothing.
    pub fn is_behind(&self) -> bool {
        let heard = self.state.lock().heard;
        self.in_force
            .current()
            .is_none_or(|known| known.record.revision < heard)
    }
}
