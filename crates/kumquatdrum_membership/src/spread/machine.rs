//! The spread: takes inputs, keeps the highest version, gives out messages and changes.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::holding::{Holding, Holdings};
use super::path::Paths;
use super::start::Start;
use super::timing::{CUT_OFF_AFTER, HISTORY_BYTES, HISTORY_COUNT, STATUS_INTERVAL};
use super::{Have, Input, Message, Output, Setup, Status};

/// What a host knows at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The life of its daemon.
    pub boot: BootId,
    /// The version that its disk holds, where it has one.
    pub held: Option<Setup>,
}

/// The setup in force, as one host holds it.
///
/// ```
/// use kumquatdrum_membership::spread::{Config, Input, Output, Setup, Spread};
/// use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};
///
/// let mut spread = Spread::new(Config {
///     host: HostId::new("entry-1"),
///     data_centre: DataCentre::new("ikeja"),
///     boot: BootId(1),
///     held: None,
/// });
/// let mut out = Vec::new();
/// let setup = Setup::new(Version(1), "{}");
/// spread.step(Moment::ZERO, Input::Offer(setup.clone()), &mut out);
/// assert!(out.contains(&Output::InForce(setup)));
/// assert_eq!(spread.version(), Version(1));
/// ```
#[derive(Debug)]
pub struct Spread {
    pub(super) config: Config,
    pub(super) paths: Paths,
    pub(super) control: IndexSet<HostId>,
    pub(super) history: VecDeque<Setup>,
    pub(super) holdings: Holdings,
    pub(super) start: Option<Start>,
    pub(super) has_begun: bool,
    /// The highest version known to exist, and who has it.
    pub(super) wanted: Option<Wanted>,
    /// Data centres that the current version has to be told to, and how often it was.
    pub(super) telling: IndexMap<DataCentre, Telling>,
    pub(super) own_majority: Option<Moment>,
    /// First-hand word of a majority from a control replica.
    pub(super) direct_majority: Option<Moment>,
    /// Any word of a majority; the start of the daemon where there was none.
    pub(super) majority: Moment,
    pub(super) cut_off: Option<Moment>,
    pub(super) status_at: Option<(Moment, Version)>,
    pub(super) exchanged_at: Option<Moment>,
    pub(super) exchange_turn: usize,
    pub(super) reported_at: Option<Moment>,
    pub(super) reported_all_at: Option<Moment>,
}

/// A version to get.
#[derive(Debug)]
pub(super) struct Wanted {
    pub(super) version: Version,
    pub(super) holders: Vec<HostId>,
    pub(super) asked: Option<Moment>,
}

/// A version to tell.
#[derive(Debug)]
pub(super) struct Telling {
    pub(super) count: u8,
    pub(super) due: Moment,
}

impl Spread {
    /// The spread of a host that has just started.
    pub fn new(config: Config) -> Self {
        Self {
            paths: Paths::new(config.host.clone(), config.data_centre.clone()),
            history: config.held.iter().cloned().collect(),
            config,
            control: IndexSet::new(),
            holdings: Holdings::default(),
            start: Some(Start::new(Moment::ZERO)),
            has_begun: false,
            wanted: None,
            telling: IndexMap::new(),
            own_majority: None,
            direct_majority: None,
            majority: Moment::ZERO,
            cut_off: None,
            status_at: None,
            exchanged_at: None,
            exchange_turn: 0,
            reported_at: None,
            reported_all_at: None,
        }
    }

    /// Takes one input. `now` never goes back.
    pub fn step(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Host {
                host,
                data_centre,
                is_alive,
            } => self.paths.set(host, data_centre, is_alive),
            Input::Control(hosts) => self.control = hosts.into_iter().collect(),
            Input::Offer(setup) => self.install(now, setup, None, out),
            Input::Majority => {
                self.own_majority = Some(now);
                self.majority = self.majority.max(now);
            }
            Input::Status { from, boot, status } => {
                self.take_status(now, &from, boot, status, out);
            }
            Input::Peer {
                from,
                boot,
                message,
            } => self.take_message(now, &from, boot, message, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// The version in force; 0 where there is none.
    pub fn version(&self) -> Version {
        self.held().map_or(Version(0), |setup| setup.version)
    }

    /// What is in force.
    pub fn held(&self) -> Option<&Setup> {
        self.history.back()
    }

    /// Whether the host may serve.
    pub fn is_ready(&self) -> bool {
        self.start.is_none()
    }

    /// Since when no majority of control replicas has been heard, where that is so for long.
    pub fn cut_off_since(&self) -> Option<Moment> {
        self.cut_off
    }

    /// Which hosts are known to have which version.
    pub fn holdings(&self) -> impl Iterator<Item = (&HostId, &Holding)> {
        self.holdings.iter()
    }

    pub(super) fn status(&self, now: Moment) -> Status {
        let heard = if self.control.contains(&self.config.host) {
            self.own_majority
        } else {
            self.direct_majority
        };
        let age = |at| u32::try_from((now - at).as_millis()).unwrap_or(u32::MAX);
        Status {
            version: self.version(),
            mark: self.held().map_or(0, Setup::mark),
            is_ready: self.is_ready(),
            majority_age_millis: heard.map(age),
        }
    }

    pub(super) fn take_message(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.paths.hear(now, from);
        match message {
            Message::Have(have) => {
                self.take_status(now, from, boot, have.status, out);
                for (host, boot, version) in have.hosts {
                    self.note(now, &host, boot, version, out);
                }
                if have.reply {
                    send(out, from, self.have(now));
                }
            }
            Message::Ask { version, mark } => self.take_ask(now, from, boot, version, mark, out),
            Message::News(news) => self.take_news(now, from, boot, news, out),
        }
    }

    fn take_status(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        status: Status,
        out: &mut Vec<Output>,
    ) {
        self.note(now, from, boot, status.version, out);
        self.take_majority(now, from, status.majority_age_millis);
        if let Some(start) = self.start.as_mut().filter(|_| status.is_ready) {
            start.answer(from);
        }
        let mark = self.held().map_or(0, Setup::mark);
        if status.version == self.version() && status.mark != mark {
            out.push(Output::Conflict {
                version: status.version,
                from: from.clone(),
            });
        }
        self.want(now, from, status.version, out);
    }

    /// Word of a majority counts at first hand from a control replica, and at second hand from a
    /// host that heard one. It goes no further, so that it can't circle.
    fn take_majority(&mut self, now: Moment, from: &HostId, age: Option<u32>) {
        let Some(age) = age else {
            return;
        };
        let at = Moment {
            micros: now.micros.saturating_sub(u64::from(age) * 1_000),
        };
        if self.control.contains(from) {
            self.direct_majority = self.direct_majority.max(Some(at));
        }
        self.majority = self.majority.max(at);
    }

    /// Puts a higher version in force and tells those who may lack it.
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
            .wanted
            .as_ref()
            .is_some_and(|wanted| wanted.version <= version)
        {
            self.wanted = None;
        }
        if let Some(start) = &mut self.start {
            start.ask_again();
        }
        let (host, boot) = (self.config.host.clone(), self.config.boot);
        self.note(now, &host, boot, version, out);
        // Within the data centre the first that has it tells all; the statuses do the rest.
        if source.is_none_or(|source| !self.paths.is_own(source)) {
            self.tell_near(now, out);
        }
        // A replica may hear of a version from another one before its own log brings it.
        if source.is_none() || self.control.contains(&self.config.host) {
            self.start_telling(now);
            self.tell_far(now, out);
        }
    }

    pub(super) fn note(
        &mut self,
        now: Moment,
        host: &HostId,
        boot: BootId,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        if self.holdings.take(now, host, boot, version) {
            out.push(Output::Holds {
                host: host.clone(),
                version,
            });
        }
    }

    pub(super) fn have(&self, now: Moment) -> Message {
        self.have_with(now, Vec::new(), false)
    }

    pub(super) fn have_with(
        &self,
        now: Moment,
        hosts: Vec<(HostId, BootId, Version)>,
        reply: bool,
    ) -> Message {
        Message::Have(Have {
            status: self.status(now),
            hosts,
            reply,
        })
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.start = Some(Start::new(now));
            self.majority = self.majority.max(now);
            let (host, boot, version) =
                (self.config.host.clone(), self.config.boot, self.version());
            self.note(now, &host, boot, version, out);
        }
        self.drive_start(now, out);
        self.fetch(now, out);
        self.tell_far(now, out);
        if self.paths.is_relay() {
            self.exchange(now, out);
            self.report(now, out);
        }
        self.judge_majority(now, out);
        self.give_status(now, out);
    }

    fn judge_majority(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_cut_off = now - self.majority > CUT_OFF_AFTER;
        let since = is_cut_off.then_some(self.majority);
        if since.is_some() != self.cut_off.is_some() {
            self.cut_off = since;
            out.push(Output::CutOff { since });
        }
    }

    fn give_status(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let is_due = self
            .status_at
            .is_none_or(|(at, known)| known != version || now - at >= STATUS_INTERVAL);
        if is_due {
            self.status_at = Some((now, version));
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
