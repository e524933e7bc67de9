//! Requests for versions and the responses to them.

use kumquatdrum_types::{BootId, HostId, Moment, Version};

use super::machine::{Fetch, send};
use super::startup::Observations;
use super::timing::ASK_RETRY;
use super::{Message, Output, Propagation, Setup, Text, Transfer};

impl Propagation {
    /// Records that a host has a version and requests it if it is higher than the current one.
    pub(super) fn request_version(
        &mut self,
        now: Moment,
        from: &HostId,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        if version <= self.version() {
            return;
        }
        match &mut self.pending_fetch {
            Some(pending_fetch) if pending_fetch.version > version => return,
            Some(pending_fetch) if pending_fetch.version == version => {
                if !pending_fetch.holders.contains(from) {
                    pending_fetch.holders.push(from.clone());
                }
            }
            pending_fetch => {
                let last_asked = pending_fetch
                    .as_ref()
                    .and_then(|pending_fetch| pending_fetch.last_asked);
                *pending_fetch = Some(Fetch {
                    version,
                    holders: vec![from.clone()],
                    last_asked,
                });
            }
        }
        self.fetch(now, out);
    }

    /// Requests the pending version from one of its holders in turn.
    pub(super) fn fetch(&mut self, now: Moment, out: &mut Vec<Output>) {
        let Some(pending_fetch) = &mut self.pending_fetch else {
            return;
        };
        if pending_fetch
            .last_asked
            .is_some_and(|last_asked| now - last_asked < ASK_RETRY)
        {
            return;
        }
        pending_fetch.last_asked = Some(now);
        pending_fetch.holders.rotate_left(1);
        if let Some(to) = pending_fetch.holders.last().cloned() {
            self.ask(now, &to, out);
        }
    }

    pub(super) fn handle_ask(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        version: Version,
        digest_prefix: u64,
        out: &mut Vec<Output>,
    ) {
        self.record_version(now, from, boot, version, out);
        let message = match self.current() {
            Some(current) if current.version > version => {
                let base = self.history.iter().find(|setup| {
                    setup.version == version && setup.digest_prefix() == digest_prefix
                });
                Message::Transfer(Transfer {
                    version: current.version,
                    digest: current.digest.clone(),
                    text: Text::between(base, current),
                })
            }
            _ => self.have_message(now),
        };
        send(out, from, message);
        self.request_version(now, from, version, out);
    }

    pub(super) fn handle_transfer(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        transfer: Transfer,
        out: &mut Vec<Output>,
    ) {
        self.record_version(now, from, boot, transfer.version, out);
        if transfer.version <= self.version() {
            return;
        }
        let text = transfer.text.apply(self.current());
        let setup = text.map(|text| Setup::new(transfer.version, text));
        match setup.filter(|setup| setup.digest == transfer.digest) {
            Some(setup) => {
                self.install(now, setup, Some(from), out);
                send(out, from, self.have_message(now));
            }
            // The delta has another base, or the text does not match its digest.
            None => self.request_version(now, from, transfer.version, out),
        }
    }

    pub(super) fn advance_startup(&mut self, now: Moment, out: &mut Vec<Output>) {
        let observations = Observations {
            control_replicas: &self.control_replicas,
            has_version: self.current().is_some(),
            is_fetching: self.pending_fetch.is_some(),
            has_majority: self.own_majority_at.is_some(),
        };
        let Some(startup) = &mut self.startup else {
            return;
        };
        if let Some(is_confirmed) = startup.readiness(now, observations) {
            self.startup = None;
            out.push(Output::Ready { is_confirmed });
            return;
        }
        if !startup.is_due(now) {
            return;
        }
        let local_hosts = self.topology.local_hosts();
        let control_replicas = self
            .control_replicas
            .iter()
            .filter(|host| **host != self.config.host && !self.topology.is_local(host));
        let unanswered: Vec<HostId> = local_hosts
            .chain(control_replicas)
            .filter(|host| !startup.has_answered(host))
            .cloned()
            .collect();
        let message = Message::Ask {
            version: self
                .history
                .back()
                .map_or(Version(0), |current| current.version),
            digest_prefix: self.history.back().map_or(0, Setup::digest_prefix),
        };
        for to in unanswered {
            send(out, &to, message.clone());
        }
    }

    fn ask(&mut self, now: Moment, to: &HostId, out: &mut Vec<Output>) {
        if let Some(pending_fetch) = &mut self.pending_fetch {
            pending_fetch.last_asked = Some(now);
        }
        let message = Message::Ask {
            version: self.version(),
            digest_prefix: self.current().map_or(0, Setup::digest_prefix),
        };
        send(out, to, message);
    }
}
