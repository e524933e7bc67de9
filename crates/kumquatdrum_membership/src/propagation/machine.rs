//! The propagation state machine.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::installation::{Installation, Installations};
use super::startup::Startup;
use super::timing::{CUT_OFF_AFTER, HISTORY_BYTES, HISTORY_COUNT, STATUS_INTERVAL};
use super::topology::Topology;
use super::{Have, Input, Message, Output, Setup, Status};

/// Initial state of a host.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Incarnation of its daemon.
    pub boot: BootId,
    /// Version stored on disk, if any.
    pub stored: Option<Setup>,
}

/// Propagation of the setup in force from the point of view of one host.
///
/// ```
/// use kumquatdrum_membership::propagation::{Config, Input, Output, Setup, Propagation};
/// use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};
///
/// let mut propagation = Propagation::new(Config {
///     host: HostId::new("entry-1"),
///     data_centre: DataCentre::new("ikeja"),
///     boot: BootId(1),
///     stored: None,
/// });
/// let mut out = Vec::new();
/// let setup = Setup::new(Version(1), "{}");
/// propagation.step(Moment::ZERO, Input::Offer(setup.clone()), &mut out);
/// assert!(out.contains(&Output::InForce(setup)));
/// assert_eq!(propagation.version(), Version(1));
/// ```
#[derive(Debug)]
pub struct Propagation {
    pub(super) config: Config,
    pub(super) topology: Topology,
    pub(super) control_replicas: IndexSet<HostId>,
    pub(super) history: VecDeque<Setup>,
    pub(super) installations: Installations,
    pub(super) startup: Option<Startup>,
    pub(super) has_ticked: bool,
    /// Highest version known to exist, if it is higher than the current one.
    pub(super) pending_fetch: Option<Fetch>,
    /// Pending notifications about the current version, by data centre.
    pub(super) notifications: IndexMap<DataCentre, Notification>,
    /// Latest contact of this host's own control replica with a majority.
    pub(super) own_majority_at: Option<Moment>,
    /// Latest contact with a majority reported directly by a control replica.
    pub(super) direct_majority_at: Option<Moment>,
    /// Latest contact with a majority from any source, initially the start of the daemon.
    pub(super) majority_at: Moment,
    /// Time of the last contact with a majority, if this host is cut off from it.
    pub(super) cut_off_since: Option<Moment>,
    pub(super) last_status: Option<(Moment, Version)>,
    pub(super) last_exchange: Option<Moment>,
    pub(super) next_exchange: usize,
    pub(super) last_report: Option<Moment>,
    pub(super) last_full_report: Option<Moment>,
}

/// Version to fetch and the hosts that have it.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) version: Version,
    pub(super) holders: Vec<HostId>,
    pub(super) last_asked: Option<Moment>,
}

/// Notifications sent to a data centre about the current version.
#[derive(Debug)]
pub(super) struct Notification {
    pub(super) count: u8,
    pub(super) due: Moment,
}

impl Propagation {
    /// Creates the state machine of a starting host.
    pub fn new(config: Config) -> Self {
        Self {
            topology: Topology::new(config.host.clone(), config.data_centre.clone()),
            history: config.stored.iter().cloned().collect(),
            config,
            control_replicas: IndexSet::new(),
            installations: Installations::default(),
            startup: Some(Startup::new(Moment::ZERO)),
            has_ticked: false,
            pending_fetch: None,
            notifications: IndexMap::new(),
            own_majority_at: None,
            direct_majority_at: None,
            majority_at: Moment::ZERO,
            cut_off_since: None,
            last_status: None,
            last_exchange: None,
            next_exchange: 0,
            last_report: None,
            last_full_report: None,
        }
    }

    /// Processes one input. `now` must not decrease between calls.
    pub fn step(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Host {
                host,
                data_centre,
                is_alive,
            } => self.topology.update_host(host, data_centre, is_alive),
            Input::ControlReplicas(hosts) => self.control_replicas = hosts.into_iter().collect(),
            Input::Offer(setup) => self.install(now, setup, None, out),
            Input::Majority => {
                self.own_majority_at = Some(now);
                self.majority_at = self.majority_at.max(now);
            }
            Input::Status { from, boot, status } => {
                self.handle_status(now, &from, boot, status, out);
            }
            Input::Peer {
                from,
                boot,
                message,
            } => self.handle_message(now, &from, boot, message, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> Version {
        self.current().map_or(Version(0), |setup| setup.version)
    }

    /// Returns the setup in force.
    pub fn current(&self) -> Option<&Setup> {
        self.history.back()
    }

    /// Returns whether the host may serve.
    pub fn is_ready(&self) -> bool {
        self.startup.is_none()
    }

    /// Returns the time of the last contact with a majority of control replicas if this host is cut
    /// off from them.
    pub fn cut_off_since(&self) -> Option<Moment> {
        self.cut_off_since
    }

    /// Returns the known version of each host.
    pub fn installations(&self) -> impl Iterator<Item = (&HostId, &Installation)> {
        self.installations.iter()
    }

    pub(super) fn status(&self, now: Moment) -> Status {
        let last_contact = if self.control_replicas.contains(&self.config.host) {
            self.own_majority_at
        } else {
            self.direct_majority_at
        };
        let age = |at| u32::try_from((now - at).as_millis()).unwrap_or(u32::MAX);
        Status {
            version: self.version(),
            digest_prefix: self.current().map_or(0, Setup::digest_prefix),
            is_ready: self.is_ready(),
            majority_age_ms: last_contact.map(age),
        }
    }

    pub(super) fn handle_message(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.topology.record_contact(now, from);
        match message {
            Message::Have(have) => {
                self.handle_status(now, from, boot, have.status, out);
                for (host, boot, version) in have.hosts {
                    self.record_version(now, &host, boot, version, out);
                }
                if have.is_reply_requested {
                    send(out, from, self.have_message(now));
                }
            }
            Message::Ask {
                version,
                digest_prefix,
            } => self.handle_ask(now, from, boot, version, digest_prefix, out),
            Message::Transfer(transfer) => self.handle_transfer(now, from, boot, transfer, out),
        }
    }

    fn handle_status(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        status: Status,
        out: &mut Vec<Output>,
    ) {
        self.record_version(now, from, boot, status.version, out);
        self.record_majority(now, from, status.majority_age_ms);
        if let Some(startup) = self.startup.as_mut().filter(|_| status.is_ready) {
            startup.record_answer(from);
        }
        let digest_prefix = self.current().map_or(0, Setup::digest_prefix);
        if status.version == self.version() && status.digest_prefix != digest_prefix {
            out.push(Output::Conflict {
                version: status.version,
                from: from.clone(),
            });
        }
        self.request_version(now, from, status.version, out);
    }

    /// Records a contact with a majority, reported by a control replica or by a host in contact
    /// with one. Hosts forward only direct reports, so that reports can't circulate.
    fn record_majority(&mut self, now: Moment, from: &HostId, age: Option<u32>) {
        let Some(age) = age else {
            return;
        };
        let at = now.saturating_sub(Duration::from_millis(age.into()));
        if self.control_replicas.contains(from) {
            self.direct_majority_at = self.direct_majority_at.max(Some(at));
        }
        self.majority_at = self.majority_at.max(at);
    }

    /// Puts a higher version in force and notifies hosts that may lack it.
    pub(super) fn install(
        &mut self,
        now: Moment,
        setup: Setup,
        source: Option<&HostId>,
        out: &mut Vec<Output>,
    ) {
        if setup.version <= self.version() {
            return;
        }
        let version = setup.version;
        self.history.push_back(setup.clone());
        self.trim_history();
        out.push(Output::InForce(setup));
        if self
            .pending_fetch
            .as_ref()
            .is_some_and(|pending_fetch| pending_fetch.version <= version)
        {
            self.pending_fetch = None;
        }
        if let Some(startup) = &mut self.startup {
            startup.ask_again();
        }
        let (host, boot) = (self.config.host.clone(), self.config.boot);
        self.record_version(now, &host, boot, version, out);
        // Only the first host of a data centre with the version notifies the others; statuses
        // compensate for lost notifications.
        if source.is_none_or(|source| !self.topology.is_local(source)) {
            self.notify_data_centre(now, out);
        }
        // A replica may receive a version from another one before its own log contains it.
        if source.is_none() || self.control_replicas.contains(&self.config.host) {
            self.schedule_notifications(now);
            self.notify_remote_data_centres(now, out);
        }
    }

    pub(super) fn record_version(
        &mut self,
        now: Moment,
        host: &HostId,
        boot: BootId,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        if self.installations.update(now, host, boot, version) {
            out.push(Output::Installed {
                host: host.clone(),
                version,
            });
        }
    }

    pub(super) fn have_message(&self, now: Moment) -> Message {
        self.have_message_with(now, Vec::new(), false)
    }

    pub(super) fn have_message_with(
        &self,
        now: Moment,
        hosts: Vec<(HostId, BootId, Version)>,
        is_reply_requested: bool,
    ) -> Message {
        Message::Have(Have {
            status: self.status(now),
            hosts,
            is_reply_requested,
        })
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.has_ticked, true) {
            self.startup = Some(Startup::new(now));
            self.majority_at = self.majority_at.max(now);
            let (host, boot, version) =
                (self.config.host.clone(), self.config.boot, self.version());
            self.record_version(now, &host, boot, version, out);
        }
        self.advance_startup(now, out);
        self.fetch(now, out);
        self.notify_remote_data_centres(now, out);
        if self.topology.is_relay() {
            self.exchange(now, out);
            self.report(now, out);
        }
        self.check_majority(now, out);
        self.emit_status(now, out);
    }

    fn check_majority(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_cut_off = now - self.majority_at > CUT_OFF_AFTER;
        let since = is_cut_off.then_some(self.majority_at);
        if since.is_some() != self.cut_off_since.is_some() {
            self.cut_off_since = since;
            out.push(Output::CutOff { since });
        }
    }

    fn emit_status(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let is_due = self
            .last_status
            .is_none_or(|(at, known)| known != version || now - at >= STATUS_INTERVAL);
        if is_due {
            self.last_status = Some((now, version));
            out.push(Output::Status(self.status(now)));
        }
    }

    fn trim_history(&mut self) {
        let bytes = |history: &VecDeque<Setup>| -> usize {
            history.iter().map(|setup| setup.text.len()).sum()
        };
        while self.history.len() > 1
            && (self.history.len() > HISTORY_COUNT || bytes(&self.history) > HISTORY_BYTES)
        {
            self.history.pop_front();
        }
    }
}

pub(super) fn send(out: &mut Vec<Output>, to: &HostId, message: Message) {
    out.push(Output::Send {
        to: to.clone(),
        message,
    });
}
